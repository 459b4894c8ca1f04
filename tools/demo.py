"""Show a deployment at work; exits 0 only if every promise held."""

import argparse
import asyncio
import sys

import logbook

from buckthorntack.standins import Demonstration
from buckthorntack.standins import format_steps

PATIENCE_SECONDS = 120


async def run(name):
    """Run the demonstration, within a bound of time.

    :param name: name of the deployment.
    """
    async with asyncio.timeout(PATIENCE_SECONDS):
        return await Demonstration(name).run()


def main():
    """Run and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("deployment", choices=["hoardline", "rendimar"])
    parser.add_argument("--log", default="ERROR", help="lowest log level")
    arguments = parser.parse_args()
    handler = logbook.StreamHandler(sys.stderr, level=arguments.log)
    with handler.applicationbound():
        steps = asyncio.run(run(arguments.deployment))
    print(format_steps(steps))
    return 0 if all(step.held for step in steps) else 1


if __name__ == "__main__":
    sys.exit(main())
