"""Tests of the filters, scores, forwarding and ejection of the router."""

import random

import pytest

from buckthorntack import errors
from buckthorntack import routing
from buckthorntack.routing.tests import _records

FAILED = routing.AttemptOutcome.FAILED


@pytest.fixture
def router():
    settings = routing.RouterSettings()
    return routing.Router("fukuoka", "fukuoka-a", settings, random.Random(1))


def at(value):
    return _records.seconds(value)


def choose(router, now=1.0, **fields):
    return router.choose(_records.request(**fields), at(now)).ok


def test_prefers_the_less_loaded_server(router):
    router.update_server(_records.server("s1", running=8, waiting=4), at(0))
    router.update_server(_records.server("s2", running=1), at(0))
    names = {choose(router).server_id for _ in range(20)}
    assert names == {"s2"}


def test_counts_own_requests_that_a_late_report_misses(router):
    router.update_server(_records.server("s1", running=0, age_ms=0), at(0))
    router.update_server(_records.server("s2", running=3, age_ms=0), at(0))
    for number in range(12):
        router.on_attempt_started("s1", f"a{number}", 100, at(1))
    late = _records.server("s1", sequence=2, running=0, age_ms=1000)
    router.update_server(late, at(1.5))
    assert choose(router, 1.6).server_id == "s2"


def test_finished_requests_no_longer_count(router):
    router.update_server(_records.server("s1"), at(0))
    router.update_server(_records.server("s2", running=3), at(0))
    for number in range(12):
        router.on_attempt_started("s1", f"a{number}", 100, at(1))
        router.on_attempt_finished("s1", f"a{number}", FAILED, at(1))
    router.update_server(_records.server("s1", sequence=2), at(1.1))
    load = choose(router, 1.2).reasons.load
    assert load in (0, 3)


def test_prefers_a_cached_prefix(router):
    hashes = routing.prefix_hashes(b"pack" * 20000)
    for name in ("s1", "s2", "s3"):
        router.update_server(_records.server(name), at(0))
    texts = [routing.format_prefix_hash(value) for value in hashes]
    stored = {"sequence": 0, "kind": "stored", "prefix_hashes": texts}
    router.on_cache_events("s2", [stored], at(0))
    decision = choose(router, prefix_hashes=hashes, prompt_tokens=20000)
    assert decision.server_id == "s2"
    assert decision.reasons.cached_share == 1.0


def test_a_restarted_server_has_a_cold_cache(router):
    hashes = routing.prefix_hashes(b"pack" * 20000)
    router.update_server(_records.server("s1"), at(0))
    assert choose(router, prefix_hashes=hashes).server_id == "s1"
    router.update_server(_records.server("s1", incarnation=2), at(0.5))
    share = choose(router, prefix_hashes=hashes).reasons.cached_share
    assert share == 0.0


def test_a_restarted_server_starts_without_load(router):
    router.update_server(_records.server("s1", lease_ms=90000), at(0))
    for number in range(5):
        router.on_attempt_started(
            "s1", f"a{number}", 9000, at(1), isolated=True
        )
    restarted = _records.server("s1", incarnation=2, lease_ms=90000)
    router.update_server(restarted, at(2))
    for number in range(5):
        router.on_attempt_finished("s1", f"a{number}", FAILED, at(3))
    reasons = choose(router, 40).reasons
    assert reasons.load == 0
    assert reasons.expected_ttft_ms < 100


@pytest.mark.parametrize(
    "fields",
    [
        {"state": "draining"},
        {"state": "withdrawn"},
        {"lease_ms": 500},
        {"service": "vergedesk"},
        {"model_versions": ["writer-1"]},
        {"region": "kumamoto"},
    ],
)
def test_leaves_out_servers_that_must_not_run_it(router, fields):
    router.update_server(_records.server("s1", **fields), at(0))
    error = router.choose(_records.request(), at(1)).error
    assert isinstance(error, routing.NoServerError)
    assert error.run_state is errors.RunState.NOT_RUN
    assert error.retry_after_ms > 0


def test_an_older_record_does_not_bring_a_server_back(router):
    router.update_server(_records.server("s1", sequence=5), at(0))
    drain = _records.server("s1", sequence=6, state="draining")
    router.update_server(drain, at(0.1))
    router.update_server(_records.server("s1", sequence=5), at(0.2))
    assert router.choose(_records.request(), at(0.3)).is_error()


def test_excluded_servers_are_named(router):
    router.update_server(_records.server("s1"), at(0))
    request = _records.request(excluded_servers=frozenset({"s1"}))
    error = router.choose(request, at(1)).error
    assert isinstance(error, routing.ExcludedError)
    assert "s1" in str(error)


def test_forwards_what_cannot_run_here(router):
    router.update_summary(_records.summary("kumamoto"), at(0))
    decision = choose(router)
    assert decision.region == "kumamoto"
    assert decision.entries == ("entry-kumamoto",)


def test_does_not_forward_to_where_it_failed(router):
    router.update_summary(_records.summary("kumamoto"), at(0))
    router.update_summary(_records.summary("kagoshima"), at(0))
    failed = frozenset({"kumamoto-a"})
    decisions = [choose(router, excluded_servers=failed) for _ in range(20)]
    assert {decision.region for decision in decisions} == {"kagoshima"}


def test_never_forwards_a_forwarded_request(router):
    router.update_summary(_records.summary("kumamoto"), at(0))
    request = _records.request(origin_region="kagoshima")
    assert router.choose(request, at(1)).is_error()


def test_residency_goes_before_everything(router):
    router.update_server(_records.server("s1"), at(0))
    router.update_summary(_records.summary("kumamoto"), at(0))
    request = _records.request(allowed_regions=frozenset({"kagoshima"}))
    error = router.choose(request, at(1)).error
    assert isinstance(error, routing.ResidencyError)


def test_forwards_only_when_clearly_better(router):
    router.update_server(_records.server("s1", running=8), at(0))
    router.update_summary(_records.summary("kumamoto"), at(0))
    assert isinstance(choose(router), routing.RouteLocal)
    crowded = _records.server("s1", sequence=2, running=8, waiting=24)
    router.update_server(crowded, at(1))
    assert isinstance(choose(router, 1.1), routing.RouteForward)


def test_a_suspect_stays_where_it_can_run(router):
    router.update_server(_records.server("s1", waiting=40), at(0))
    router.update_summary(_records.summary("kumamoto"), at(0))
    assert isinstance(choose(router), routing.RouteForward)
    assert isinstance(choose(router, isolate=True), routing.RouteLocal)
    router.remove_server("s1", at(1))
    assert isinstance(choose(router, isolate=True), routing.RouteForward)


def test_forwarding_goes_on_until_the_advantage_is_small(router):
    def waiting(count, sequence, now):
        crowded = _records.server(
            "s1", slots=80, running=80, waiting=count, sequence=sequence
        )
        router.update_server(crowded, at(now))

    router.update_summary(_records.summary("kumamoto", slots=400), at(0))
    waiting(26, 1, 0)
    assert isinstance(choose(router, 0.1), routing.RouteLocal)
    waiting(60, 2, 0.2)
    assert isinstance(choose(router, 0.3), routing.RouteForward)
    waiting(26, 3, 0.4)
    assert isinstance(choose(router, 0.5), routing.RouteForward)
    waiting(5, 4, 0.6)
    assert isinstance(choose(router, 0.7), routing.RouteLocal)
    waiting(26, 5, 0.8)
    assert isinstance(choose(router, 0.9), routing.RouteLocal)


def test_a_region_that_returns_is_filled_slowly(router):
    def forwarded(now):
        crowded = _records.server(
            "s1", slots=10, running=10, waiting=10, sequence=int(now)
        )
        router.update_server(crowded, at(now))
        count = 0
        for number in range(300):
            decision = choose(router, now)
            if isinstance(decision, routing.RouteForward):
                request = _records.request()
                name = f"f{now}-{number}"
                router.on_forward_started(decision, name, request, at(now))
                count += 1
        return count

    router.update_summary(_records.summary("kumamoto", slots=100), at(0))
    router.update_summary(
        _records.summary("kumamoto", slots=100, sequence=2, lease_ms=90000),
        at(60),
    )
    assert 10 <= forwarded(60.1) <= 30
    assert forwarded(85) >= 60


def test_own_bytes_on_a_link_count(router):
    router.set_region_link("kumamoto", at(0.11), 70e6)
    router.update_server(_records.server("s1", running=8, waiting=14), at(0))
    router.update_summary(_records.summary("kumamoto", slots=400), at(0))
    request = _records.request(body_bytes=16_000_000)
    decision = choose(router)
    assert isinstance(decision, routing.RouteForward)
    for number in range(5):
        router.on_forward_started(decision, f"f{number}", request, at(1))
    assert isinstance(choose(router), routing.RouteLocal)


def test_failing_server_is_ejected_and_returns(router):
    router.update_server(_records.server("s1", lease_ms=90000), at(0))
    router.update_server(
        _records.server("s2", running=7, lease_ms=90000), at(0)
    )
    ejected = []
    for number in range(3):
        router.on_attempt_started("s1", f"a{number}", 100, at(1))
        ejected.append(
            router.on_attempt_finished("s1", f"a{number}", FAILED, at(1))
        )
    assert ejected == [False, False, True]
    assert {choose(router, 2).server_id for _ in range(20)} == {"s2"}
    assert "s1" in {choose(router, 40).server_id for _ in range(20)}


def test_the_last_server_is_not_ejected(router):
    router.update_server(_records.server("s1"), at(0))
    for number in range(5):
        router.on_attempt_started("s1", f"a{number}", 100, at(1))
        router.on_attempt_finished("s1", f"a{number}", FAILED, at(1))
    assert choose(router).server_id == "s1"


def test_a_server_with_a_suspect_takes_nothing_else(router):
    router.update_server(_records.server("s1"), at(0))
    router.update_server(_records.server("s2", running=6), at(0))
    suspect = choose(router, isolate=True)
    assert suspect.server_id == "s1"
    router.on_attempt_started("s1", "a1", 100, at(1), isolated=True)
    assert {choose(router).server_id for _ in range(20)} == {"s2"}
    router.on_attempt_finished("s1", "a1", routing.AttemptOutcome.OK, at(1))
    assert choose(router).server_id == "s1"


def test_a_new_server_is_filled_slowly(router):
    old = _records.server("old", slots=100, lease_ms=90000, running=60)
    router.update_server(old, at(0))
    new = _records.server("new", slots=100, lease_ms=90000)
    router.update_server(new, at(30))
    placed = 0
    for number in range(60):
        name = choose(router, 30.1).server_id
        router.on_attempt_started(name, f"a{number}", 100, at(30.1))
        placed += name == "new"
    assert 5 <= placed <= 15


def test_equal_requests_of_several_entry_vms_meet():
    counts = set()
    for number in range(6):
        router = routing.Router(
            "fukuoka",
            "fukuoka-a",
            routing.RouterSettings(),
            random.Random(number),
        )
        for name in ("s1", "s2", "s3"):
            router.update_server(_records.server(name), at(0))
        counts.add(choose(router, fingerprint="f1").server_id)
    assert len(counts) == 1
