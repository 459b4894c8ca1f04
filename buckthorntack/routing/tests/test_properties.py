"""Property-based tests: every decision of the router is an allowed one."""

import random

import hypothesis
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import pytest

from buckthorntack import routing
from buckthorntack.routing import _regions
from buckthorntack.routing import _servers
from buckthorntack.routing.tests import _records

REGIONS = ("fukuoka", "kumamoto", "kagoshima")
NAMES = ("s1", "s2", "s3")
OUTCOMES = tuple(routing.AttemptOutcome)

server_updates = strategies.builds(
    _records.server,
    strategies.sampled_from(NAMES),
    region=strategies.sampled_from(("fukuoka", "fukuoka", "kumamoto")),
    incarnation=strategies.integers(1, 2),
    sequence=strategies.integers(1, 4),
    state=strategies.sampled_from(("ready", "ready", "draining", "withdrawn")),
    model_versions=strategies.sampled_from((["writer-2"], ["writer-1"])),
    lease_ms=strategies.sampled_from((500, 2000)),
    running=strategies.integers(0, 40),
)
summaries = strategies.builds(
    _records.summary,
    strategies.sampled_from(REGIONS[1:]),
    running=strategies.integers(0, 30),
    lease_ms=strategies.sampled_from((500, 3000)),
    sequence=strategies.integers(1, 6),
)
requests = strategies.builds(
    _records.request,
    allowed_regions=strategies.frozensets(strategies.sampled_from(REGIONS)),
    origin_region=strategies.sampled_from((None, None, "kumamoto")),
    excluded_servers=strategies.frozensets(
        strategies.sampled_from(NAMES), max_size=2
    ),
    isolate=strategies.booleans(),
    preferred_server=strategies.sampled_from((None, *NAMES)),
    prefix_hashes=strategies.sampled_from(((), (1, 2, 3), (1, 2, 4))),
)
failures = strategies.tuples(
    strategies.sampled_from(NAMES), strategies.sampled_from(OUTCOMES)
)
actions = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 900),
        server_updates | summaries | requests | failures,
    ),
    min_size=10,
    max_size=40,
)


class Model:
    """Reference model of the servers and regions that a decision may use."""

    def __init__(self):
        self.servers = {}
        self.summaries = {}

    def update_server(self, record, now_ms):
        known = self.servers.get(record.server_id)
        is_newer = known is None or record[1:3] >= known[0][1:3]
        if record.region == "fukuoka" and is_newer:
            lease_until_ms = now_ms + record.lease_ms
            self.servers[record.server_id] = (record, lease_until_ms)

    def update_summary(self, summary, now_ms):
        known = self.summaries.get(summary.region)
        if known is None or summary.sequence >= known[0].sequence:
            lease_until_ms = now_ms + summary.lease_ms
            self.summaries[summary.region] = (summary, lease_until_ms)

    def list_allowed_servers(self, request, now_ms):
        return {
            name
            for name, (record, lease_until_ms) in self.servers.items()
            if "fukuoka" in request.allowed_regions
            and record.state == "ready"
            and now_ms < lease_until_ms
            and request.model_version in record.model_versions
            and name not in request.excluded_servers
        }

    def list_allowed_regions(self, request, now_ms):
        return {
            region
            for region, (_, lease_until_ms) in self.summaries.items()
            if request.origin_region is None
            and region in request.allowed_regions
            and now_ms < lease_until_ms
        }


def run_steps(router, steps):
    """Apply steps to a router and check each decision against the model."""
    model = Model()
    now_ms = 0
    for number, (wait_ms, action) in enumerate(steps):
        now_ms += wait_ms
        now = _records.seconds(now_ms / 1000)
        if isinstance(action, routing.RouteRequest):
            check_decision(router, model, action, now, now_ms, number)
        elif isinstance(action[1], routing.AttemptOutcome):
            router.on_attempt_started(action[0], number, 100, now)
            router.on_attempt_finished(action[0], number, action[1], now)
        elif hasattr(action, "server_id"):
            router.update_server(action, now)
            model.update_server(action, now_ms)
        else:
            router.update_summary(action, now)
            model.update_summary(action, now_ms)


def check_decision(router, model, request, now, now_ms, number):
    result = router.choose(request, now)
    servers = model.list_allowed_servers(request, now_ms)
    regions = model.list_allowed_regions(request, now_ms)
    if result.is_error():
        assert not servers and not regions
        return
    decision = result.ok
    if isinstance(decision, routing.RouteForward):
        assert decision.region in regions
        router.on_forward_started(decision, number, request, now)
        return
    assert decision.server_id in servers
    router.on_attempt_started(decision.server_id, number, 100, now)


def make_router(kind):
    settings = routing.RouterSettings()
    return kind("fukuoka", "fukuoka-a", settings, random.Random(2))


@hypothesis_settings(
    max_examples=200, deadline=None, derandomize=True, database=None
)
@given(steps=actions)
def test_every_decision_is_allowed(steps):
    run_steps(make_router(routing.Router), steps)


class IgnoresResidency(routing.Router):
    def choose(self, request, now):
        everywhere = frozenset(REGIONS)
        return super().choose(
            request._replace(allowed_regions=everywhere), now
        )


class ForwardsAgain(routing.Router):
    def choose(self, request, now):
        return super().choose(request._replace(origin_region=None), now)


class IgnoresExclusion(routing.Router):
    def choose(self, request, now):
        request = request._replace(excluded_servers=frozenset())
        return super().choose(request, now)


class IgnoresDraining(routing.Router):
    def update_server(self, record, now):
        super().update_server(record._replace(state="ready"), now)


class IgnoresVersion(routing.Router):
    def update_server(self, record, now):
        both = ["writer-1", "writer-2"]
        super().update_server(record._replace(model_versions=both), now)


class IgnoresOrder(routing.Router):
    def update_server(self, record, now):
        self.remove_server(record.server_id, now)
        super().update_server(record, now)


class IgnoresLeases(routing.Router):
    def update_server(self, record, now):
        super().update_server(record._replace(lease_ms=10**9), now)


class IgnoresSummaryLeases(routing.Router):
    def update_summary(self, summary, now):
        super().update_summary(summary._replace(lease_ms=10**9), now)


class GivesUpEarly(routing.Router):
    def _score_local(self, request, group, matches, now_s):
        return []


@pytest.mark.parametrize(
    "kind",
    [
        IgnoresResidency,
        ForwardsAgain,
        IgnoresExclusion,
        IgnoresDraining,
        IgnoresVersion,
        IgnoresOrder,
        IgnoresLeases,
        IgnoresSummaryLeases,
        GivesUpEarly,
    ],
)
def test_broken_variants_are_caught(kind):
    @hypothesis_settings(
        max_examples=1000,
        deadline=None,
        derandomize=True,
        database=None,
        phases=(hypothesis.Phase.generate,),
    )
    @given(steps=actions)
    def run(steps):
        run_steps(make_router(kind), steps)

    with pytest.raises(AssertionError):
        run()


def test_several_entry_vms_do_not_herd():
    settings = routing.RouterSettings()
    routers = [
        routing.Router("fukuoka", "fukuoka-a", settings, random.Random(n))
        for n in range(8)
    ]
    names = [f"s{n}" for n in range(20)]
    for router in routers:
        for n, name in enumerate(names):
            record = _records.server(
                name, slots=32, running=10 + n % 3, lease_ms=10**6
            )
            router.update_server(record, _records.seconds(0))
    counts = dict.fromkeys(names, 0)
    for turn in range(400):
        router = routers[turn % 8]
        now = _records.seconds(30 + turn / 1000)
        name = router.choose(_records.request(), now).ok.server_id
        router.on_attempt_started(name, turn, 100, now)
        counts[name] += 1
    assert max(counts.values()) <= 2.5 * 400 / len(names)


def test_groups_and_timers_hold_no_leftovers():
    table = _servers.ServerTable(routing.RouterSettings())
    for turn in range(1000):
        record = _records.server(f"s{turn % 5}", sequence=turn)
        table.update(record, turn / 10)
        table.apply_expired_timers(turn / 10)
    for n in range(5):
        table.remove(f"s{n}")
    table.apply_expired_timers(1e6)
    key = _servers.GroupKey("pitchwriter", "writer-2")
    assert not table.servers_by_load(key)
    assert len(table) == 0
    assert len(table._timers) == 0
    assert not _regions.DomainTable(settings=None, rng=None).sample_domains(
        key, 0
    )
