"""Run a fake engine and a fake plain service beside a node, for trials."""

import argparse
import asyncio
import contextlib
import signal
import time

from buckthorntack import standins
from buckthorntack import transport

SLOTS = 16


async def start(stack, fake, pool, arguments):
    """Start a fake backend server and announce it.

    :param stack: closes it at the end.
    :param fake: its ASGI application.
    :param pool: name of its pool.
    :param arguments: parsed command line.
    """
    socket = transport.bind_listener("127.0.0.1:0")
    listener = transport.HttpListener(fake, socket)
    await stack.enter_async_context(listener)
    document = {
        "server_id": fake.server_id,
        "incarnation": int(time.time() * 1000),
        "pool": pool,
        "failure_domain": arguments.failure_domain,
        "url": listener.url,
        "slots": SLOTS,
    }
    announcer = standins.Announcer(fake, document, arguments.entry)
    await stack.enter_async_context(announcer)
    print(f"{fake.server_id} listens at {listener.url}", flush=True)


async def run(arguments):
    """Run both servers until a signal.

    :param arguments: parsed command line.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    engine = standins.FakeEngine("engine-1", None, arguments.model_version)
    service = standins.FakeService("service-1")
    async with contextlib.AsyncExitStack() as stack:
        await start(stack, engine, arguments.engine_pool, arguments)
        await start(stack, service, arguments.service_pool, arguments)
        await stopped.wait()


def main():
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "entry", nargs="+", help="URL of an entry VM's backend listener"
    )
    parser.add_argument("--failure-domain", default="fukuoka-a")
    parser.add_argument("--engine-pool", default="pitchwriter-fukuoka-a")
    parser.add_argument("--service-pool", default="vergedesk-fukuoka-a")
    parser.add_argument(
        "--model-version", nargs="+", default=["pitchwriter-7"]
    )
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
