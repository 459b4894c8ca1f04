"""Distributed mutual exclusion for runs of suspected requests.

Subjects of claims are a suspected request and the server that is to run it.
An entry VM claims both and waits for twice the longest propagation time of an
item.  It then runs the request if no known claim to either subject is marked
as running and it has the lowest node id among the claimants of both.

Two entry VMs that can reach each other never run at the same time: the second
one to start has received the claim that the first one marked as running, or
both have received all claims and agree on the lowest node id.  The order is
the same for all subjects, which excludes deadlocks.
"""

import datetime
from typing import NamedTuple

from buckthorntack.schema import messages


class RunAlone(NamedTuple):
    """The request may start now on the claimed server."""


class Wait(NamedTuple):
    """The claim is not granted yet and must be repeated after a delay."""

    duration: datetime.timedelta


class _Claim:
    """Known state of one entry VM's claim to a subject."""

    __slots__ = ("running", "sequence", "since", "until")

    def __init__(self, sequence, running, since, until):
        self.sequence = sequence
        self.running = running
        self.since = since
        self.until = until


class _Subjects(NamedTuple):
    """Subjects of a request and of the server claimed for it."""

    request: str
    server: str


class ClaimTable:
    """Known claims of all entry VMs.

    :param node_id: this entry VM.
    :param settings: ``QuarantineSettings``.
    """

    def __init__(self, node_id, settings):
        self.node_id = node_id
        self.settings = settings
        self._claims = {}
        self._held = {}
        self._last_claim_times = {}
        self._outbox = {}

    def __len__(self):
        return len(self._claims)

    def claim(self, fingerprint, server_id, now):
        """Claim a request and a server, or continue to claim them.

        :param fingerprint: fingerprint of the request.
        :param server_id: the server that is to run it.
        :param now: current monotonic time.
        :returns: :class:`RunAlone` or :class:`Wait`.
        """
        subjects = _Subjects(f"request/{fingerprint}", f"server/{server_id}")
        if fingerprint in self._held:
            return Wait(self._max_propagation() / 2)
        own_claims = [
            self._get_own_claim(subject, now) for subject in subjects
        ]
        self._last_claim_times[subjects.server] = now
        settled_at = (
            max(own_claim.since for own_claim in own_claims)
            + 2 * self._max_propagation()
        )
        if now < settled_at:
            return Wait(settled_at - now)
        if not all(self._has_precedence(subject, now) for subject in subjects):
            return Wait(self._max_propagation() / 2)
        for subject, own_claim in zip(subjects, own_claims, strict=True):
            self._extend_claim(subject, own_claim, True, now)
        self._held[fingerprint] = subjects
        del self._last_claim_times[subjects.server]
        return RunAlone()

    def release_claim(self, fingerprint, now):
        """Release the claims for a request that no longer runs.

        The server stays claimed while other requests of this entry VM wait
        for it.

        :param fingerprint: fingerprint of the request.
        :param now: current monotonic time.
        """
        subject = f"request/{fingerprint}"
        subjects = self._held.pop(fingerprint, _Subjects(subject, ""))
        self._end_claim(subjects.request, now)
        last_claim_time = self._last_claim_times.get(subjects.server)
        own_claim = self._claims.get(subjects.server, {}).get(self.node_id)
        if own_claim is None or own_claim.until <= now:
            return
        if (
            last_claim_time is not None
            and now - last_claim_time <= self._max_propagation()
        ):
            self._extend_claim(subjects.server, own_claim, False, now)
        else:
            self._end_claim(subjects.server, now)

    def abandon(self, fingerprint):
        """Let the claims for a request expire, as its server may have crashed.

        :param fingerprint: fingerprint of the request.
        """
        self._held.pop(fingerprint, None)

    def merge(self, item, now):
        """Merge the claim of another entry VM; ignore duplicates.

        :param item: ``SuspectClaim``.
        :param now: current monotonic time.
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
        """Renew the claims of running requests and delete expired claims.

        :param now: current monotonic time.
        """
        lease = self._lease_duration()
        for subjects in self._held.values():
            for subject in subjects:
                own_claim = self._claims[subject][self.node_id]
                if own_claim.until - now < lease / 2:
                    self._extend_claim(subject, own_claim, True, now)
        for subject, claims in list(self._claims.items()):
            if all(now - claim.until > lease for claim in claims.values()):
                del self._claims[subject]
                self._last_claim_times.pop(subject, None)

    def take_items(self):
        """Return and clear the messages to gossip.

        :returns: ``SuspectClaim`` messages.
        """
        items = list(self._outbox.values())
        self._outbox.clear()
        return items

    def _get_own_claim(self, subject, now):
        claims = self._claims.setdefault(subject, {})
        own_claim = claims.get(self.node_id)
        if own_claim is None:
            # After a restart the sequence must exceed that of the former run.
            sequence = int(now.total_seconds() * 1e3)
            own_claim = claims[self.node_id] = _Claim(
                sequence, False, now, now
            )
        if own_claim.until <= now:
            own_claim.since = now
            self._extend_claim(subject, own_claim, False, now)
        elif (
            not own_claim.running
            and own_claim.until - now < self._lease_duration() / 2
        ):
            self._extend_claim(subject, own_claim, False, now)
        return own_claim

    def _has_precedence(self, subject, now):
        claims = self._claims[subject]
        live = {n: claim for n, claim in claims.items() if now < claim.until}
        if any(claim.running for claim in live.values()):
            return False
        return min(live) == self.node_id

    def _extend_claim(self, subject, own_claim, running, now):
        own_claim.sequence += 1
        own_claim.running = running
        own_claim.until = now + self._lease_duration()
        self._enqueue(subject, own_claim, self.settings.claim_lease_ms)

    def _end_claim(self, subject, now):
        own_claim = self._claims.get(subject, {}).get(self.node_id)
        if own_claim is None or own_claim.until <= now:
            return
        own_claim.sequence += 1
        own_claim.running = False
        own_claim.until = now
        self._enqueue(subject, own_claim, 0)

    def _enqueue(self, subject, own_claim, lease_ms):
        self._outbox[subject] = messages.SuspectClaim(
            subject,
            self.node_id,
            own_claim.sequence,
            own_claim.running,
            lease_ms,
        )

    def _max_propagation(self):
        return datetime.timedelta(
            milliseconds=self.settings.max_propagation_ms
        )

    def _lease_duration(self):
        return datetime.timedelta(milliseconds=self.settings.claim_lease_ms)
