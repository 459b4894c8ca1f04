"""Commands of the placement planner over time."""

import hypothesis
from hypothesis import strategies
import pytest

from buckthorntack import placement
from buckthorntack.placement import _demand
from buckthorntack.placement import _planner
from buckthorntack.placement.tests import worlds

BUSY = (60, 20, 5.0)
IDLE = (0, 0, 0.0)
LIGHT = (1, 0, 0.1)


def test_engine_is_moved_to_where_demand_is():
    world = worlds.EngineWorld(["m1"] * 4)
    world.run(300_000, {"m1": LIGHT, "m2": BUSY})
    assert (world.count("m1"), world.count("m2")) == (1, 3)


def test_last_engine_of_a_model_version_in_demand_stays():
    world = worlds.EngineWorld(["m1", "m2", "m2"])
    world.run(600_000, {"m1": LIGHT, "m2": BUSY})
    assert world.count("m1") == 1
    assert world.orders() == []


def test_least_number_of_engines_is_kept_without_demand():
    world = worlds.EngineWorld(["m1"] * 4)
    world.run(600_000, {"m1": BUSY, "m2": IDLE}, min_servers=2)
    assert (world.count("m1"), world.count("m2")) == (2, 2)


def test_model_version_without_engine_gets_one_at_once():
    world = worlds.EngineWorld(["m1", "m1"])
    world.run(10_000, {"m1": LIGHT, "m2": LIGHT})
    assert world.count("m2") == 1


def test_short_peak_moves_nothing():
    world = worlds.EngineWorld(["m1", "m1", "m2"])
    for _ in range(10):
        world.run(10_000, {"m1": LIGHT, "m2": BUSY})
        world.run(10_000, {"m1": BUSY, "m2": LIGHT})
    assert world.log == []


def test_moved_engine_rests():
    world = worlds.EngineWorld(["m1", "m1"])
    world.run(60_000, {"m1": LIGHT, "m2": LIGHT})
    moved = len(world.orders())
    world.run(60_000, {"m1": BUSY, "m2": IDLE})
    assert len(world.orders()) == moved == 1


def test_busy_engine_is_drained_first():
    world = worlds.EngineWorld(["m1", "m1"])
    for name, server in world.servers.items():
        load = server.load._replace(running=1)
        world.servers[name] = server._replace(load=load)
    world.run(100_000, {"m1": LIGHT, "m2": LIGHT})
    assert world.planner.draining() == ["s0"]
    assert world.orders() == []
    load = world.servers["s0"].load._replace(running=0)
    world.servers["s0"] = world.servers["s0"]._replace(load=load)
    world.run(2000, {"m1": LIGHT, "m2": LIGHT})
    assert len(world.orders()) == 1
    world.run(1000, {"m1": LIGHT, "m2": LIGHT})
    assert world.planner.draining() == []


def test_load_report_from_before_the_drain_does_not_count():
    world = worlds.EngineWorld(["m1", "m1"])
    load = world.servers["s0"].load._replace(age_ms=10**6)
    for name, server in world.servers.items():
        world.servers[name] = server._replace(load=load)
    world.run(100_000, {"m1": LIGHT, "m2": LIGHT})
    assert world.orders() == []


def test_weight_store_bounds_loads():
    world = worlds.EngineWorld([""] * 6, loads=2)
    world.loses_orders = True
    world.run(20_000, {"m1": BUSY, "m2": BUSY})
    assert len(world.orders()) == 2
    rested = worlds.EngineWorld([""] * 6, loads=1)
    rested.run(60_000, {"m1": BUSY, "m2": BUSY})
    starts = [at_ms for at_ms, _ in rested.orders()]
    gaps = [b - a for a, b in zip(starts, starts[1:], strict=False)]
    assert min(gaps) >= 10_000


def test_order_without_effect_is_repeated():
    world = worlds.EngineWorld(["m1", "m1"])
    world.loses_orders = True
    world.run(20_000, {"m1": LIGHT, "m2": LIGHT})
    assert len(world.orders()) == 1
    world.loses_orders = False
    world.run(40_000, {"m1": LIGHT, "m2": LIGHT})
    assert world.count("m2") == 1


def test_late_order_of_a_former_issuer_is_corrected():
    world = worlds.EngineWorld(["m1", "m2", "m2"])
    demands = {"m1": LIGHT, "m2": LIGHT}
    world.run(5000, demands)
    late = world.servers["s0"]._replace(model_versions=["m2"])
    world.servers["s0"] = late
    world.run(20_000, demands)
    assert world.count("m1") == 1


def test_nothing_is_ordered_without_leave():
    world = worlds.EngineWorld(["m1", "m1"])
    world.may_order = False
    world.run(60_000, {"m1": LIGHT, "m2": LIGHT})
    assert world.orders() == []


demands = strategies.fixed_dictionaries(
    {
        version: strategies.tuples(
            strategies.integers(0, 60),
            strategies.integers(0, 60),
            strategies.floats(0, 10),
        )
        for version in ("m1", "m2")
    }
)


def check_moves(versions, steps, loads):
    """Check that versions in demand keep an engine and loads are bounded."""
    world = worlds.EngineWorld(versions, loads)
    for demand in steps:
        before = {v: world.count(v) for v in ("m1", "m2")}
        world.run(30_000, demand)
        for version in ("m1", "m2"):
            wanted = any(demand[version])
            assert world.count(version) or not (wanted and before[version])
        starts = [at_ms for at_ms, _ in world.orders()]
        for at_ms in starts:
            near = [s for s in starts if at_ms <= s < at_ms + 10_000]
            assert len(near) <= loads


@hypothesis.settings(
    max_examples=40, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(["m1", "m2"]), min_size=1, max_size=8
    ),
    strategies.lists(demands, max_size=8),
    strategies.integers(1, 3),
)
def test_moves_keep_their_promises(versions, steps, loads):
    check_moves(versions, steps, loads)


def always(*_):
    return True


def all_to_one(pool, needs, demands, engines):
    neediest = max(needs, key=needs.get)
    return {version: engines * (version == neediest) for version in needs}


@pytest.mark.parametrize(
    ("owner", "name", "variant", "scenario"),
    [
        (
            _planner.PlacementPlanner,
            "_is_movable",
            always,
            test_moved_engine_rests,
        ),
        (
            _demand,
            "share_engines",
            all_to_one,
            test_least_number_of_engines_is_kept_without_demand,
        ),
        (
            placement.WeightStoreBudget,
            "can_start_load",
            always,
            test_weight_store_bounds_loads,
        ),
        (
            _planner,
            "is_reached",
            always,
            test_late_order_of_a_former_issuer_is_corrected,
        ),
    ],
)
def test_broken_variant_is_caught(owner, name, variant, scenario, monkeypatch):
    monkeypatch.setattr(owner, name, variant)
    with pytest.raises(AssertionError):
        scenario()
