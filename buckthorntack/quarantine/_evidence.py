"""Crashes of backend servers and the subjects of the attempts lost at them."""

import collections
import datetime
import itertools
from typing import NamedTuple

from buckthorntack.quarantine import _types


class _Crash(NamedTuple):
    at: datetime.timedelta
    lost_by_key: dict[str, "_Lost"]


class _Lost(NamedTuple):
    depth: int
    #: Hash of the request that had it; empty if several had.
    request: str
    #: Shortest time from the start of an attempt to the crash.
    ran_for: datetime.timedelta


class CrashEvidence:
    """Crashes that count, by subject; merging reports is a set union.

    :param settings: ``QuarantineSettings``.
    """

    def __init__(self, settings: _types.QuarantineSettings):
        self.settings = settings
        self._crashes = collections.OrderedDict()
        self._crash_ids_by_key = {}

    def __len__(self):
        return len(self._crashes)

    def __contains__(self, crash_id):
        return crash_id in self._crashes

    def add(
        self,
        crash_id: _types.CrashId,
        subjects: tuple[_types.Subject, ...],
        at: datetime.timedelta,
        ran_for: datetime.timedelta,
        request: str,
    ) -> list[str]:
        """Add subjects to a crash.

        :param crash_id: the crash.
        :param subjects: subjects of an attempt that was lost at it.
        :param at: monotonic time of the crash; the earliest one reported
            counts.
        :param ran_for: time from the start of the attempt to the crash.
        :param request: hash of the whole request; empty if several had the
            subjects.
        :returns: keys of the subjects that are new to the crash.
        """
        crash = self._crashes.get(crash_id)
        if crash is None:
            crash = self._crashes[crash_id] = _Crash(at, {})
        elif at < crash.at:
            crash = self._crashes[crash_id] = crash._replace(at=at)
        added = []
        for key, depth in subjects:
            known = crash.lost_by_key.get(key)
            if known is not None:
                crash.lost_by_key[key] = _Lost(
                    depth,
                    request if request == known.request else "",
                    min(ran_for, known.ran_for),
                )
                continue
            if len(crash.lost_by_key) >= self.settings.max_subjects_of_crash:
                continue
            crash.lost_by_key[key] = _Lost(depth, request, ran_for)
            self._crash_ids_by_key.setdefault(key, set()).add(crash_id)
            added.append(key)
        if len(self._crashes) > self.settings.max_crashes:
            self._remove(next(iter(self._crashes)))
        return added

    def identify(
        self, incarnation: _types.Incarnation, sent_at: datetime.timedelta
    ) -> _types.CrashId:
        """Return the crash at which an attempt was lost.

        An attempt that was sent after a crash was not lost at it.

        :param incarnation: the server.
        :param sent_at: monotonic time of the start of the attempt.
        """
        for occurrence in itertools.count():
            crash_id = _types.CrashId(*incarnation, occurrence)
            crash = self._crashes.get(crash_id)
            if crash is None or crash.at >= sent_at:
                return crash_id

    def find_time(self, crash_id: _types.CrashId) -> datetime.timedelta | None:
        """Return the time of a crash; None if there was none.

        :param crash_id: the crash.
        """
        crash = self._crashes.get(crash_id)
        return None if crash is None else crash.at

    def expire(self, now: datetime.timedelta) -> None:
        """Forget crashes that no longer count.

        :param now: current monotonic time.
        """
        retention = self.settings.crash_retention
        expired = [
            crash_id
            for crash_id, crash in self._crashes.items()
            if now - crash.at > retention
        ]
        for crash_id in expired:
            self._remove(crash_id)

    def _remove(self, crash_id):
        crash = self._crashes.pop(crash_id)
        for key in crash.lost_by_key:
            crash_ids = self._crash_ids_by_key[key]
            crash_ids.discard(crash_id)
            if not crash_ids:
                del self._crash_ids_by_key[key]

    def list_keys(self, crash_id: _types.CrashId) -> list[str]:
        """List the keys of the subjects of a crash.

        :param crash_id: the crash.
        """
        crash = self._crashes.get(crash_id)
        return [] if crash is None else list(crash.lost_by_key)

    def count_missing(
        self,
        crash_id: _types.CrashId,
        subjects: tuple[_types.Subject, ...],
    ) -> int:
        """Count subjects for which a crash has no room.

        :param crash_id: the crash.
        :param subjects: subjects that were added to it.
        """
        lost_by_key = self._crashes[crash_id].lost_by_key
        return sum(key not in lost_by_key for key, _ in subjects)

    def find_request(self, crash_id: _types.CrashId, key: str) -> str:
        """Return the only request that had a subject at a crash.

        :param crash_id: the crash.
        :param key: key of the subject.
        :returns: hash of the request; empty if several had it.
        """
        return self._crashes[crash_id].lost_by_key[key].request

    def is_shared(self, key: str) -> bool:
        """Whether several requests that were lost had a subject.

        :param key: key of the subject.
        """
        requests = {
            self.find_request(crash_id, key)
            for crash_id in self._crash_ids_by_key.get(key, ())
        }
        return len(requests) > 1 or "" in requests

    def find_depth(self, key: str) -> int:
        """Return the place of a subject in the prompt.

        :param key: key of a subject that has crashes.
        """
        crash_id = next(iter(self._crash_ids_by_key[key]))
        return self._crashes[crash_id].lost_by_key[key].depth

    def list_crashes(
        self, key: str, since: datetime.timedelta | None
    ) -> list[_types.CrashId]:
        """List the crashes that a subject may have caused, oldest first.

        :param key: key of the subject.
        :param since: crashes up to this time do not count; None for none.
        """
        crash_ids = self._crash_ids_by_key.get(key, ())
        counted = [
            crash_id
            for crash_id in crash_ids
            if since is None or self._crashes[crash_id].at > since
        ]
        return sorted(counted, key=lambda c: (self._crashes[c].at, c))

    def is_explained(self, crash_id: _types.CrashId, blamed) -> bool:
        """Whether a subject that is blamed took part in a crash.

        :param crash_id: the crash.
        :param blamed: set of keys.
        """
        return not blamed.isdisjoint(self._crashes[crash_id].lost_by_key)

    def count_moments(
        self,
        key: str,
        crash_ids: list[_types.CrashId],
        moment: datetime.timedelta,
    ) -> int:
        """Count the separate moments of crashes that a subject took part in.

        Of two crashes with separate moments, the later one ended an attempt
        that was sent after the earlier one.

        :param key: key of the subject.
        :param crash_ids: the crashes, oldest first.
        :param moment: further time between the crashes of two moments.
        """
        count = 0
        earliest = None
        for crash_id in crash_ids:
            crash = self._crashes[crash_id]
            sent_at = crash.at - crash.lost_by_key[key].ran_for
            if earliest is None or (
                sent_at > earliest and crash.at - earliest >= moment
            ):
                earliest = crash.at
                count += 1
        return count
