"""Log events of the quarantine."""

import functools

import logbook

from buckthorntack import events
from buckthorntack.quarantine import _types

SUBJECT_BLAMED = events.declare(
    2400,
    "subject_blamed",
    logbook.WARNING,
    "Requests with a subject are refused, as it crashes backend servers.",
    "check the crashes of the servers that such requests ran on",
)
SUBJECT_CLEARED = events.declare(
    2401,
    "subject_cleared",
    logbook.NOTICE,
    "Requests with a subject are no longer refused.",
)
TRIAL_STARTED = events.declare(
    2402,
    "trial_started",
    logbook.NOTICE,
    "One request with a refused subject is sent, to see whether it still "
    "crashes servers.",
)
SUBJECTS_CUT = events.declare(
    2403,
    "subjects_cut",
    logbook.WARNING,
    "A crash ended more requests than its records may hold; some subjects "
    "are left out.",
)


@functools.singledispatch
def write_change(change, log: events.EventLog) -> None:
    """Log a change of the quarantine.

    :param change: item of ``Quarantine.take_changes()``.
    :param log: where to write it.
    """
    raise TypeError(f"no event for {change!r}")


@write_change.register
def _(change: _types.SubjectBlamed, log):
    log.write(SUBJECT_BLAMED, **change._asdict())


@write_change.register
def _(change: _types.SubjectCleared, log):
    log.write(SUBJECT_CLEARED, **change._asdict())


@write_change.register
def _(change: _types.TrialStarted, log):
    log.write(TRIAL_STARTED, **change._asdict())


@write_change.register
def _(change: _types.SubjectsCut, log):
    log.write(SUBJECTS_CUT, **change._asdict())
