"""Quarantine of requests that crash the backend servers they run on."""

import collections
import datetime
import functools
from typing import NamedTuple

from buckthorntack.retries import _claims
from buckthorntack.retries import _errors
from buckthorntack.retries import _items
from buckthorntack.schema import messages


class CrashId(NamedTuple):
    """Identity of a crash: the server and its incarnation."""

    server_id: str
    incarnation: int


class Clean(NamedTuple):
    """The request is not suspected."""

    #: Server that runs an equal request of this entry VM at present and is
    #: preferred for this one.
    running_on: str | None


class Suspect(NamedTuple):
    """The request may have crashed a server and must run alone."""

    crashes: int


class Convicted(NamedTuple):
    """The request crashed several servers and is refused at all entry VMs."""

    error: _errors.ConvictedError


Verdict = Clean | Suspect | Convicted


class _ExpiringKeys:
    """Keys that expire some time after they were last set.

    :param max_size: keys kept at most; the oldest are evicted.
    """

    def __init__(self, max_size):
        self.max_size = max_size
        self._expirations = collections.OrderedDict()

    def __contains__(self, key):
        return key in self._expirations

    def __len__(self):
        return len(self._expirations)

    def add(self, key, until):
        """Add a key.

        :param key: any hashable.
        :param until: when the key expires.
        :returns: whether the key is new.
        """
        is_new = key not in self._expirations
        self._expirations[key] = until
        self._expirations.move_to_end(key)
        return is_new

    def expire(self, now):
        """Delete expired keys, and the oldest ones beyond the maximum.

        :param now: current monotonic time.
        :returns: the deleted keys.
        """
        expired = []
        while self._expirations:
            key, until = next(iter(self._expirations.items()))
            if now < until and len(self._expirations) <= self.max_size:
                break
            del self._expirations[key]
            expired.append(key)
        return expired


class Quarantine:
    """State of the requests that are suspected or convicted of crashes.

    Evidence, acquittals, convictions and claims are gossiped among all entry
    VMs.  Merging them is a set union, so order and duplicates do not matter.

    :param node_id: this entry VM.
    :param settings: ``QuarantineSettings``.
    """

    def __init__(self, node_id: str, settings):
        self.node_id = node_id
        self.settings = settings
        self._claims = _claims.ClaimTable(node_id, settings)
        self._evidence = _ExpiringKeys(settings.max_items)
        self._acquittals = _ExpiringKeys(settings.max_items)
        self._convictions = _ExpiringKeys(settings.max_items)
        self._crashes_by_fingerprint = {}
        self._crash_times = {}
        self._crash_references = collections.Counter()
        self._running = {}
        self._outbox = {}

    def __len__(self):
        return (
            len(self._evidence)
            + len(self._acquittals)
            + len(self._convictions)
            + len(self._claims)
        )

    def verdict(self, fingerprint: str, now: datetime.timedelta) -> Verdict:
        """Return the verdict on a request, which each attempt needs.

        :param fingerprint: its fingerprint.
        :param now: current monotonic time.
        :returns: the verdict.
        """
        self._expire(now)
        if fingerprint in self._convictions:
            error = _errors.ConvictedError(
                f"request {fingerprint} crashed two backend servers"
            )
            return Convicted(error)
        attributable = self._list_attributable_crashes(fingerprint)
        if attributable:
            return Suspect(len(attributable))
        servers = self._running.get(fingerprint)
        return Clean(next(iter(servers)) if servers else None)

    def claim(
        self, fingerprint: str, server_id: str, now: datetime.timedelta
    ) -> _claims.RunAlone | _claims.Wait:
        """Claim the run of a suspect; after a wait, get the verdict again.

        :param fingerprint: its fingerprint.
        :param server_id: the server that is to run it; preferably the same
            one in each call.
        :param now: current monotonic time.
        :returns: :class:`RunAlone` or :class:`Wait`.
        """
        return self._claims.claim(fingerprint, server_id, now)

    def release_claim(self, fingerprint: str, now: datetime.timedelta) -> None:
        """Release a claim whose request does not run.

        Called if the caller disconnects before the start, or if the server
        answers that the request was not run.

        :param fingerprint: the suspect's fingerprint.
        :param now: current monotonic time.
        """
        self._claims.release_claim(fingerprint, now)

    def on_attempt_started(self, fingerprint: str, server_id: str) -> None:
        """Record an attempt that was sent to a server.

        :param fingerprint: the request's fingerprint.
        :param server_id: the server.
        """
        servers = self._running.setdefault(fingerprint, collections.Counter())
        servers[server_id] += 1

    def on_attempt_failed(self, fingerprint: str, server_id: str) -> None:
        """Record an attempt that ended without completion.

        A claim is left to expire, so that evidence of a crash reaches other
        entry VMs before the next run starts.

        :param fingerprint: the request's fingerprint.
        :param server_id: the server.
        """
        self._claims.abandon(fingerprint)
        self._remove_attempt(fingerprint, server_id)

    def on_attempt_completed(
        self, fingerprint: str, server_id: str, now: datetime.timedelta
    ) -> bool:
        """Record an attempt that completed; this acquits the request.

        :param fingerprint: the request's fingerprint.
        :param server_id: the server.
        :param now: current monotonic time.
        :returns: whether the request was suspected.
        """
        self._claims.release_claim(fingerprint, now)
        self._remove_attempt(fingerprint, server_id)
        crashes = self._list_open_crashes(fingerprint)
        for crash in crashes:
            item = messages.Acquittal(fingerprint, *crash)
            self.merge(item, now)
            self._enqueue(item)
        return bool(crashes)

    def on_server_crashed(
        self,
        server_id: str,
        incarnation: int,
        fingerprints: frozenset[str],
        now: datetime.timedelta,
    ) -> list[str]:
        """Record evidence against the requests that ran on a crashed server.

        :param server_id: the server.
        :param incarnation: the incarnation of the server that crashed.
        :param fingerprints: requests of this entry VM that it was running.
        :param now: current monotonic time.
        :returns: those of the requests that are now suspected or convicted.
        """
        for fingerprint in sorted(fingerprints):
            isolated = bool(self._list_open_crashes(fingerprint))
            item = messages.CrashEvidence(
                fingerprint, server_id, incarnation, isolated
            )
            self.merge(item, now)
            self._enqueue(item)
        return [
            fingerprint
            for fingerprint in sorted(fingerprints)
            if not isinstance(self.verdict(fingerprint, now), Clean)
        ]

    def merge(self, item, now: datetime.timedelta) -> None:
        """Merge an item of another entry VM; ignore duplicates.

        :param item: ``CrashEvidence``, ``Acquittal``, ``Conviction`` or
            ``SuspectClaim``.
        :param now: current monotonic time.
        """
        _merge(item, self, now)

    def tick(self, now: datetime.timedelta) -> None:
        """Renew claims and delete expired state; called every second.

        :param now: current monotonic time.
        """
        self._claims.renew(now)
        self._expire(now)

    def take_items(self) -> list:
        """Return and clear the messages to gossip.

        :returns: messages for :func:`pack`.
        """
        items = list(self._outbox.values()) + self._claims.take_items()
        self._outbox.clear()
        return items

    def _remove_attempt(self, fingerprint, server_id):
        servers = self._running.get(fingerprint)
        if servers is None:
            return
        servers[server_id] -= 1
        if servers[server_id] <= 0:
            del servers[server_id]
        if not servers:
            del self._running[fingerprint]

    def _merge_evidence(self, item, now):
        crash = CrashId(item.server_id, item.incarnation)
        key = (item.fingerprint, crash)
        if key in self._evidence:
            return
        self._evidence.add(key, self._compute_expiration(now))
        self._crashes_by_fingerprint.setdefault(item.fingerprint, set()).add(
            crash
        )
        self._crash_times.setdefault(crash, now)
        self._crash_references[crash] += 1
        self._convict_if_due(item.fingerprint, now)

    def _merge_acquittal(self, item, now):
        crash = CrashId(item.server_id, item.incarnation)
        # Evidence may arrive after its acquittal, which must not expire first.
        until = self._compute_expiration(self._compute_expiration(now))
        self._acquittals.add((item.fingerprint, crash), until)

    def _add_conviction(self, item, now):
        if item.fingerprint not in self._convictions:
            self._convictions.add(
                item.fingerprint, self._compute_expiration(now)
            )

    def _merge_claim(self, item, now):
        self._claims.merge(item, now)

    def _convict_if_due(self, fingerprint, now):
        """Convict after two crashes, unless all of them had a common cause."""
        if len(self._list_open_crashes(fingerprint)) < 2:
            return
        if not self._list_attributable_crashes(fingerprint):
            return
        item = messages.Conviction(fingerprint)
        if fingerprint not in self._convictions:
            self._add_conviction(item, now)
            self._enqueue(item)

    def _list_open_crashes(self, fingerprint):
        return [
            crash
            for crash in sorted(
                self._crashes_by_fingerprint.get(fingerprint, ())
            )
            if (fingerprint, crash) not in self._acquittals
        ]

    def _list_attributable_crashes(self, fingerprint):
        return [
            crash
            for crash in self._list_open_crashes(fingerprint)
            if not self._has_common_cause(crash)
        ]

    def _has_common_cause(self, crash):
        settings = self.settings
        at = self._crash_times[crash]
        window = datetime.timedelta(milliseconds=settings.common_cause_ms)
        servers = {
            other.server_id
            for other, time in self._crash_times.items()
            if abs(time - at) <= window
        }
        return len(servers) >= settings.common_cause_servers

    def _expire(self, now):
        self._convictions.expire(now)
        self._acquittals.expire(now)
        for fingerprint, crash in self._evidence.expire(now):
            crashes = self._crashes_by_fingerprint[fingerprint]
            crashes.discard(crash)
            if not crashes:
                del self._crashes_by_fingerprint[fingerprint]
            self._crash_references[crash] -= 1
            if not self._crash_references[crash]:
                del self._crash_references[crash]
                del self._crash_times[crash]

    def _compute_expiration(self, now):
        retention_ms = self.settings.retention_ms
        return now + datetime.timedelta(milliseconds=retention_ms)

    def _enqueue(self, item):
        self._outbox[_items.item_key(item)] = item


@functools.singledispatch
def _merge(item, quarantine, now):
    raise TypeError(f"unknown quarantine item: {item!r}")


@_merge.register
def _(item: messages.CrashEvidence, quarantine, now):
    quarantine._merge_evidence(item, now)


@_merge.register
def _(item: messages.Acquittal, quarantine, now):
    quarantine._merge_acquittal(item, now)


@_merge.register
def _(item: messages.Conviction, quarantine, now):
    quarantine._add_conviction(item, now)


@_merge.register
def _(item: messages.SuspectClaim, quarantine, now):
    quarantine._merge_claim(item, now)
