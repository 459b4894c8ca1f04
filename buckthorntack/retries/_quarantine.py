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
    """An incarnation of a backend server that crashed."""

    server_id: str
    incarnation: int


class Clean(NamedTuple):
    """Nothing speaks against the request."""

    #: Server that runs an equal request of this entry VM now, which should
    #: run this one as well.
    running_on: str | None


class Suspect(NamedTuple):
    """The request must be claimed and run alone."""

    crashes: int


class Convicted(NamedTuple):
    """The request is refused everywhere."""

    error: _errors.ConvictedError


Verdict = Clean | Suspect | Convicted


class _Expiring:
    """Keys that are forgotten some time after they were last set.

    :param most: most keys kept; the oldest go first.
    """

    def __init__(self, most):
        self.most = most
        self._until = collections.OrderedDict()

    def __contains__(self, key):
        return key in self._until

    def __len__(self):
        return len(self._until)

    def add(self, key, until):
        """Add a key.

        :param key: any hashable.
        :param until: when it is forgotten.
        :returns: whether it is new.
        """
        is_new = key not in self._until
        self._until[key] = until
        self._until.move_to_end(key)
        return is_new

    def expire(self, now):
        """Forget old keys.

        :param now: the time.
        :returns: the keys forgotten.
        """
        gone = []
        while self._until:
            key, until = next(iter(self._until.items()))
            if now < until and len(self._until) <= self.most:
                break
            del self._until[key]
            gone.append(key)
        return gone


class Quarantine:
    """Who is suspected of crashes, who is convicted, and who runs alone.

    What it learns is spread as items among all entry VMs; their merge is a
    union, so order and repetition do not matter.

    :param node_id: this entry VM.
    :param settings: ``QuarantineSettings``.
    """

    def __init__(self, node_id: str, settings):
        self.node_id = node_id
        self.settings = settings
        self._claims = _claims.ClaimTable(node_id, settings)
        self._evidence = _Expiring(settings.most_items)
        self._acquittals = _Expiring(settings.most_items)
        self._convictions = _Expiring(settings.most_items)
        self._crashes_of = {}
        self._crash_times = {}
        self._crash_uses = collections.Counter()
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
        """Judge a request before each of its attempts.

        :param fingerprint: its fingerprint.
        :param now: the time.
        :returns: the verdict.
        """
        self._expire(now)
        if fingerprint in self._convictions:
            error = _errors.ConvictedError(
                f"request {fingerprint} crashed two backend servers"
            )
            return Convicted(error)
        proper = self._proper_crashes(fingerprint)
        if proper:
            return Suspect(len(proper))
        servers = self._running.get(fingerprint)
        return Clean(next(iter(servers)) if servers else None)

    def claim(
        self, fingerprint: str, server_id: str, now: datetime.timedelta
    ) -> _claims.RunAlone | _claims.Wait:
        """Ask to run a suspect; ask for the verdict again after a wait.

        :param fingerprint: its fingerprint.
        :param server_id: the server that shall run it; best the same one
            each time.
        :param now: the time.
        :returns: :class:`RunAlone` or :class:`Wait`.
        """
        return self._claims.claim(fingerprint, server_id, now)

    def release(self, fingerprint: str, now: datetime.timedelta) -> None:
        """Give up a claim, as the suspect does not run.

        Call it if the caller has gone before the start, or if the server
        says that it was not run.

        :param fingerprint: the suspect's fingerprint.
        :param now: the time.
        """
        self._claims.release(fingerprint, now)

    def started(self, fingerprint: str, server_id: str) -> None:
        """Note an attempt that was sent to a server.

        :param fingerprint: the request's fingerprint.
        :param server_id: the server.
        """
        servers = self._running.setdefault(fingerprint, collections.Counter())
        servers[server_id] += 1

    def stopped(self, fingerprint: str, server_id: str) -> None:
        """Note an attempt that ended without running to its end.

        A claim is left to run out, so that the news of a crash goes ahead
        of the next run.

        :param fingerprint: the request's fingerprint.
        :param server_id: the server.
        """
        self._claims.abandon(fingerprint)
        self._leave(fingerprint, server_id)

    def finished(
        self, fingerprint: str, server_id: str, now: datetime.timedelta
    ) -> bool:
        """Note an attempt that ran to its end; this acquits the request.

        :param fingerprint: the request's fingerprint.
        :param server_id: the server.
        :param now: the time.
        :returns: whether it was suspected.
        """
        self._claims.release(fingerprint, now)
        self._leave(fingerprint, server_id)
        crashes = self._live_crashes(fingerprint)
        for crash in crashes:
            item = messages.Acquittal(fingerprint, *crash)
            self.merge(item, now)
            self._spread(item)
        return bool(crashes)

    def server_crashed(
        self,
        server_id: str,
        incarnation: int,
        fingerprints: frozenset[str],
        now: datetime.timedelta,
    ) -> list[str]:
        """Note a crash.

        :param server_id: the server.
        :param incarnation: its incarnation that crashed.
        :param fingerprints: requests of this entry VM that it was running.
        :param now: the time.
        :returns: those of them that are suspected or convicted now.
        """
        for fingerprint in sorted(fingerprints):
            isolated = bool(self._live_crashes(fingerprint))
            item = messages.CrashEvidence(
                fingerprint, server_id, incarnation, isolated
            )
            self.merge(item, now)
            self._spread(item)
        return [
            fingerprint
            for fingerprint in sorted(fingerprints)
            if not isinstance(self.verdict(fingerprint, now), Clean)
        ]

    def merge(self, item, now: datetime.timedelta) -> None:
        """Take an item of another entry VM; duplicates change nothing.

        :param item: ``CrashEvidence``, ``Acquittal``, ``Conviction`` or
            ``SuspectClaim``.
        :param now: the time.
        """
        _merge(item, self, now)

    def tick(self, now: datetime.timedelta) -> None:
        """Renew claims and forget what is old; call every second.

        :param now: the time.
        """
        self._claims.renew(now)
        self._expire(now)

    def take_items(self) -> list:
        """Items to be spread, each once.

        :returns: messages, to be spread by way of :func:`pack`.
        """
        items = list(self._outbox.values()) + self._claims.take_items()
        self._outbox.clear()
        return items

    def _leave(self, fingerprint, server_id):
        servers = self._running.get(fingerprint)
        if servers is None:
            return
        servers[server_id] -= 1
        if servers[server_id] <= 0:
            del servers[server_id]
        if not servers:
            del self._running[fingerprint]

    def _take_evidence(self, item, now):
        crash = CrashId(item.server_id, item.incarnation)
        key = (item.fingerprint, crash)
        if key in self._evidence:
            return
        self._evidence.add(key, self._until(now))
        self._crashes_of.setdefault(item.fingerprint, set()).add(crash)
        self._crash_times.setdefault(crash, now)
        self._crash_uses[crash] += 1
        self._judge(item.fingerprint, now)

    def _take_acquittal(self, item, now):
        crash = CrashId(item.server_id, item.incarnation)
        # Kept longer than evidence that may arrive after it.
        until = self._until(self._until(now))
        self._acquittals.add((item.fingerprint, crash), until)

    def _take_conviction(self, item, now):
        if item.fingerprint not in self._convictions:
            self._convictions.add(item.fingerprint, self._until(now))

    def _take_claim(self, item, now):
        self._claims.merge(item, now)

    def _judge(self, fingerprint, now):
        """Convict after two crashes, unless all had a common cause."""
        if len(self._live_crashes(fingerprint)) < 2:
            return
        if not self._proper_crashes(fingerprint):
            return
        item = messages.Conviction(fingerprint)
        if fingerprint not in self._convictions:
            self._take_conviction(item, now)
            self._spread(item)

    def _live_crashes(self, fingerprint):
        return [
            crash
            for crash in sorted(self._crashes_of.get(fingerprint, ()))
            if (fingerprint, crash) not in self._acquittals
        ]

    def _proper_crashes(self, fingerprint):
        return [
            crash
            for crash in self._live_crashes(fingerprint)
            if not self._has_common_cause(crash)
        ]

    def _has_common_cause(self, crash):
        settings = self.settings
        at = self._crash_times[crash]
        window = datetime.timedelta(milliseconds=settings.common_cause_ms)
        near = {
            other.server_id
            for other, time in self._crash_times.items()
            if abs(time - at) <= window
        }
        return len(near) >= settings.common_cause_servers

    def _expire(self, now):
        self._convictions.expire(now)
        self._acquittals.expire(now)
        for fingerprint, crash in self._evidence.expire(now):
            crashes = self._crashes_of[fingerprint]
            crashes.discard(crash)
            if not crashes:
                del self._crashes_of[fingerprint]
            self._crash_uses[crash] -= 1
            if not self._crash_uses[crash]:
                del self._crash_uses[crash]
                del self._crash_times[crash]

    def _until(self, now):
        retention_ms = self.settings.retention_ms
        return now + datetime.timedelta(milliseconds=retention_ms)

    def _spread(self, item):
        self._outbox[_items.item_key(item)] = item


@functools.singledispatch
def _merge(item, quarantine, now):
    raise TypeError(f"not an item of the quarantine: {item!r}")


@_merge.register
def _(item: messages.CrashEvidence, quarantine, now):
    quarantine._take_evidence(item, now)


@_merge.register
def _(item: messages.Acquittal, quarantine, now):
    quarantine._take_acquittal(item, now)


@_merge.register
def _(item: messages.Conviction, quarantine, now):
    quarantine._take_conviction(item, now)


@_merge.register
def _(item: messages.SuspectClaim, quarantine, now):
    quarantine._take_claim(item, now)
