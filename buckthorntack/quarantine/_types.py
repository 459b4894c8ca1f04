"""Types of the quarantine."""

import datetime
from typing import NamedTuple

_MS = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)
#: Time after its first data at which an answer that still gets data goes on.
CONTINUED_ANSWER = 500 * _MS


class Subject(NamedTuple):
    """A request, or a part of its prompt that others may share."""

    key: str
    #: Place in the prompt from 1; 0 for the whole request.
    depth: int


class Incarnation(NamedTuple):
    """One start of a backend server."""

    server_id: str
    born_ms: int


class CrashId(NamedTuple):
    """Identity of a crash."""

    server_id: str
    born_ms: int
    #: Number of the crash within the incarnation: a server may reset its
    #: connections and go on, or restart before its new incarnation is known.
    occurrence: int


class Admitted(NamedTuple):
    """The attempt may be sent."""


class Trial(NamedTuple):
    """The attempt may be sent, to see whether a subject still crashes."""

    key: str


class Refused(NamedTuple):
    """The attempt must not be sent, as a subject crashes servers."""

    key: str
    retry_after: datetime.timedelta


Verdict = Admitted | Trial | Refused


class Attempt(NamedTuple):
    """An attempt that ended at a server; times are monotonic."""

    incarnation: Incarnation
    subjects: tuple[Subject, ...]
    sent_at: datetime.timedelta
    ended_at: datetime.timedelta
    #: Identifier shared by equal requests.
    fingerprint: str


class SubjectBlamed(NamedTuple):
    """A subject is refused from now on."""

    key: str
    #: Crashes that it may have caused; 0 if another entry VM counted them.
    crashes: int


class SubjectCleared(NamedTuple):
    """A subject is no longer refused."""

    key: str


class TrialStarted(NamedTuple):
    """This entry VM sends an attempt with a refused subject."""

    key: str
    trials: int


class SubjectsCut(NamedTuple):
    """A crash had more subjects than a message may hold."""

    server_id: str
    count: int


Change = SubjectBlamed | SubjectCleared | TrialStarted | SubjectsCut


class QuarantineSettings(NamedTuple):
    """Constants of the quarantine."""

    #: Crashes after which a subject is refused, if no answer ever went on.
    min_crashes: int = 3
    #: Crashes that this takes if answers went on shortly before.
    min_crashes_of_good: int = 5
    #: Number of separate moments of these crashes.  In a loss of power, many
    #: servers end at one moment.
    min_moments: int = 2
    min_moments_of_good: int = 3
    #: Crashes of one moment are closer together than this.
    moment_of_good: datetime.timedelta = 300 * _MS
    #: Time from the first report of a crash until reports of other entry VMs
    #: should have come.
    settling: datetime.timedelta = 100 * _MS
    #: Longest time between a crash and the end of an answer that it may have
    #: broken off.
    max_end_delay: datetime.timedelta = 300 * _MS
    #: Time for which an answer that went on counts for its subjects.
    good_retention: datetime.timedelta = 60 * _SECOND
    #: Time for which a crash counts.
    crash_retention: datetime.timedelta = 60 * _SECOND
    clear_retention: datetime.timedelta = 120 * _SECOND
    #: Time after the last trial, or the blame, at which a blame ends.
    blame_retention: datetime.timedelta = 1800 * _SECOND
    #: Time from the blame to the first trial; doubles with each trial.
    trial_period: datetime.timedelta = 20 * _SECOND
    #: Time after which twice as many entry VMs may send an overdue trial.
    trial_slot: datetime.timedelta = 3 * _SECOND
    #: Difference of two clears that are taken as one, as the age of a record
    #: leaves out its time on the way.
    clear_tolerance: datetime.timedelta = 2 * _SECOND
    #: Delay that a refusal tells the caller to wait before a retry.
    retry_after: datetime.timedelta = 10 * _SECOND
    max_good: int = 65_536
    max_crashes: int = 256
    max_unframed_ends: int = 1024
    max_subjects_of_crash: int = 512
    #: Subjects of one crash in a message.
    max_subjects_sent: int = 128
    max_blames: int = 1024
    max_clears: int = 1024


def list_subjects(
    fingerprint: str, part_ids: tuple[str, ...]
) -> tuple[Subject, ...]:
    """List the subjects of an attempt.

    :param fingerprint: identifier shared by equal requests.
    :param part_ids: ids of the parts of the prompt that other prompts may
        share, in order.  The last part belongs to the request itself.

    >>> [subject.key for subject in list_subjects("f", ("a", "b", "a"))]
    ['request/f', 'part/a', 'part/b']
    """
    subjects = [Subject(f"request/{fingerprint}", 0)]
    for depth, part_id in enumerate(dict.fromkeys(part_ids), 1):
        subjects.append(Subject(f"part/{part_id}", depth))
    return tuple(subjects)
