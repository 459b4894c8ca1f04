"""Random sequences of steps and faults of a ledger home."""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from buckthorntack.ledger.tests import _simulation
from buckthorntack.ledger.tests import test_faults

EXAMPLES = int(os.environ.get("BUCKTHORNTACK_EXAMPLES", "100"))
INDEXES = st.integers(0, 20)
REPLICAS = st.sampled_from(_simulation.HOME["replicas"])
ENTRIES = st.sampled_from(_simulation.ENTRIES)


class LedgerStateMachine(stateful.RuleBasedStateMachine):
    """Random steps for one key; the simulation checks them."""

    def __init__(self):
        super().__init__()
        self.simulation = _simulation.Simulation()

    @stateful.rule(entry=ENTRIES)
    def send_request(self, entry):
        self.simulation.send_request(entry)

    @stateful.rule(index=INDEXES)
    def deliver_message(self, index):
        if self.simulation.network:
            self.simulation.deliver_message(
                index % len(self.simulation.network)
            )

    @stateful.rule(index=INDEXES)
    def lose_message(self, index):
        if self.simulation.network:
            self.simulation.network.pop(index % len(self.simulation.network))

    @stateful.rule(index=INDEXES)
    def repeat_message(self, index):
        network = self.simulation.network
        if network:
            network.append(network[index % len(network)])

    @stateful.rule(count=st.integers(1, 10))
    def run_steps(self, count):
        for _ in range(count):
            self.simulation.step()

    @stateful.rule(
        name=REPLICAS, outcome=st.sampled_from(["committed", "lost", "failed"])
    )
    def commit(self, name, outcome):
        self.simulation.commit(name, outcome)

    @stateful.rule(name=REPLICAS)
    def restart_replica(self, name):
        self.simulation.replicas[name].restart()

    @stateful.rule(restart=st.booleans())
    def change_leader(self, restart):
        self.simulation.change_leader(restart)

    @stateful.rule(entry=ENTRIES)
    def crash_entry(self, entry):
        self.simulation.restart_entry(entry)

    @stateful.rule(entry=ENTRIES)
    def isolate_entry(self, entry):
        self.simulation.isolate_entry(entry)

    @stateful.rule()
    def end_isolation(self):
        self.simulation.end_isolation()

    @stateful.rule(ticks=st.integers(1, 30))
    def wait(self, ticks):
        self.simulation.advance(ticks * _simulation.TICK_INTERVAL)

    @stateful.rule(response_lost=st.booleans())
    def run_request(self, response_lost):
        for request in self.simulation.granted_requests()[:1]:
            self.simulation.run_request(request, response_lost)

    @stateful.rule()
    def decline_request(self):
        for request in self.simulation.granted_requests()[:1]:
            self.simulation.decline_request(request)

    @stateful.rule()
    def crash_before_outcome_sent(self):
        test_faults.crash_before_outcome_sent(self.simulation)

    def teardown(self):
        self.simulation.end_isolation()
        test_faults.resend_until_settled(self.simulation)


def test_at_most_once_and_truth():
    stateful.run_state_machine_as_test(
        LedgerStateMachine,
        settings=hypothesis.settings(
            max_examples=EXAMPLES,
            stateful_step_count=30,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
