"""No order of cuts, losses and restarts lets a quota be exceeded."""

import hypothesis
from hypothesis import strategies

from buckthorntack.admission.tests import _entry_vms

BOUNDED = hypothesis.settings(
    max_examples=40,
    deadline=None,
    derandomize=True,
    database=None,
    # Shrinking a failure takes minutes.
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
PAIRS = tuple(
    map(
        frozenset,
        [("north", "south"), ("north", "centre"), ("south", "centre")],
    )
)
RATE_PER_S = 130_000.0
LOWERED = _entry_vms.tokens(60_000.0, 60_000.0)

_changes = strategies.one_of(
    strategies.tuples(
        strategies.just("cut"), strategies.sets(strategies.sampled_from(PAIRS))
    ),
    strategies.tuples(strategies.just("restart"), strategies.integers(0, 8)),
    strategies.tuples(strategies.just("stop"), strategies.integers(0, 8)),
    strategies.tuples(strategies.just("herd"), strategies.none()),
    strategies.tuples(strategies.just("loss"), strategies.floats(0.0, 0.15)),
    strategies.tuples(
        strategies.just("demand"), strategies.sampled_from([0.0, 1.0, 7.5])
    ),
    strategies.tuples(
        strategies.just("place"),
        strategies.sampled_from([None, ("north",), ("south", "centre")]),
    ),
    strategies.tuples(strategies.just("lower"), strategies.none()),
)
_steps = strategies.lists(
    strategies.tuples(_changes, strategies.integers(2, 30)),
    min_size=3,
    max_size=14,
)


class _Play:
    def __init__(self, cost, seed):
        counts = {"north": 3, "centre": 3, "south": 3}
        quotas = {"depot": _entry_vms.tokens(RATE_PER_S, RATE_PER_S)}
        self.world = _entry_vms.World(counts, quotas, seed)
        self.names = list(self.world.vms)
        self.cost = cost
        self.per_s = 7.5 * 100_000.0
        self.regions = None
        self.lowered_s = None

    def change(self, kind, value):
        world = self.world
        if kind == "cut":
            world.cuts = value
        elif kind == "restart":
            world.start(self.names[value])
        elif kind == "stop":
            if len(world.names_in(world.region_of[self.names[value]])) > 1:
                world.vms.pop(self.names[value], None)
        elif kind == "herd":
            for name in list(world.vms):
                world.start(name)
        elif kind == "loss":
            world.loss = value
        elif kind == "demand":
            self.per_s = value * 100_000.0
        elif kind == "place":
            self.regions = value
        elif self.lowered_s is None:
            self.lowered_s = world.now_s
            world.quotas["depot"] = LOWERED

    def run(self, rounds):
        for _ in range(rounds):
            self.world.offer("depot", self.per_s, self.cost, self.regions)
            self.world.run_round()


@BOUNDED
@hypothesis.given(
    _steps,
    strategies.sampled_from([400.0, 17_000.0, 50_000.0]),
    strategies.integers(0, 999),
)
def test_quota_holds_in_each_window(steps, cost, seed):
    play = _Play(cost, seed)
    for (kind, value), rounds in steps:
        play.change(kind, value)
        play.run(rounds)
    world = play.world
    assert (
        world.excess("depot", _entry_vms.tokens(RATE_PER_S, RATE_PER_S)) <= 1
    )
    if play.lowered_s is not None:
        world.admitted["depot"] = [
            pair
            for pair in world.admitted["depot"]
            if pair[0] > play.lowered_s
        ]
        assert world.excess("depot") <= 1
