"""Search for courses of events that break a replicated group.

Runs random schedules of the simulation from successive seeds for a time, and
prints each seed at which a property does not hold.  Usage::

    python -m tools.explore [--seconds 60] [--first-seed 0] [--steps 1500]
        [--final-losses]

With ``--final-losses`` each schedule ends in a loss of disks beside a loss of
power of all other replicas, at any event around an acknowledgement.
"""

import argparse
import random
import sys
import time

from buckthorntack.consensus.tests import simulation as simulations

NAMES = (("a", "b", "c"), ("a",), ("a", "b"), ("a", "b", "c", "d", "e"))

#: Groups that allow the loss of a disk.
LARGE_NAMES = (("a", "b", "c"), ("a", "b", "c", "d", "e"))


def run(seed, steps):
    """Run one schedule.

    :param seed: seed of the schedule and of the replicas.
    :param steps: number of events.
    :returns: the simulation at its end.
    """
    names = NAMES[seed % len(NAMES)]
    simulation = simulations.Simulation(names, seed)
    simulations.Schedule(simulation, seed).run(steps)
    simulation.check_agreement()
    return simulation


def run_final_losses(seed, steps):
    """Run one schedule that ends in a loss of disks and power.

    :param seed: seed of the schedule and of the replicas.
    :param steps: most events before the end.
    :returns: the simulation at its end.
    """
    names = LARGE_NAMES[seed % len(LARGE_NAMES)]
    simulation = simulations.Simulation(names, seed, holds_writes=True)
    schedule = simulations.FinalLosses(simulation, seed)
    schedule.run(random.Random(seed).randrange(steps))
    simulation.check_agreement()
    return simulation


def main():
    """Search and tell.

    :returns: 1 if a property was broken.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--steps", type=int, default=1500)
    parser.add_argument("--final-losses", action="store_true")
    arguments = parser.parse_args()
    run_schedule = run_final_losses if arguments.final_losses else run
    end = time.monotonic() + arguments.seconds
    seed = arguments.first_seed
    broken = terms = entries = 0
    while time.monotonic() < end:
        try:
            simulation = run_schedule(seed, arguments.steps)
            terms += len(simulation.leader_by_term)
            entries += len(simulation.committed)
        except simulations.ViolationError as violation:
            broken += 1
            print(f"seed {seed}: {violation}", flush=True)
        seed += 1
    count = seed - arguments.first_seed
    print(f"{count} schedules, {terms} terms with a leader, {entries} entries")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
