"""Claims of entry VMs to run a suspect, so that only one does at a time.

An entry VM claims, waits twice the time in which an item spreads, and then
runs the suspect if no known claim is running and its own comes first in an
order that all compute alike.  Two entry VMs that can reach each other never
run one suspect at once: whoever starts second has by then heard of the
first's start, or both have heard of both claims and agree on the order.
"""

import datetime
from typing import NamedTuple

import xxhash

from buckthorntack.schema import messages


class RunAlone(NamedTuple):
    """The suspect may start now, on a server without other suspects."""


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


def _order(fingerprint, node_id):
    data = f"{fingerprint}/{node_id}".encode()
    return xxhash.xxh3_64_intdigest(data), node_id


class ClaimTable:
    """Claims of all entry VMs, as far as they are known here.

    :param node_id: this entry VM.
    :param settings: ``QuarantineSettings``.
    """

    def __init__(self, node_id, settings):
        self.node_id = node_id
        self.settings = settings
        self._claims = {}
        self._outbox = {}

    def __len__(self):
        return len(self._claims)

    def claim(self, fingerprint, now):
        """Claim a suspect, or go on claiming it.

        :param fingerprint: its fingerprint.
        :param now: the time.
        :returns: :class:`RunAlone` or :class:`Wait`.
        """
        spread = datetime.timedelta(milliseconds=self.settings.spread_ms)
        own = self._own(fingerprint, now)
        if own.running:
            return Wait(spread / 2)
        settled = own.since + 2 * spread
        if now < settled:
            return Wait(settled - now)
        if not self._is_first(fingerprint, now):
            return Wait(spread / 2)
        self._change(fingerprint, own, True, now)
        return RunAlone()

    def release(self, fingerprint, now):
        """Give up this entry VM's claim.

        :param fingerprint: the suspect's fingerprint.
        :param now: the time.
        """
        claims = self._claims.get(fingerprint, {})
        own = claims.get(self.node_id)
        if own is None or own.until <= now:
            return
        own.sequence += 1
        own.running = False
        own.until = now
        self._spread(fingerprint, own, 0)

    def merge(self, item, now):
        """Take another entry VM's claim; duplicates change nothing.

        :param item: ``SuspectClaim``.
        :param now: the time.
        """
        if item.node_id == self.node_id:
            return
        claims = self._claims.setdefault(item.fingerprint, {})
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
        for fingerprint, claims in list(self._claims.items()):
            own = claims.get(self.node_id)
            if own is not None and own.running and own.until - now < lease / 2:
                self._change(fingerprint, own, True, now)
            if all(now - claim.until > lease for claim in claims.values()):
                del self._claims[fingerprint]

    def take_items(self):
        """Items to be spread, each once.

        :returns: ``SuspectClaim`` messages.
        """
        items = list(self._outbox.values())
        self._outbox.clear()
        return items

    def _own(self, fingerprint, now):
        claims = self._claims.setdefault(fingerprint, {})
        own = claims.get(self.node_id)
        if own is None:
            # Restarted nodes must go on above their former sequence.
            sequence = int(now.total_seconds() * 1e3)
            own = claims[self.node_id] = _Claim(sequence, False, now, now)
        if own.until <= now:
            own.since = now
            own.running = False
            self._change(fingerprint, own, False, now)
        elif not own.running and own.until - now < self._lease() / 2:
            self._change(fingerprint, own, False, now)
        return own

    def _is_first(self, fingerprint, now):
        claims = self._claims[fingerprint]
        live = {n: claim for n, claim in claims.items() if now < claim.until}
        if any(claim.running for claim in live.values()):
            return False
        first = min(live, key=lambda node_id: _order(fingerprint, node_id))
        return first == self.node_id

    def _change(self, fingerprint, own, running, now):
        own.sequence += 1
        own.running = running
        own.until = now + self._lease()
        self._spread(fingerprint, own, self.settings.claim_lease_ms)

    def _spread(self, fingerprint, own, lease_ms):
        self._outbox[fingerprint] = messages.SuspectClaim(
            fingerprint, self.node_id, own.sequence, own.running, lease_ms
        )

    def _lease(self):
        return datetime.timedelta(milliseconds=self.settings.claim_lease_ms)
