"""Random and exhaustive sequences of events over several replicas."""

import copy

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from buckthorntack.consensus.tests import simulation as simulations

NAMES = ("a", "b", "c")
BOUNDED = hypothesis.settings(
    max_examples=40,
    stateful_step_count=60,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class GroupMachine(stateful.RuleBasedStateMachine):
    """A group keeps its properties under random sequences of events."""

    def __init__(self):
        super().__init__()
        self.simulation = simulations.Simulation(NAMES)
        self.simulation.run_until_stable(40)

    nodes = strategies.sampled_from(NAMES)
    places = strategies.integers(0, 7)

    @stateful.rule(place=places, keep=strategies.booleans())
    def deliver(self, place, keep):
        if place < len(self.simulation.envelopes):
            self.simulation.deliver(place, keep)

    @stateful.rule(count=strategies.integers(1, 12))
    def deliver_in_order(self, count):
        for _ in range(min(count, len(self.simulation.envelopes))):
            self.simulation.deliver(0)

    @stateful.rule(place=places)
    def lose(self, place):
        del self.simulation.envelopes[place : place + 1]

    @stateful.rule(name=nodes, steps=strategies.sampled_from([1, 4, 20, 40]))
    def tick(self, name, steps):
        self.simulation.tick(name, steps)

    @stateful.rule(name=nodes)
    def propose(self, name):
        self.simulation.propose(name)

    @stateful.rule(name=nodes)
    def read(self, name):
        self.simulation.read(name)

    @stateful.rule(name=nodes, limit=strategies.integers(0, 4))
    def crash(self, name, limit):
        node = self.simulation.nodes[name]
        if node.replica:
            node.replica.tick(self.simulation.now + simulations.STEP)
            self.simulation.execute_commands(node, limit)
        else:
            self.simulation.restart(name)

    @stateful.rule(sender=nodes, to=nodes)
    def block(self, sender, to):
        self.simulation.blocked ^= {(sender, to)}

    @stateful.rule(name=nodes)
    def snapshot(self, name):
        self.simulation.save_snapshot(name)

    @stateful.rule(name=nodes)
    def transfer(self, name):
        self.simulation.transfer(name)

    @stateful.rule(name=nodes, subject=nodes)
    def remove(self, name, subject):
        self.simulation.change("remove", name, subject)

    def teardown(self):
        self.simulation.check_agreement()


TestGroupMachine = GroupMachine.TestCase
TestGroupMachine.settings = BOUNDED


@pytest.mark.parametrize("seed", range(30))
def test_random_schedule(seed):
    simulation = simulations.Simulation(NAMES, seed)
    simulations.Schedule(simulation, seed).run(1000)
    simulation.check_agreement()


def actions(simulation):
    """Yield the possible next events, as functions of the simulation."""
    yield lambda s: s.deliver(0) if s.envelopes else None
    yield lambda s: s.envelopes and s.envelopes.pop(0)
    for name in ("a", "b"):
        yield lambda s, name=name: s.tick(name, 20)
    yield lambda s: s.propose("a")
    yield lambda s: (s.crash("a"), s.restart("a"))


def explore(simulation, depth):
    """Try all sequences of a given number of events.

    :param depth: number of events.
    :returns: number of sequences tried.
    """
    if depth == 0:
        simulation.check_agreement()
        return 1
    return sum(
        explore(_after(simulation, action), depth - 1)
        for action in actions(simulation)
    )


def _after(simulation, action):
    copied = copy.deepcopy(simulation)
    action(copied)
    return copied


def test_all_short_courses_of_events():
    simulation = simulations.Simulation(NAMES)
    simulation.run_until_stable(40)
    simulation.propose(simulation.find_leaders()[0].name)
    assert explore(simulation, 3) == 6**3
