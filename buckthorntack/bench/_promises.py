"""Checks of what must always hold, after a run."""

import collections
from typing import NamedTuple


class Violation(NamedTuple):
    """A promise that was broken."""

    promise: str
    mark: str
    particulars: str


def check(observations, records, allowed_regions, lost_expected=False):
    """Check a run.

    :param observations: list of ``Observation``.
    :param records: the ``RunRecords``.
    :param allowed_regions: regions of each organisation.
    :param lost_expected: whether an entry VM was killed, so that callers may
        lose their connections.
    :returns: list of :class:`Violation`.
    """
    violations = []
    by_mark = collections.defaultdict(list)
    for seen in observations:
        by_mark[seen.request.mark].append(seen)
        violations += _check_answer(seen, records, lost_expected)
    for mark, group in by_mark.items():
        runs = records.by_mark.get(mark, [])
        violations += _check_runs(mark, group, runs, allowed_regions)
    return violations


def _check_runs(mark, group, runs, allowed_regions):
    request = group[0].request
    ran_at = ", ".join(f"{run.server_id} ({run.attempt_id})" for run in runs)
    if not request.kind.idempotent and len(runs) > 1:
        yield Violation("at most once", mark, f"ran at {ran_at}")
    if runs and all(seen.run_state == "not_run" for seen in group):
        told = ", ".join(seen.error for seen in group)
        yield Violation("not run", mark, f"told {told}, ran at {ran_at}")
    allowed = allowed_regions[request.organisation]
    for run in runs:
        if run.region not in allowed:
            where = f"{request.organisation} ran at {run.server_id}"
            yield Violation("residency", mark, where)


def _check_answer(seen, records, lost_expected):
    mark = seen.request.mark
    for attempt_id in seen.attempt_ids:
        run = records.by_attempt.get(attempt_id)
        if run is not None and run.mark != mark:
            yield Violation("own answer", mark, f"got that of {run.mark}")
        if run is None and seen.status == 200:
            yield Violation("own answer", mark, f"nothing ran as {attempt_id}")
    if len(seen.attempt_ids) > 1:
        named = ", ".join(sorted(seen.attempt_ids))
        yield Violation("own answer", mark, f"events of {named}")
    if seen.event_numbers != tuple(range(len(seen.event_numbers))):
        yield Violation("whole answer", mark, f"events {seen.event_numbers}")
    if seen.broken and not lost_expected:
        yield Violation("whole answer", mark, seen.error)
    if seen.status == 200 and not seen.whole and not seen.run_state:
        yield Violation("whole answer", mark, "it ended early, untold")
    wanted = seen.request.kind.max_tokens
    if seen.whole and wanted and len(seen.event_numbers) != wanted + 1:
        count = len(seen.event_numbers)
        yield Violation("whole answer", mark, f"{count} events of {wanted}")
