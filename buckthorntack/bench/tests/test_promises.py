import pytest

from buckthorntack import bench
from buckthorntack.bench import _client
from buckthorntack.bench import _records

ALLOWED = {"fukuoka-council": ["fukuoka"]}
KINDS = {kind.name: kind for kind in bench.WORKLOADS["hoardline"].kinds}


def make_seen(kind="pitch line", number=1, **changes):
    request = bench.TimedRequest(
        0.0, number, KINDS[kind], "fukuoka-council", "fukuoka", 0, 0
    )
    seen = _client.Observation(
        request,
        status=200,
        run_state="",
        error="",
        first_token_ms=1.0,
        between_tokens_ms=(),
        attempt_ids=frozenset({"a1"}),
        event_numbers=tuple(range(13)) if kind == "pitch line" else (),
        whole=True,
        broken=False,
    )
    return seen._replace(**changes)


def make_records(*runs):
    records = _records.RunRecords()
    for number, attempt_id, region in runs:
        mark = f"request-{number:06d}."
        run = _records.Run(mark, attempt_id, "s1", region, "pitchwriter")
        records.by_mark.setdefault(mark, []).append(run)
        records.by_attempt[attempt_id] = run
    return records


def promises(seen, records, **options):
    found = bench.check(seen, records, ALLOWED, **options)
    return [violation.promise for violation in found]


def test_a_whole_answer_of_its_own_breaks_nothing():
    records = make_records((1, "a1", "fukuoka"))
    assert promises([make_seen()], records) == []


@pytest.mark.parametrize(
    ("changes", "promise"),
    [
        ({"attempt_ids": frozenset({"a2"})}, "own answer"),
        ({"attempt_ids": frozenset({"never"})}, "own answer"),
        ({"attempt_ids": frozenset({"a1", "a3"})}, "own answer"),
        ({"event_numbers": (0, 2, *range(2, 13))}, "whole answer"),
        ({"event_numbers": tuple(range(5))}, "whole answer"),
        ({"whole": False}, "whole answer"),
        ({"whole": False, "broken": True, "error": "e"}, "whole answer"),
        ({"status": 503, "run_state": "not_run", "whole": False}, "not run"),
    ],
)
def test_a_broken_promise_is_told(changes, promise):
    records = make_records(
        (1, "a1", "fukuoka"), (2, "a2", "fukuoka"), (1, "a3", "fukuoka")
    )
    assert promise in promises([make_seen(**changes)], records)


def test_a_second_run_of_a_booking_is_told_and_of_a_line_is_not():
    twice = make_records((1, "a1", "fukuoka"), (1, "a3", "fukuoka"))
    assert promises([make_seen("booking")], twice) == ["at most once"]
    assert promises([make_seen()], twice) == []


def test_a_run_outside_the_residency_is_told():
    records = make_records((1, "a1", "kagoshima"))
    assert promises([make_seen()], records) == ["residency"]


def test_a_refused_resend_of_a_booking_that_ran_before_is_sound():
    records = make_records((1, "a1", "fukuoka"))
    refused = make_seen(
        "booking",
        status=503,
        run_state="not_run",
        attempt_ids=frozenset(),
        whole=False,
    )
    seen = [make_seen("booking"), refused]
    assert promises(seen, records) == []


def test_a_connection_may_break_if_an_entry_vm_was_killed():
    records = make_records((1, "a1", "fukuoka"))
    lost = make_seen(whole=False, broken=True, run_state="unknown")
    assert promises([lost], records) == ["whole answer"]
    assert promises([lost], records, lost_expected=True) == []
