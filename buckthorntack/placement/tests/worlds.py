"""Simulation of issuers, control VMs and engines in virtual time."""

import datetime
import heapq
import itertools
import random

from buckthorntack import placement
from buckthorntack.placement import _granter
from buckthorntack.placement import _machine
from buckthorntack.schema import messages

DOMAIN = "fukuoka-a"
TIMING = placement.PlacementTiming()
STEP_MS = 100


def milliseconds(number):
    return datetime.timedelta(milliseconds=number)


class Engine:
    """Fake engine that records orders and may check fencing numbers."""

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.fencing = 0
        self.effects = []

    def accept_order(self, fencing):
        if self.checks_fencing and fencing < self.fencing:
            return False
        self.fencing = max(self.fencing, fencing)
        self.effects.append(fencing)
        return True


class LeaseWorld:
    """Nodes that request the lease and send orders as often as allowed."""

    def __init__(self, seed=0, issuers=3, controls=3):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.machine = placement.LeaseMachine()
        self.controls = list(range(controls))
        self.watches = {c: placement.LeaseWatch() for c in self.controls}
        self.leases = {}
        self.speeds = {}
        self.incarnations = itertools.count(1)
        self.engines = [Engine(True), Engine(False)]
        self.isolated = set()
        self.loss = 0.0
        self.delay_ms = (1, 50)
        self.order_delay_ms = (1, TIMING.max_order_delay_ms - STEP_MS)
        self.most_holders = 0
        self._queue = []
        self._numbers = itertools.count()
        for number in range(issuers):
            self.restart(f"e{number}")

    def restart(self, node):
        holder = f"{node}#{next(self.incarnations)}"
        self.leases[node] = placement.IssuerLease(DOMAIN, holder, TIMING)
        self.speeds[node] = self.rng.uniform(0.996, 1.004)

    def restart_control(self, control):
        self.watches[control] = placement.LeaseWatch()

    def local_ms(self, node):
        return int(self.now_ms * self.speeds.get(node, 1))

    def schedule(self, delay_ms, function, *arguments):
        at_ms = self.now_ms + self.rng.randint(*delay_ms)
        event = (at_ms, next(self._numbers), function, arguments)
        heapq.heappush(self._queue, event)

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            while self._queue and self._queue[0][0] <= self.now_ms:
                _, _, function, arguments = heapq.heappop(self._queue)
                function(*arguments)
            for watch in self.watches.values():
                watch.observe(self.machine.rows(), self.now_ms)
            for node in self.leases:
                self._step(node)
            held = len(self.holders())
            self.most_holders = max(self.most_holders, held)

    def holders(self):
        return [
            node
            for node, lease in self.leases.items()
            if lease.is_held(self.local_ms(node))
        ]

    def _step(self, node):
        lease = self.leases[node]
        request = lease.next_request(self.local_ms(node))
        if request is not None and node not in self.isolated:
            control = self.rng.choice(self.controls)
            copies = self.rng.choice((1, 1, 2))
            for _ in range(copies):
                self._send_lossy(self._receive_request, control, node, request)
        for engine in self.engines:
            if lease.may_issue(engine.checks_fencing, self.local_ms(node)):
                order = (engine, lease, lease.fencing)
                self.schedule(self.order_delay_ms, self._apply_order, *order)

    def _apply_order(self, engine, lease, fencing):
        if not engine.accept_order(fencing):
            lease.on_higher_fencing(engine.fencing)

    def _send_lossy(self, function, *arguments):
        if self.rng.random() >= self.loss:
            self.schedule(self.delay_ms, function, *arguments)

    def _receive_request(self, control, node, request):
        row = self.machine.row(DOMAIN)
        wait_ms = self.watches[control].wait_ms(
            row, request.holder, self.now_ms
        )
        outcome = _machine.LeaseOutcome(False, row)
        if wait_ms == 0:
            command = _granter.build_lease_command(request, row)
            self.schedule((1, 30), self._commit, node, request, command)
        else:
            self._answer(node, request, outcome, wait_ms)

    def _commit(self, node, request, command):
        encoded = placement.encode_command(command)
        outcome = self.machine.apply(0, encoded)
        self._answer(node, request, outcome, 0)

    def _answer(self, node, request, outcome, wait_ms):
        grant = _granter.build_grant(request, outcome, wait_ms)
        self._send_lossy(self._receive_grant, node, grant)

    def _receive_grant(self, node, grant):
        if node not in self.isolated:
            self.leases[node].on_grant(grant, self.local_ms(node))


def pool(**fields):
    plan = placement.PoolPlan("pool", ("m1", "m2"), 0, True, 1.0, 1.0)
    return plan._replace(**fields)


def record(server_id, version="m1", running=0, waiting=0, **fields):
    load = messages.ServerLoad(running, waiting, 0.0, 0)
    result = messages.ServerRecord(
        server_id=server_id,
        incarnation=1,
        sequence=1,
        state="ready",
        pool="pool",
        service="pitchwriter",
        model_versions=[version] if version else [],
        adapters=[],
        role="both",
        region="fukuoka",
        failure_domain=DOMAIN,
        url=f"http://{server_id}",
        slots=8,
        lease_ms=2000,
        load=load,
        limit_per_s=-1.0,
        rejections_per_s=-1.0,
    )
    return result._replace(**fields)


def inputs(servers, demands=None, **fields):
    versions = {
        name: {"name": name, "weights_bytes": 10_000} for name in ("m1", "m2")
    }
    demands = {
        version: placement.Demand(*demand)
        for version, demand in (demands or {}).items()
    }
    pools = {"pool": pool(**fields)}
    return placement.Inputs(pools, versions, servers, demands)


class EngineWorld:
    """Planner with engines that load and announce immediately."""

    def __init__(self, versions, loads=1):
        store = placement.WeightStoreBudget(1000, loads)
        self.planner = placement.PlacementPlanner(TIMING, store)
        self.servers = {
            f"s{number}": record(f"s{number}", version)
            for number, version in enumerate(versions)
        }
        self.now_ms = 0
        self.may_order = True
        self.loses_orders = False
        self.log = []

    def run(self, duration_ms, demands, **fields):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 1000
            found = inputs(list(self.servers.values()), demands, **fields)
            commands = self.planner.plan(
                found, lambda checks: self.may_order, milliseconds(self.now_ms)
            )
            self.log += [(self.now_ms, command) for command in commands]
            for command in commands:
                if isinstance(command, placement.OrderEngine):
                    self.apply_order(command)

    def apply_order(self, order):
        if not self.loses_orders:
            versions = list(order.target.model_versions)
            server = self.servers[order.server_id]
            self.servers[order.server_id] = server._replace(
                model_versions=versions
            )

    def count(self, version):
        return sum(
            server.model_versions == [version]
            for server in self.servers.values()
        )

    def orders(self):
        return [
            (at_ms, command)
            for at_ms, command in self.log
            if isinstance(command, placement.OrderEngine)
        ]
