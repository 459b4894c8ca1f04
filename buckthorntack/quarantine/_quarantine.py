"""Decision which requests and prompt parts crash backend servers."""

import collections
import datetime
import math

import xxhash

from buckthorntack.quarantine import _blames
from buckthorntack.quarantine import _evidence
from buckthorntack.quarantine import _recent_times
from buckthorntack.quarantine import _types
from buckthorntack.schema import messages

_MS = datetime.timedelta(milliseconds=1)


class Quarantine:
    """Requests and prompt parts that one entry VM refuses.

    A crash ends all attempts of a server, most of which did not cause it.  So
    the fewest subjects that explain the crashes are blamed: the one in most
    unexplained crashes first.  A subject whose answers go on is cleared.

    All records may be merged late, repeatedly and in any order.

    :param node_id: id of this entry VM.
    :param settings: the settings.
    """

    def __init__(
        self,
        node_id: str,
        settings: _types.QuarantineSettings | None = None,
    ):
        self.node_id = node_id
        self.settings = settings or _types.QuarantineSettings()
        self._members = (node_id,)
        retention = self.settings.good_retention
        max_good = self.settings.max_good
        self._own_good = _recent_times.RecentTimes(retention, max_good)
        self._reported_good = _recent_times.RecentTimes(retention, max_good)
        self._clears = _recent_times.RecentTimes(
            self.settings.clear_retention, self.settings.max_clears
        )
        self._evidence = _evidence.CrashEvidence(self.settings)
        self._blames = collections.OrderedDict()
        self._unframed_ends = collections.deque(
            maxlen=self.settings.max_unframed_ends
        )
        #: Times from which crashes are evaluated.
        self._unevaluated = {}
        self._reported_crashes = {}
        self._unsent_subjects = {}
        self._unsent_blames = {}
        self._unsent_clears = {}
        self._changes = []

    def __len__(self):
        """Number of records kept."""
        return (
            len(self._own_good)
            + len(self._reported_good)
            + len(self._clears)
            + len(self._evidence)
            + len(self._blames)
        )

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to send or to evaluate."""
        return not (
            self._unevaluated
            or self._unsent_subjects
            or self._unsent_blames
            or self._unsent_clears
        )

    def set_members(self, node_ids: list[str]) -> None:
        """Set the live entry VMs, which share the trials.

        :param node_ids: their ids, with or without this one.
        """
        self._members = tuple(sorted({*node_ids, self.node_id}))

    def list_blamed(self) -> list[str]:
        """List the keys of the subjects that are refused."""
        return list(self._blames)

    def check(
        self,
        subjects: tuple[_types.Subject, ...],
        now: datetime.timedelta,
        is_retry: bool = False,
    ) -> _types.Verdict:
        """Check an attempt; each needs this, directly before it is sent.

        If it is a :class:`Trial`, call :meth:`start_trial` before a server
        gets it.

        :param subjects: result of :func:`list_subjects`.
        :param now: current monotonic time.
        :param is_retry: whether a server got the request before.  A retry is
            refused only for its parts; the whole request is refused when it
            is sent again by its caller.
        """
        self._evaluate_settled(now)
        if is_retry:
            subjects = tuple(subject for subject in subjects if subject.depth)
        if self._unevaluated:
            explaining = self._explaining()
            for key, _ in subjects:
                if self._rank(key, explaining, now) is not None:
                    return _types.Refused(key, self.settings.retry_after)
        if not self._blames:
            return _types.Admitted()
        blamed = [key for key, _ in subjects if key in self._blames]
        if not blamed:
            return _types.Admitted()
        key = blamed[0]
        if len(blamed) > 1 or not self._may_try(key, now):
            return _types.Refused(key, self.settings.retry_after)
        return _types.Trial(key)

    def start_trial(self, key: str, now: datetime.timedelta) -> None:
        """Record that a server gets a trial; the next one is due later.

        :param key: key of the :class:`Trial`.
        :param now: current monotonic time.
        """
        blame = self._blames[key]
        self._blames[key] = blame._replace(
            trials=blame.trials + 1, tried_at=now
        )
        self._unsent_blames[key] = None
        self._changes.append(_types.TrialStarted(key, blame.trials + 1))

    def _may_try(self, key, now):
        return _blames.may_try(
            key,
            self._blames[key],
            self.node_id,
            self._members,
            self.settings,
            now,
        )

    def on_answer_continued(
        self,
        subjects: tuple[_types.Subject, ...],
        now: datetime.timedelta,
    ) -> None:
        """Record that an answer was completed or goes on.

        Called when a 2xx answer is complete, or when its data still arrives
        :data:`CONTINUED_ANSWER` after its first data.

        :param subjects: subjects of the attempt.
        :param now: current monotonic time.
        """
        for key, _ in subjects:
            if key in self._blames or self._is_suspected(key):
                self._unsent_clears[key] = now
                self._clear(key, now)
            self._own_good.record(key, now)

    def _is_suspected(self, key):
        """Whether one further crash may lead to a blame."""
        if not self._evidence:
            return False
        good_at = self._last_good(key)
        crash_ids = self._evidence.list_crashes(key, good_at)
        min_crashes = self.settings.min_crashes
        if good_at is not None:
            min_crashes = self.settings.min_crashes_of_good
        return len(crash_ids) >= min_crashes - 1

    def on_attempt_lost(
        self,
        incarnation: _types.Incarnation,
        subjects: tuple[_types.Subject, ...],
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
        fingerprint: str = "",
    ) -> bool:
        """Record an attempt whose connection broke before its answer went on.

        Not called for attempts after :meth:`on_answer_continued`.

        :param incarnation: the server.
        :param subjects: subjects of the attempt.
        :param sent_at: monotonic time at which the attempt was sent.
        :param now: current monotonic time.
        :param fingerprint: identifier shared by equal requests; needed if the
            whole request is not the first of the subjects.
        :returns: whether the crash is new for one of the subjects.
        """
        crash_id = self._evidence.identify(incarnation, sent_at)
        attempt = _types.Attempt(
            incarnation,
            subjects,
            sent_at,
            now,
            fingerprint or subjects[0].key,
        )
        is_first = crash_id not in self._evidence
        is_new = self._report(crash_id, attempt, now)
        if is_first:
            self._report_unframed_ends(crash_id, now)
        return is_new

    def on_unframed_answer_ended(
        self,
        incarnation: _types.Incarnation,
        subjects: tuple[_types.Subject, ...],
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Record an answer that ended with its connection.

        It may have been broken off: if the server crashed then, it counts as
        lost.  Not called after :meth:`on_answer_continued`.

        :param incarnation: the server.
        :param subjects: subjects of the attempt.
        :param sent_at: monotonic time at which the attempt was sent.
        :param now: current monotonic time.
        """
        attempt = _types.Attempt(
            incarnation, subjects, sent_at, now, subjects[0].key
        )
        self._unframed_ends.append(attempt)
        crash_id = self._evidence.identify(incarnation, sent_at)
        self._report_unframed_ends(crash_id, now)

    def _report_unframed_ends(self, crash_id, now):
        """Report answers that ended when their server crashed."""
        crashed_at = self._evidence.find_time(crash_id)
        if crashed_at is None:
            return
        for attempt in self._unframed_ends:
            delay = abs(attempt.ended_at - crashed_at)
            if (
                attempt.incarnation == crash_id[:2]
                and delay <= self.settings.max_end_delay
            ):
                self._report(crash_id, attempt, now)

    def _report(self, crash_id, attempt, now):
        """Add an attempt to a crash, for all entry VMs.

        :returns: whether the crash is new for one of its subjects.
        """
        _, subjects, sent_at, ended_at, fingerprint = attempt
        ran_for = ended_at - sent_at
        request = xxhash.xxh32_hexdigest(fingerprint.encode())
        added = self._evidence.add(
            crash_id, subjects, ended_at, ran_for, request
        )
        self._note_cut(crash_id, subjects)
        if not added:
            return False
        self._reported_crashes.setdefault(crash_id, ended_at)
        unsent = self._unsent_subjects.setdefault(crash_id, {})
        for key, depth in subjects:
            if key in added:
                unsent[key] = (depth, ran_for)
        self._unevaluated.setdefault(crash_id, now + self.settings.settling)
        return True

    def merge(
        self, update: messages.QuarantineUpdate, now: datetime.timedelta
    ) -> None:
        """Merge the records of another entry VM.

        :param update: the records.
        :param now: current monotonic time.
        """
        for record in update.clears:
            self._clear(record.key, now - record.age_ms * _MS)
        for record in update.crashes:
            self._merge_crash(record, now)
        for record in update.blames:
            self._merge_blame(record, now)

    def _merge_crash(self, record, now):
        at = now - record.age_ms * _MS
        if now - at > self.settings.crash_retention:
            return
        crash_id = _types.CrashId(
            record.server_id, record.born_ms, record.occurrence
        )
        is_first = crash_id not in self._evidence
        is_new = False
        for key, depth, request, ran_ms, good_age_ms in record.subjects:
            subjects = (_types.Subject(key, depth),)
            if self._evidence.add(
                crash_id, subjects, at, ran_ms * _MS, request
            ):
                is_new = True
            self._note_cut(crash_id, subjects)
            if good_age_ms >= 0:
                self._reported_good.record(key, now - good_age_ms * _MS)
        if is_new:
            due_at = now + self.settings.settling
            self._unevaluated.setdefault(crash_id, due_at)
        if is_first:
            self._report_unframed_ends(crash_id, now)

    def _note_cut(self, crash_id, subjects):
        cut = self._evidence.count_missing(crash_id, subjects)
        if cut:
            change = _types.SubjectsCut(crash_id.server_id, cut)
            self._changes.append(change)

    def _merge_blame(self, record, now):
        blame = _blames.decode(record, now)
        cleared_at = self._clears.get(record.key)
        if cleared_at is not None and cleared_at >= blame.blamed_at:
            return
        known = self._blames.get(record.key)
        if known is None:
            self._add_blame(record.key, blame, 0)
        else:
            self._blames[record.key] = known.merge(blame)

    def _clear(self, key, at):
        known = self._clears.get(key)
        if known is None or at - known > self.settings.clear_tolerance:
            self._clears.record(key, at)
        self._reported_good.record(key, at)
        blame = self._blames.get(key)
        if blame is not None and blame.blamed_at <= at:
            del self._blames[key]
            self._unsent_blames.pop(key, None)
            self._changes.append(_types.SubjectCleared(key))

    def _last_good(self, key):
        times = (self._own_good.get(key), self._reported_good.get(key))
        return max((time for time in times if time is not None), default=None)

    def _evaluate_settled(self, now):
        """Evaluate the crashes of which all reports should have come."""
        if not self._unevaluated:
            return
        due = [
            crash_id
            for crash_id, due_at in self._unevaluated.items()
            if due_at <= now
        ]
        for crash_id in due:
            del self._unevaluated[crash_id]
            for key in self._evaluate(crash_id, now):
                if crash_id in self._reported_crashes:
                    self._unsent_blames[key] = None

    def _evaluate(self, crash_id, now):
        """Blame the fewest subjects that explain the crashes of enough.

        :returns: keys of the subjects that are blamed now.
        """
        blamed = []
        if crash_id not in self._evidence:
            return blamed
        keys = self._evidence.list_keys(crash_id)
        while True:
            explaining = self._explaining()
            if self._evidence.is_explained(crash_id, explaining):
                break
            ranked = [
                (rank, key)
                for key in keys
                if key not in self._blames
                and (rank := self._rank(key, explaining, now)) is not None
            ]
            if not ranked:
                break
            rank, key = max(ranked)
            depth = self._evidence.find_depth(key)
            blame = _blames.Blame(depth, now, 0, None)
            self._add_blame(key, blame, rank[0])
            blamed.append(key)
            if depth:
                break
        return blamed

    def _explaining(self):
        """Keys of the blamed subjects that explain crashes of others.

        One that a single request had does not: other parts of that request
        may crash servers in other requests.
        """
        return {key for key in self._blames if self._evidence.is_shared(key)}

    def _rank(self, key, explaining, now):
        """Return the strength of the evidence; None if it is not enough."""
        settings = self.settings
        good_at = self._last_good(key)
        is_good = (
            good_at is not None and now - good_at <= settings.good_retention
        )
        crash_ids = self._evidence.list_crashes(key, good_at)
        min_crashes = settings.min_crashes
        if is_good:
            min_crashes = settings.min_crashes_of_good
        if len(crash_ids) < min_crashes:
            return None
        unexplained = [
            crash_id
            for crash_id in crash_ids
            if not self._evidence.is_explained(crash_id, explaining)
        ]
        if not unexplained:
            return None
        moment, min_moments = 0 * _MS, settings.min_moments
        if is_good:
            moment = settings.moment_of_good
            min_moments = settings.min_moments_of_good
        moments = self._evidence.count_moments(key, crash_ids, moment)
        if moments < min_moments:
            return None
        depth = self._evidence.find_depth(key)
        # A tie goes to the subject without an answer for the longest time.
        quiet_s = (now - good_at).total_seconds() if is_good else math.inf
        return (len(unexplained), quiet_s, depth)

    def _add_blame(self, key, blame, crashes):
        self._blames[key] = blame
        self._changes.append(_types.SubjectBlamed(key, crashes))
        if len(self._blames) > self.settings.max_blames:
            self._end_blame(next(iter(self._blames)))

    def _end_blame(self, key):
        del self._blames[key]
        self._unsent_blames.pop(key, None)
        self._changes.append(_types.SubjectCleared(key))

    def expire(self, now: datetime.timedelta) -> None:
        """Forget old records; called about every second.

        :param now: current monotonic time.
        """
        self._own_good.expire(now)
        self._reported_good.expire(now)
        self._clears.expire(now)
        self._evidence.expire(now)
        self._reported_crashes = {
            crash_id: at
            for crash_id, at in self._reported_crashes.items()
            if now - at <= self.settings.crash_retention
        }
        for key, blame in list(self._blames.items()):
            changed_at = blame.tried_at or blame.blamed_at
            if now - changed_at > self.settings.blame_retention:
                self._end_blame(key)

    def take_changes(self) -> list[_types.Change]:
        """Return and clear what has changed, to be logged."""
        changes, self._changes = self._changes, []
        return changes

    def take_update(
        self, now: datetime.timedelta
    ) -> messages.QuarantineUpdate | None:
        """Return and clear the records that all other entry VMs need.

        :param now: current monotonic time.
        :returns: the records; None if there are none.
        """
        self._evaluate_settled(now)
        if not (
            self._unsent_subjects or self._unsent_blames or self._unsent_clears
        ):
            return None
        crashes = [
            self._encode_crash(crash_id, subjects, now)
            for crash_id, subjects in self._unsent_subjects.items()
            if crash_id in self._evidence
        ]
        blames = self._encode_blames(self._unsent_blames, now)
        clears = [
            messages.ClearRecord(key, (now - at) // _MS)
            for key, at in self._unsent_clears.items()
        ]
        self._unsent_subjects = {}
        self._unsent_blames = {}
        self._unsent_clears = {}
        return messages.QuarantineUpdate(crashes, blames, clears)

    def _encode_crash(self, crash_id, subjects, now):
        records = [
            messages.LostSubject(
                key,
                depth,
                self._evidence.find_request(crash_id, key),
                ran_for // _MS,
                self._good_age_ms(key, now),
            )
            for key, (depth, ran_for) in subjects.items()
        ]
        # Those that no answer went on for are the likeliest culprits.
        records.sort(key=lambda record: record.good_age_ms >= 0)
        cut = len(records) - self.settings.max_subjects_sent
        if cut > 0:
            change = _types.SubjectsCut(crash_id.server_id, cut)
            self._changes.append(change)
        return messages.CrashRecord(
            *crash_id,
            (now - self._reported_crashes.get(crash_id, now)) // _MS,
            records[: self.settings.max_subjects_sent],
        )

    def _good_age_ms(self, key, now):
        at = self._own_good.get(key)
        return -1 if at is None else (now - at) // _MS

    def _encode_blames(self, keys, now):
        return [
            _blames.encode(key, self._blames[key], now)
            for key in keys
            if key in self._blames
        ]

    def digest(self) -> str:
        """Return a digest of all blames and clears; empty if there are none.

        Entry VMs with equal digests need not exchange their records.
        """
        if not self._blames and not self._clears:
            return ""
        items = [
            f"{key}/{blame.trials}" for key, blame in self._blames.items()
        ]
        items += [key for key, _ in self._clears]
        return xxhash.xxh3_64_hexdigest("\n".join(sorted(items)).encode())

    def export(self, now: datetime.timedelta) -> messages.QuarantineUpdate:
        """Return all blames and clears, for an entry VM that lacks some.

        :param now: current monotonic time.
        """
        clears = [
            messages.ClearRecord(key, (now - at) // _MS)
            for key, at in self._clears
        ]
        blames = self._encode_blames(self._blames, now)
        return messages.QuarantineUpdate([], blames, clears)
