"""Random steps and faults of a ledger home."""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from buckthorntack.ledger.tests import _world
from buckthorntack.ledger.tests import test_faults

EXAMPLES = int(os.environ.get("BUCKTHORNTACK_EXAMPLES", "100"))
PLACES = st.integers(0, 20)
REPLICAS = st.sampled_from(_world.HOME["replicas"])
ENTRIES = st.sampled_from(_world.ENTRIES)


class Ledger(stateful.RuleBasedStateMachine):
    """Random steps of one key; the world checks each run and answer."""

    def __init__(self):
        super().__init__()
        self.world = _world.World()

    @stateful.rule(entry=ENTRIES)
    def send_request(self, entry):
        self.world.send_request(entry)

    @stateful.rule(place=PLACES)
    def deliver(self, place):
        if self.world.network:
            self.world.deliver(place % len(self.world.network))

    @stateful.rule(place=PLACES)
    def lose(self, place):
        if self.world.network:
            self.world.network.pop(place % len(self.world.network))

    @stateful.rule(place=PLACES)
    def repeat(self, place):
        network = self.world.network
        if network:
            network.append(network[place % len(network)])

    @stateful.rule(count=st.integers(1, 10))
    def run_on(self, count):
        for _ in range(count):
            self.world.step()

    @stateful.rule(
        name=REPLICAS, outcome=st.sampled_from(["committed", "lost", "failed"])
    )
    def commit(self, name, outcome):
        self.world.commit(name, outcome)

    @stateful.rule(name=REPLICAS)
    def restart_replica(self, name):
        self.world.replicas[name].restart()

    @stateful.rule(restart=st.booleans())
    def change_leader(self, restart):
        self.world.change_leader(restart)

    @stateful.rule(entry=ENTRIES)
    def crash_entry(self, entry):
        self.world.restart_entry(entry)

    @stateful.rule(entry=ENTRIES)
    def isolate(self, entry):
        self.world.isolate(entry)

    @stateful.rule()
    def heal(self):
        self.world.heal()

    @stateful.rule(ticks=st.integers(1, 30))
    def wait(self, ticks):
        self.world.advance(ticks * _world.TICK)

    @stateful.rule(answer_lost=st.booleans())
    def run(self, answer_lost):
        for flow in self.world.granted()[:1]:
            self.world.run(flow, answer_lost)

    @stateful.rule()
    def decline(self):
        for flow in self.world.granted()[:1]:
            self.world.decline(flow)

    @stateful.rule()
    def crash_after_run(self):
        test_faults.crash_after_run(self.world)

    def teardown(self):
        self.world.heal()
        test_faults.finish(self.world)


def test_at_most_once_and_truth():
    stateful.run_state_machine_as_test(
        Ledger,
        settings=hypothesis.settings(
            max_examples=EXAMPLES,
            stateful_step_count=30,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
