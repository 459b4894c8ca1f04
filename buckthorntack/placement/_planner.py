"""Planner of the models that each engine of a failure domain loads."""

import enum
from typing import NamedTuple

from buckthorntack import clock as clocks
from buckthorntack.placement import _demand


class Phase(enum.StrEnum):
    """Phase of the move of an engine to a new target."""

    STEADY = "steady"
    DRAINING = "draining"
    LOADING = "loading"


class Target(NamedTuple):
    """Models, adapters and role that an engine should have loaded."""

    model_versions: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str


class EngineState(NamedTuple):
    """Target and phase of an engine, as recorded by the planner."""

    target: Target
    phase: Phase
    since_ms: int
    moved_at_ms: int


class DrainEngine(NamedTuple):
    """Command: send no new requests to an engine."""

    server_id: str
    reason: str


class ReturnEngine(NamedTuple):
    """Command: send requests to an engine again."""

    server_id: str
    reason: str


class OrderEngine(NamedTuple):
    """Command: send an order with its target to an engine."""

    server_id: str
    url: str
    target: Target
    checks_fencing: bool
    reason: str


class Inputs(NamedTuple):
    """Inputs of a plan."""

    #: :class:`PoolPlan` by name; pools without model versions are left out.
    pools: dict
    #: ``ModelVersion`` objects by name.
    model_versions: dict
    #: ``ServerRecord`` of this failure domain.
    servers: list
    #: :class:`Demand` by model version.
    demands: dict


_NO_DEMAND = _demand.Demand(0, 0, 0.0)


class PlacementPlanner:
    """Planner that assigns model versions to engines according to demand.

    :param timing: a :class:`PlacementTiming`.
    :param store: a :class:`WeightStoreBudget`.
    """

    def __init__(self, timing, store):
        self.timing = timing
        self.store = store
        self.engines = {}
        self._shortage_since_ms = {}
        self._commands = []

    def reset(self):
        """Discard all state; call when the node becomes or stops being issuer.

        The next plan starts from what engines announce.
        """
        self.engines.clear()
        self._shortage_since_ms.clear()

    def draining(self):
        """Return the ids of engines that must get no new requests."""
        return sorted(
            server_id
            for server_id, engine in self.engines.items()
            if engine.phase is not Phase.STEADY
        )

    def plan(self, inputs, may_order, now):
        """Plan one step towards the needed placement.

        :param inputs: an :class:`Inputs`.
        :param may_order: predicate that tells whether an order may be sent
            now; its argument is whether the engine checks fencing numbers.
        :param now: monotonic time.
        :returns: list of commands.
        """
        now_ms = clocks.milliseconds(now)
        self._commands = []
        servers = {record.server_id: record for record in inputs.servers}
        for server_id in list(self.engines):
            if server_id not in servers:
                del self.engines[server_id]
        for pool in inputs.pools.values():
            records = [
                record
                for record in inputs.servers
                if record.pool == pool.name and record.state == "ready"
            ]
            records.sort(key=lambda record: record.server_id)
            self._plan_pool(pool, inputs, records, may_order, now_ms)
        return self._commands

    def _plan_pool(self, pool, inputs, records, may_order, now_ms):
        for record in records:
            self._reconcile_engine(record, now_ms)
        for record in records:
            self._advance_engine(
                pool, inputs, record, records, may_order, now_ms
            )
        self._rebalance(pool, inputs, records, now_ms)

    def _reconcile_engine(self, record, now_ms):
        """Compare the announced state of an engine with its target."""
        announced = announced_target(record)
        engine = self.engines.get(record.server_id)
        if engine is None:
            plan = EngineState(announced, Phase.STEADY, now_ms, -(10**9))
            self.engines[record.server_id] = plan
        elif is_reached(announced, engine.target):
            if engine.phase is Phase.LOADING:
                reason = f"has {_format_versions(engine.target)} loaded"
                self._commands.append(ReturnEngine(record.server_id, reason))
                self._update_engine(
                    record, phase=Phase.STEADY, since_ms=now_ms
                )
        elif engine.phase is Phase.STEADY:
            reason = (
                f"announces {_format_versions(announced)} but its target is "
            )
            self._drain_engine(record, engine.target, reason, now_ms)

    def _update_engine(self, record, **fields):
        engine = self.engines[record.server_id]
        self.engines[record.server_id] = engine._replace(**fields)

    def _drain_engine(self, record, target, reason, now_ms):
        self._update_engine(
            record,
            target=target,
            phase=Phase.DRAINING,
            since_ms=now_ms,
            moved_at_ms=now_ms,
        )
        reason += _format_versions(target)
        self._commands.append(DrainEngine(record.server_id, reason))

    def _advance_engine(
        self, pool, inputs, record, records, may_order, now_ms
    ):
        """Send the order to a drained engine, or resend one without effect."""
        engine = self.engines[record.server_id]
        waited_ms = now_ms - engine.since_ms
        if engine.phase is Phase.DRAINING:
            is_idle = record.load.running + record.load.waiting == 0
            is_known = record.load.age_ms < waited_ms - self.timing.drain_ms
            if not record.model_versions or (is_idle and is_known):
                self._order_engine(
                    pool, inputs, record, records, may_order, now_ms
                )
        elif engine.phase is Phase.LOADING:
            weights_ms = self.store.load_ms(
                _sum_weights_bytes(inputs, engine.target)
            )
            limit_ms = self.timing.order_timeout_ms + weights_ms * (
                self.store.concurrent_loads
            )
            if waited_ms >= limit_ms and may_order(pool.checks_fencing):
                self._send_order(pool, record, "order had no effect", now_ms)

    def _order_engine(self, pool, inputs, record, records, may_order, now_ms):
        if not may_order(pool.checks_fencing):
            return
        engine = self.engines[record.server_id]
        weights = _sum_weights_bytes(inputs, engine.target)
        loading = sum(
            plan.phase is Phase.LOADING for plan in self.engines.values()
        )
        if not self.store.can_start_load(weights, loading, now_ms):
            return
        self.store.record_load(weights, now_ms)
        self._send_order(pool, record, "drained", now_ms)

    def _send_order(self, pool, record, reason, now_ms):
        self._update_engine(record, phase=Phase.LOADING, since_ms=now_ms)
        target = self.engines[record.server_id].target
        self._commands.append(
            OrderEngine(
                record.server_id,
                record.url,
                target,
                pool.checks_fencing,
                reason,
            )
        )

    def _rebalance(self, pool, inputs, records, now_ms):
        """Move one engine to the model version with the largest shortage."""
        if not records or len(self.draining()) >= self._max_moves():
            return
        slots = min(record.slots for record in records)
        demands = {
            version: inputs.demands.get(version, _NO_DEMAND)
            for version in pool.model_versions
        }
        needs = {
            version: _demand.engines_needed(pool, demands[version], slots)
            for version in pool.model_versions
        }
        shares = _demand.share_engines(pool, needs, demands, len(records))
        counts = self._count_engines(pool, records)
        gaps = {v: shares[v] - counts[v] for v in pool.model_versions}
        self._record_shortages(pool, gaps, now_ms)
        for version in sorted(gaps, key=lambda v: -gaps[v]):
            if gaps[version] <= 0:
                return
            since_ms = self._shortage_since_ms[pool.name, version]
            is_urgent = counts[version] == 0
            if is_urgent or now_ms - since_ms >= self.timing.min_shortage_ms:
                move = (version, gaps, counts, demands)
                if self._move_engine(pool, inputs, records, move, now_ms):
                    return

    def _max_moves(self):
        """Largest number of engines that may move to a new target at once."""
        return 2 * self.store.concurrent_loads

    def _count_engines(self, pool, records):
        """Number of engines by the model version of their target."""
        counts = dict.fromkeys(pool.model_versions, 0)
        for record in records:
            for version in self.engines[record.server_id].target[0]:
                if version in counts:
                    counts[version] += 1
        return counts

    def _record_shortages(self, pool, gaps, now_ms):
        for version, gap in gaps.items():
            if gap > 0:
                self._shortage_since_ms.setdefault(
                    (pool.name, version), now_ms
                )
            else:
                self._shortage_since_ms.pop((pool.name, version), None)

    def _move_engine(self, pool, inputs, records, move, now_ms):
        version, gaps, counts, demands = move
        for record in sorted(records, key=_load_key):
            engine = self.engines[record.server_id]
            if not self._is_movable(engine, gaps, counts, demands, now_ms):
                continue
            adapters = inputs.model_versions[version].get("adapters", ())
            target = Target((version,), tuple(adapters), engine.target.role)
            reason = (
                f"demand {tuple(demands[version])}, {counts[version]} engines"
                f", {gaps[version]} lacking; "
            )
            self._drain_engine(record, target, reason, now_ms)
            return True
        return False

    def _is_movable(self, engine, gaps, counts, demands, now_ms):
        if engine.phase is not Phase.STEADY:
            return False
        loaded = [v for v in engine.target.model_versions if v in gaps]
        if not loaded:
            return True
        if now_ms - engine.moved_at_ms < self.timing.move_cooldown_ms:
            return False
        return all(
            gaps[v] < 0
            and (counts[v] > 1 or not _demand.is_in_demand(demands[v]))
            for v in loaded
        )


def announced_target(record):
    """Return what an engine announces to have loaded.

    :param record: ``ServerRecord`` of the engine.
    """
    return Target(
        tuple(sorted(record.model_versions)),
        tuple(sorted(record.adapters)),
        record.role or "both",
    )


def is_reached(announced, target):
    """Whether an engine has reached its target.

    Adapters beyond the target are allowed.

    :param announced: the announced :class:`Target`.
    :param target: the planned :class:`Target`.
    """
    return (
        set(announced.model_versions) == set(target.model_versions)
        and set(announced.adapters) >= set(target.adapters)
        and announced.role == target.role
    )


def _format_versions(target):
    return ",".join(target.model_versions) or "nothing"


def _sum_weights_bytes(inputs, target):
    known = inputs.model_versions
    return sum(
        known[v]["weights_bytes"] for v in target.model_versions if v in known
    )


def _load_key(record):
    return record.load.running + record.load.waiting, record.server_id
