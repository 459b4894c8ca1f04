"""Step-by-step simulation of a ledger home, entry VMs and a backend server.

The home, its state machine and the clients are the real ones; the consensus
group, the network and the backend server are fakes with injected faults.
"""

import datetime
import random

from buckthorntack import errors
from buckthorntack import ledger
from buckthorntack import schema
from buckthorntack.schema import messages

HOME = {"home_id": "h", "region": "r", "replicas": ["c1", "c2", "c3"]}
ENTRIES = ("e1", "e2")
ORGANISATION = "shops"
KEY = "booking-1"
BODY_HASH = ledger.body_digest(b"booking")
CLAIM_TIMEOUT = datetime.timedelta(seconds=5)
#: Default simulated time between two ticks.
TICK_INTERVAL = datetime.timedelta(milliseconds=250)


class ViolationError(AssertionError):
    """A property that the ledger must keep does not hold."""


class Replica:
    """One replica of the home with its applied commands."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.machine = simulation.machine_type("h")
        self.applied = 0
        self.restart()

    def restart(self):
        """Restart from a snapshot of the applied commands."""
        snapshot = self.machine.snapshot()
        self.machine = self.simulation.machine_type("h")
        self.machine.restore(snapshot)
        self.home = self.simulation.home_type(
            "h", datetime.timedelta(hours=24), 1000, 1 << 20
        )

    def catch_up(self):
        result = None
        while self.applied < len(self.simulation.log):
            command = self.simulation.log[self.applied]
            self.applied += 1
            result = self.machine.apply(self.applied, command)
        return result


class SimulatedRequest:
    """One send of the request, through one entry VM."""

    def __init__(self, entry, attempt_id):
        self.entry = entry
        self.attempt_id = attempt_id
        self.call_id = None
        self.state = "claiming"
        self.reported_state = None


class Simulation:
    """The whole system, with checks of each run and each reported state.

    The request must run at most once, and no caller may be told a wrong run
    state.
    """

    def __init__(
        self,
        machine_type=ledger.LedgerMachine,
        home_type=ledger.LedgerHome,
        client_type=ledger.LedgerClient,
        release_after_run=False,
    ):
        self.machine_type = machine_type
        self.home_type = home_type
        self.client_type = client_type
        self.release_after_run = release_after_run
        self.now = datetime.timedelta()
        self.log = []
        self.network = []
        self.blocked_links = set()
        self.runs = []
        self.requests = []
        self.seed = 0
        self.leader = "c1"
        self.replicas = {name: Replica(self) for name in HOME["replicas"]}
        self.clients = {}
        for entry in ENTRIES:
            self.restart_entry(entry)

    def restart_entry(self, entry):
        self.seed += 1
        self.clients[entry] = self.client_type(random.Random(self.seed))
        for request in self.requests:
            if request.entry == entry and request.reported_state is None:
                request.reported_state = "crashed"

    def send_request(self, entry):
        request = SimulatedRequest(entry, f"a{len(self.requests)}")
        self.requests.append(request)
        request.call_id, commands = self.clients[entry].claim(
            HOME,
            ORGANISATION,
            KEY,
            BODY_HASH,
            request.attempt_id,
            True,
            self.now,
            CLAIM_TIMEOUT,
        )
        self.execute(entry, commands)
        return request

    def execute(self, node, commands):
        for command in commands:
            if isinstance(command, ledger.Send):
                self.network.append((node, command.to, command.message))
            else:
                self.end_call(command)

    def end_call(self, command):
        for request in self.requests:
            if (
                request.call_id == command.call_id
                and request.reported_state is None
            ):
                self.end_claim(request, command.result)

    def end_claim(self, request, result):
        if result.is_error():
            self.report_to_caller(request, result.error.run_state)
            return
        verdict = result.ok
        if isinstance(verdict, ledger.Granted):
            request.state = "granted"
        elif isinstance(verdict, ledger.Replay):
            if verdict.body != b"answer to " + verdict.attempt_id.encode():
                raise ViolationError(f"replayed {verdict.body!r}")
            self.report_to_caller(request, errors.RunState.RAN)
        else:
            self.resolve_outcome(request, verdict.attempt_id)

    def resolve_outcome(self, request, attempt_id):
        """Ask the backend server, which knows the attempts that it ran."""
        ran = attempt_id in self.runs
        state = errors.RunState.RAN if ran else errors.RunState.UNKNOWN
        body = b"answer to " + attempt_id.encode()
        self.report_outcome(request.entry, attempt_id, state, body)
        self.report_to_caller(request, state)

    def report_outcome(self, entry, attempt_id, run_state, body=b""):
        _, commands = self.clients[entry].report_outcome(
            HOME,
            ORGANISATION,
            KEY,
            attempt_id,
            run_state,
            self.now,
            status=200,
            body=body,
            answer_known=run_state == errors.RunState.RAN,
        )
        self.execute(entry, commands)

    def report_to_caller(self, request, run_state):
        request.reported_state = run_state
        if run_state == errors.RunState.RAN and len(self.runs) != 1:
            raise ViolationError(f"caller was told ran, runs: {self.runs}")
        if run_state != errors.RunState.NOT_RUN:
            return
        attempt_ids = [
            one.attempt_id for one in self.requests if one.state == "granted"
        ]
        if self.runs or set(attempt_ids) - {request.attempt_id}:
            raise ViolationError(
                f"caller was told not run, runs: {self.runs}, "
                f"granted: {attempt_ids}"
            )

    def granted_requests(self):
        return [
            request
            for request in self.requests
            if request.state == "granted" and request.reported_state is None
        ]

    def run_request(self, request, response_lost=False):
        """Run a granted request on the backend server."""
        request.state = "ran"
        self.runs.append(request.attempt_id)
        if len(self.runs) > 1:
            raise ViolationError(f"ran more than once: {self.runs}")
        if response_lost:
            self.report_outcome(
                request.entry, request.attempt_id, errors.RunState.UNKNOWN
            )
            self.report_to_caller(request, errors.RunState.UNKNOWN)
            return
        state = errors.RunState.RAN
        if self.release_after_run:
            state = errors.RunState.NOT_RUN
        body = b"answer to " + request.attempt_id.encode()
        self.report_outcome(request.entry, request.attempt_id, state, body)
        self.report_to_caller(request, state)

    def decline_request(self, request):
        """Release a request of which no byte was sent to a server."""
        request.state = "declined"
        self.report_outcome(
            request.entry, request.attempt_id, errors.RunState.NOT_RUN
        )
        self.report_to_caller(request, errors.RunState.NOT_RUN)

    def deliver_message(self, index=0):
        sender, to, message = self.network.pop(index)
        if (sender, to) in self.blocked_links:
            return
        if to in self.clients:
            commands = self.clients[to].receive(sender, message, self.now)
        else:
            home = self.replicas[to].home
            commands = home.receive(sender, message, self.now)
        self.execute(to, commands)

    def replicas_with_queue(self):
        return [
            name
            for name, replica in self.replicas.items()
            if replica.home._queue
        ]

    def commit(self, name, outcome="committed"):
        """Propose the queued operations of a replica.

        :param name: node id of the replica.
        :param outcome: "committed"; "lost", if the batch is committed but
            the replica does not learn so; or "failed".
        """
        replica = self.replicas[name]
        at_ms = self.now // datetime.timedelta(milliseconds=1)
        batch = replica.home.take_batch(at_ms)
        if batch is None:
            return
        is_leader = name == self.leader
        if is_leader and outcome != "failed":
            self.log.append(schema.pack(batch))
        if is_leader and outcome == "committed":
            verdicts = replica.catch_up()
            commands = replica.home.on_batch_committed(verdicts, self.now)
        else:
            commands = replica.home.on_batch_failed()
        self.execute(name, commands)

    def change_leader(self, restart=True):
        """Make the next replica leader, after a restart of the old one.

        :param restart: whether the old leader restarts.
        """
        names = HOME["replicas"]
        old = self.replicas[self.leader]
        if restart:
            old.restart()
        index = names.index(self.leader) + 1
        self.leader = names[index % len(names)]
        self.replicas[self.leader].catch_up()

    def isolate_entry(self, entry):
        for name in self.replicas:
            self.blocked_links |= {(entry, name), (name, entry)}

    def end_isolation(self):
        self.blocked_links.clear()

    def advance(self, duration=TICK_INTERVAL):
        self.now += duration
        for name, replica in self.replicas.items():
            self.execute(name, replica.home.tick(self.now))
        for entry, client in self.clients.items():
            self.execute(entry, client.tick(self.now))

    def step(self):
        """Deliver a message, commit, run a request or advance the time."""
        if self.network:
            self.deliver_message()
        elif self.replicas_with_queue():
            self.commit(self.replicas_with_queue()[0])
        elif self.granted_requests():
            self.run_request(self.granted_requests()[0])
        else:
            self.advance()


class GrantBeforeCommitHome(ledger.LedgerHome):
    """Faulty variant that grants claims before they are committed."""

    def _enqueue(self, sender, message):
        commands = super()._enqueue(sender, message)
        if isinstance(message, messages.LedgerClaim):
            verdict = ledger.Granted(message.attempt_id)
            commands = [
                *commands,
                *self._reply_verdict(verdict, sender, message),
            ]
        return commands


class UnknownAsNotRunMachine(ledger.LedgerMachine):
    """Faulty variant that treats an unknown outcome as not run."""

    def _set_state(self, digest, record, state):
        if state == ledger.RecordState.UNKNOWN:
            state = ledger.RecordState.NOT_RUN
        super()._set_state(digest, record, state)


class SnapshotWithoutRecordsMachine(ledger.LedgerMachine):
    """Faulty variant whose snapshot lacks the records."""

    def snapshot(self):
        records, self.records.dump = self.records.dump, bytes
        try:
            return super().snapshot()
        finally:
            self.records.dump = records


class UnknownAsAbandonedClient(ledger.LedgerClient):
    """Faulty variant that treats an unknown attempt as abandoned."""

    def attempt_state(self, attempt_id):
        state = super().attempt_state(attempt_id)
        unknown = state == ledger.AttemptState.NOT_KNOWN
        return ledger.AttemptState.ABANDONED if unknown else state

    def claim(self, *args, **kwargs):
        self.attempt_state = super().attempt_state
        try:
            return super().claim(*args, **kwargs)
        finally:
            del self.attempt_state
