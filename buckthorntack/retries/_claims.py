"""Claims of entry VMs to a suspect and to the server that shall run it.

An entry VM claims both, waits twice the time in which an item spreads, and
then runs the suspect if no known claim to either is running and its own come
first in an order that all compute alike.  Of two entry VMs that can reach
each other, whoever starts second has by then heard of the first's start, or
both have heard of all claims and agree on the order.  As the order is the
same for everything that is claimed, no two of them wait for each other.
"""

import datetime
from typing import NamedTuple

from buckthorntack.schema import messages


class RunAlone(NamedTuple):
    """The suspect may start now, on the server that was claimed."""


class Wait(NamedTuple):
    """Ask again later."""

    duration: datetime.timedelta


class _Claim:
    """What is known of one entry VM's claim."""

    __slots__ = ("running", "sequence", "since", "until")

    def __init__(self, sequence, running, since, until):
        self.sequence = sequence
        self.running = running
        self.since = since
        self.until = until


class _Pair(NamedTuple):
    """A suspect and the server claimed for it, as subjects."""

    request: str
    server: str


class ClaimTable:
    """Claims of all entry VMs, as far as they are known here.

    :param node_id: this entry VM.
    :param settings: ``QuarantineSettings``.
    """

    def __init__(self, node_id, settings):
        self.node_id = node_id
        self.settings = settings
        self._claims = {}
        self._held = {}
        self._wanted = {}
        self._outbox = {}

    def __len__(self):
        return len(self._claims)

    def claim(self, fingerprint, server_id, now):
        """Claim a suspect and a server, or go on claiming them.

        :param fingerprint: the suspect's fingerprint.
        :param server_id: the server that shall run it.
        :param now: the time.
        :returns: :class:`RunAlone` or :class:`Wait`.
        """
        pair = _Pair(f"request/{fingerprint}", f"server/{server_id}")
        if fingerprint in self._held:
            return Wait(self._spread_time() / 2)
        owns = [self._own(subject, now) for subject in pair]
        self._wanted[pair.server] = now
        settled = max(own.since for own in owns) + 2 * self._spread_time()
        if now < settled:
            return Wait(settled - now)
        if not all(self._is_first(subject, now) for subject in pair):
            return Wait(self._spread_time() / 2)
        for subject, own in zip(pair, owns, strict=True):
            self._change(subject, own, True, now)
        self._held[fingerprint] = pair
        del self._wanted[pair.server]
        return RunAlone()

    def release(self, fingerprint, now):
        """Give up the claims for a suspect that runs no more.

        The server stays claimed while other suspects wait for it here.

        :param fingerprint: the suspect's fingerprint.
        :param now: the time.
        """
        subject = f"request/{fingerprint}"
        pair = self._held.pop(fingerprint, _Pair(subject, ""))
        self._end(pair.request, now)
        wanted = self._wanted.get(pair.server)
        own = self._claims.get(pair.server, {}).get(self.node_id)
        if own is None or own.until <= now:
            return
        if wanted is not None and now - wanted <= self._spread_time():
            self._change(pair.server, own, False, now)
        else:
            self._end(pair.server, now)

    def abandon(self, fingerprint):
        """Let the claims for a suspect run out, as it may have crashed.

        :param fingerprint: the suspect's fingerprint.
        """
        self._held.pop(fingerprint, None)

    def merge(self, item, now):
        """Take another entry VM's claim; duplicates change nothing.

        :param item: ``SuspectClaim``.
        :param now: the time.
        """
        if item.node_id == self.node_id:
            return
        claims = self._claims.setdefault(item.subject, {})
        known = claims.get(item.node_id)
        if known is not None and known.sequence >= item.sequence:
            return
        until = now + datetime.timedelta(milliseconds=item.lease_ms)
        claims[item.node_id] = _Claim(item.sequence, item.running, now, until)

    def renew(self, now):
        """Renew own running claims and forget those that ended.

        :param now: the time.
        """
        lease = self._lease()
        for pair in self._held.values():
            for subject in pair:
                own = self._claims[subject][self.node_id]
                if own.until - now < lease / 2:
                    self._change(subject, own, True, now)
        for subject, claims in list(self._claims.items()):
            if all(now - claim.until > lease for claim in claims.values()):
                del self._claims[subject]
                self._wanted.pop(subject, None)

    def take_items(self):
        """Items to be spread, each once.

        :returns: ``SuspectClaim`` messages.
        """
        items = list(self._outbox.values())
        self._outbox.clear()
        return items

    def _own(self, subject, now):
        claims = self._claims.setdefault(subject, {})
        own = claims.get(self.node_id)
        if own is None:
            # Restarted nodes must go on above their former sequence.
            sequence = int(now.total_seconds() * 1e3)
            own = claims[self.node_id] = _Claim(sequence, False, now, now)
        if own.until <= now:
            own.since = now
            self._change(subject, own, False, now)
        elif not own.running and own.until - now < self._lease() / 2:
            self._change(subject, own, False, now)
        return own

    def _is_first(self, subject, now):
        claims = self._claims[subject]
        live = {n: claim for n, claim in claims.items() if now < claim.until}
        if any(claim.running for claim in live.values()):
            return False
        return min(live) == self.node_id

    def _change(self, subject, own, running, now):
        own.sequence += 1
        own.running = running
        own.until = now + self._lease()
        self._spread(subject, own, self.settings.claim_lease_ms)

    def _end(self, subject, now):
        own = self._claims.get(subject, {}).get(self.node_id)
        if own is None or own.until <= now:
            return
        own.sequence += 1
        own.running = False
        own.until = now
        self._spread(subject, own, 0)

    def _spread(self, subject, own, lease_ms):
        self._outbox[subject] = messages.SuspectClaim(
            subject, self.node_id, own.sequence, own.running, lease_ms
        )

    def _spread_time(self):
        return datetime.timedelta(milliseconds=self.settings.spread_ms)

    def _lease(self):
        return datetime.timedelta(milliseconds=self.settings.claim_lease_ms)
