"""A ledger home, entry VMs and a backend server, one step at a time.

The decisions are the real ones; the group, the network and the backend
server are fakes whose faults a test chooses.
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
TICK = datetime.timedelta(milliseconds=250)


class Lie(AssertionError):
    """A property of the ledger does not hold."""


class Replica:
    """One replica of the home."""

    def __init__(self, world):
        self.world = world
        self.machine = world.machine_type("h")
        self.applied = 0
        self.restart()

    def restart(self):
        """Go on from a snapshot of what was applied."""
        snapshot = self.machine.snapshot()
        self.machine = self.world.machine_type("h")
        self.machine.restore(snapshot)
        self.home = self.world.home_type(
            "h", datetime.timedelta(hours=24), 1000, 1 << 20
        )

    def catch_up(self):
        result = None
        while self.applied < len(self.world.log):
            command = self.world.log[self.applied]
            self.applied += 1
            result = self.machine.apply(self.applied, command)
        return result


class Flow:
    """One sending of the request, through one entry VM."""

    def __init__(self, entry, attempt_id):
        self.entry = entry
        self.attempt_id = attempt_id
        self.call_id = None
        self.state = "claiming"
        self.told = None


class World:
    """Everything, with the checks of at-most-once and truth."""

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
        self.cut = set()
        self.runs = []
        self.flows = []
        self.seed = 0
        self.leader = "c1"
        self.replicas = {name: Replica(self) for name in HOME["replicas"]}
        self.clients = {}
        for entry in ENTRIES:
            self.restart_entry(entry)

    def restart_entry(self, entry):
        self.seed += 1
        self.clients[entry] = self.client_type(random.Random(self.seed))
        for flow in self.flows:
            if flow.entry == entry and flow.told is None:
                flow.told = "crashed"

    def send_request(self, entry):
        flow = Flow(entry, f"a{len(self.flows)}")
        self.flows.append(flow)
        flow.call_id, commands = self.clients[entry].claim(
            HOME,
            ORGANISATION,
            KEY,
            BODY_HASH,
            flow.attempt_id,
            True,
            self.now,
            CLAIM_TIMEOUT,
        )
        self.execute(entry, commands)
        return flow

    def execute(self, node, commands):
        for command in commands:
            if isinstance(command, ledger.Send):
                self.network.append((node, command.to, command.message))
            else:
                self.end_call(command)

    def end_call(self, command):
        for flow in self.flows:
            if flow.call_id == command.call_id and flow.told is None:
                self.end_claim(flow, command.result)

    def end_claim(self, flow, result):
        if result.is_error():
            self.tell(flow, result.error.run_state)
            return
        verdict = result.ok
        if isinstance(verdict, ledger.Granted):
            flow.state = "granted"
        elif isinstance(verdict, ledger.Replay):
            if verdict.body != b"answer to " + verdict.attempt_id.encode():
                raise Lie(f"replayed {verdict.body!r}")
            self.tell(flow, errors.RunState.RAN)
        else:
            self.resolve(flow, verdict.attempt_id)

    def resolve(self, flow, attempt_id):
        """Ask the backend server, which remembers what it ran."""
        ran = attempt_id in self.runs
        state = errors.RunState.RAN if ran else errors.RunState.UNKNOWN
        body = b"answer to " + attempt_id.encode()
        self.settle(flow.entry, attempt_id, state, body)
        self.tell(flow, state)

    def settle(self, entry, attempt_id, run_state, body=b""):
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

    def tell(self, flow, run_state):
        flow.told = run_state
        if run_state == errors.RunState.RAN and len(self.runs) != 1:
            raise Lie(f"told ran, runs: {self.runs}")
        if run_state != errors.RunState.NOT_RUN:
            return
        granted = [f.attempt_id for f in self.flows if f.state == "granted"]
        if self.runs or set(granted) - {flow.attempt_id}:
            raise Lie(f"told not run, runs {self.runs}, granted {granted}")

    def granted(self):
        return [
            flow
            for flow in self.flows
            if flow.state == "granted" and flow.told is None
        ]

    def run(self, flow, answer_lost=False):
        """The entry VM sends the request; the backend server runs it."""
        flow.state = "ran"
        self.runs.append(flow.attempt_id)
        if len(self.runs) > 1:
            raise Lie(f"ran more than once: {self.runs}")
        if answer_lost:
            self.settle(flow.entry, flow.attempt_id, errors.RunState.UNKNOWN)
            self.tell(flow, errors.RunState.UNKNOWN)
            return
        state = errors.RunState.RAN
        if self.release_after_run:
            state = errors.RunState.NOT_RUN
        body = b"answer to " + flow.attempt_id.encode()
        self.settle(flow.entry, flow.attempt_id, state, body)
        self.tell(flow, state)

    def decline(self, flow):
        """No backend server takes it: not one byte was sent."""
        flow.state = "declined"
        self.settle(flow.entry, flow.attempt_id, errors.RunState.NOT_RUN)
        self.tell(flow, errors.RunState.NOT_RUN)

    def deliver(self, place=0):
        sender, to, message = self.network.pop(place)
        if (sender, to) in self.cut:
            return
        if to in self.clients:
            commands = self.clients[to].receive(sender, message, self.now)
        else:
            home = self.replicas[to].home
            commands = home.receive(sender, message, self.now)
        self.execute(to, commands)

    def waiting_replicas(self):
        return [
            name
            for name, replica in self.replicas.items()
            if replica.home._queue
        ]

    def commit(self, name, outcome="committed"):
        """Propose what waits on a replica.

        :param name: the replica.
        :param outcome: committed; lost (committed, but the replica cannot
            tell); or failed.
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
        """The leader restarts and the next replica leads."""
        names = HOME["replicas"]
        old = self.replicas[self.leader]
        if restart:
            old.restart()
        place = names.index(self.leader) + 1
        self.leader = names[place % len(names)]
        self.replicas[self.leader].catch_up()

    def isolate(self, entry):
        for name in self.replicas:
            self.cut |= {(entry, name), (name, entry)}

    def heal(self):
        self.cut.clear()

    def advance(self, duration=TICK):
        self.now += duration
        for name, replica in self.replicas.items():
            self.execute(name, replica.home.tick(self.now))
        for entry, client in self.clients.items():
            self.execute(entry, client.tick(self.now))

    def step(self):
        """Do the next thing that is due, in a fixed order."""
        if self.network:
            self.deliver()
        elif self.waiting_replicas():
            self.commit(self.waiting_replicas()[0])
        elif self.granted():
            self.run(self.granted()[0])
        else:
            self.advance()


class EarlyGrantHome(ledger.LedgerHome):
    """Broken: grants before the claim is committed."""

    def _enqueue(self, sender, message):
        commands = super()._enqueue(sender, message)
        if isinstance(message, messages.LedgerClaim):
            verdict = ledger.Granted(message.attempt_id)
            commands = [
                *commands,
                *self._reply_verdict(verdict, sender, message),
            ]
        return commands


class RegrantingMachine(ledger.LedgerMachine):
    """Broken: an unknown outcome counts as not run."""

    def _set_state(self, digest, record, state):
        if state == ledger.RecordState.UNKNOWN:
            state = ledger.RecordState.NOT_RUN
        super()._set_state(digest, record, state)


class ForgetfulMachine(ledger.LedgerMachine):
    """Broken: a snapshot leaves the records out."""

    def snapshot(self):
        records, self.records.dump = self.records.dump, bytes
        try:
            return super().snapshot()
        finally:
            self.records.dump = records


class ForgetfulClient(ledger.LedgerClient):
    """Broken: an attempt that it does not know counts as abandoned."""

    def attempt_state(self, attempt_id):
        known = super().attempt_state(attempt_id)
        unknown = known == ledger.AttemptState.NOT_KNOWN
        return ledger.AttemptState.ABANDONED if unknown else known

    def claim(self, *args, **kwargs):
        self.attempt_state = super().attempt_state
        try:
            return super().claim(*args, **kwargs)
        finally:
            del self.attempt_state
