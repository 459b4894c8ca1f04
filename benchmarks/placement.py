"""Processor time of one plan, and of one lease command.

Usage::

    python -m benchmarks.placement
"""

import datetime
import random
import time

from buckthorntack import placement
from buckthorntack.schema import messages

DOMAIN = "fukuoka-a"
VERSIONS = tuple(f"model-{number}-v1" for number in range(8))
ROUNDS = 50


def _record(number, rng):
    load = messages.ServerLoad(rng.randrange(16), rng.randrange(9), 0.5, 100)
    return messages.ServerRecord(
        f"engine-{number:04}",
        1,
        1,
        "ready",
        "pool",
        "service",
        [VERSIONS[number % len(VERSIONS)]],
        [],
        "both",
        "fukuoka",
        DOMAIN,
        "http://10.20.30.40:8000",
        16,
        2000,
        load,
    )


def _inputs(engines, rng):
    pool = placement.PoolPlan("pool", VERSIONS, 1, True, 1.0, 1.0)
    versions = {v: {"name": v, "weights_bytes": 10**10} for v in VERSIONS}
    demands = {
        v: placement.Demand(rng.randrange(200), rng.randrange(100), 10.0)
        for v in VERSIONS
    }
    servers = [_record(number, rng) for number in range(engines)]
    return placement.Inputs({"pool": pool}, versions, servers, demands)


def measure_plan(engines):
    """Mean microseconds of one plan.

    :param engines: engines of the failure domain.
    """
    rng = random.Random(engines)
    timing = placement.PlacementTiming()
    store = placement.WeightStoreBudget(10**9, 2)
    planner = placement.PlacementPlanner(timing, store)
    plans = [_inputs(engines, rng) for _ in range(ROUNDS)]
    start_ns = time.thread_time_ns()
    for number, inputs in enumerate(plans):
        now = datetime.timedelta(seconds=number)
        planner.plan(inputs, lambda checks: True, now)
    return (time.thread_time_ns() - start_ns) / 1000 / ROUNDS


def measure_lease():
    """Mean microseconds of one lease command, encoded and applied."""
    machine = placement.LeaseMachine()
    count = 20_000
    start_ns = time.thread_time_ns()
    for number in range(count):
        domain = f"domain-{number % 30}"
        row = machine.row(domain)
        command = messages.LeaseCommand(
            domain, "e0#1", 15_000, row.fencing, row.renewal, 0
        )
        machine.apply(number, placement.encode_command(command))
    return (time.thread_time_ns() - start_ns) / 1000 / count


def main():
    """Measure and print."""
    print("| engines | microseconds a plan |")
    for engines in (10, 30, 90, 300, 1000):
        print(f"| {engines} | {measure_plan(engines):.0f} |")
    print(f"lease command: {measure_lease():.1f} microseconds")


if __name__ == "__main__":
    main()
