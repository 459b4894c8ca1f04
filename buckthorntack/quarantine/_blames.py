"""Subjects that are refused, and the trials that may end this."""

import datetime
from typing import NamedTuple

import xxhash

from buckthorntack.quarantine import _types
from buckthorntack.schema import messages

_MS = datetime.timedelta(milliseconds=1)


class Blame(NamedTuple):
    """State of a refused subject; times are monotonic."""

    depth: int
    blamed_at: datetime.timedelta
    trials: int
    #: Time of the last trial; None if there was none.
    tried_at: datetime.timedelta | None

    def trial_due_at(self, period):
        """Return the time from which a further trial may be sent.

        :param period: time before the first trial.
        """
        started_at = self.blamed_at if self.tried_at is None else self.tried_at
        return started_at + period * 2**self.trials

    def merge(self, other):
        """Return the union with another record of the same blame.

        The earlier time counts, as the age of a record leaves out its time on
        the way.

        :param other: the other ``Blame``.
        """
        blamed_at = min(self.blamed_at, other.blamed_at)
        if self.trials == other.trials:
            times = [t for t in (self.tried_at, other.tried_at) if t]
            tried_at = min(times, default=None)
            return self._replace(blamed_at=blamed_at, tried_at=tried_at)
        latest = max(self, other, key=lambda blame: blame.trials)
        return latest._replace(blamed_at=blamed_at)


def encode(key: str, blame: Blame, now: datetime.timedelta):
    """Return the record of a blame.

    :param key: key of the subject.
    :param blame: the blame.
    :param now: current monotonic time.
    :returns: ``messages.BlameRecord``.
    """
    trial_age_ms = -1
    if blame.tried_at is not None:
        trial_age_ms = (now - blame.tried_at) // _MS
    return messages.BlameRecord(
        key,
        blame.depth,
        (now - blame.blamed_at) // _MS,
        blame.trials,
        trial_age_ms,
    )


def decode(record, now: datetime.timedelta) -> Blame:
    """Return the blame that a record tells.

    :param record: ``messages.BlameRecord``.
    :param now: current monotonic time.
    """
    tried_at = None
    if record.trial_age_ms >= 0:
        tried_at = now - record.trial_age_ms * _MS
    return Blame(
        record.depth, now - record.age_ms * _MS, record.trials, tried_at
    )


def may_try(
    key: str,
    blame: Blame,
    node_id: str,
    members: tuple[str, ...],
    settings: _types.QuarantineSettings,
    now: datetime.timedelta,
) -> bool:
    """Whether an entry VM may send a trial.

    One entry VM may when it is due, the first by rendezvous hashing.  As it
    may get no such request, more and more may later.

    :param key: key of the subject.
    :param blame: its blame.
    :param node_id: the entry VM.
    :param members: ids of the live entry VMs.
    :param settings: the settings.
    :param now: current monotonic time.
    """
    overdue = now - blame.trial_due_at(settings.trial_period)
    if overdue < datetime.timedelta(0):
        return False
    own_score = _score(key, blame.trials, node_id)
    rank = sum(
        _score(key, blame.trials, member) > own_score
        for member in members
        if member != node_id
    )
    slots = min(overdue // settings.trial_slot, len(members).bit_length())
    return rank < 2**slots


def _score(key, trials, node_id):
    text = f"{key}/{trials}/{node_id}"
    return xxhash.xxh3_64_intdigest(text.encode())
