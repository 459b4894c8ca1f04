"""What idle links cost: memory, processor time and bytes a peer.

All nodes run in one process and are linked all to all.  Usage::

    python -m benchmarks.links [--nodes 8] [--seconds 5]
"""

import argparse
import asyncio
import contextlib
import json
import time

import zmq

from benchmarks import ledger
from buckthorntack import clock
from buckthorntack import security
from buckthorntack import transport

#: IP and TCP headers with timestamps, of a segment.
HEADER_BYTES = 52
SETTLE_SECONDS = 2.0


class CountingRelay:
    """Hands bytes between two nodes on, and counts them.

    :param target: address of the node behind it.
    """

    def __init__(self, target):
        self.target = target
        self.payload_bytes = 0
        self.segments = 0
        self._tasks = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        host, port = self.target.split(":")
        back = await asyncio.open_connection(host, int(port))
        for source, sink in ((reader, back[1]), (back[0], writer)):
            self._tasks.add(asyncio.create_task(self._pump(source, sink)))

    async def _pump(self, source, sink):
        while data := await source.read(65536):
            self.payload_bytes += len(data)
            self.segments += 1
            sink.write(data)

    def wire_bytes(self):
        """Bytes so far with headers, acknowledgements left out."""
        return self.payload_bytes + HEADER_BYTES * self.segments


def _keys():
    public_key, secret_key = zmq.curve_keypair()
    return security.LinkKeys(public_key, secret_key, frozenset([public_key]))


def _link(name, keys):
    return transport.LinkTask(
        name, "127.0.0.1:0", keys, {}, _ignore, clock.SystemClock()
    )


def _ignore(sender, message):
    pass


async def measure_mesh(count, seconds):
    """Memory and processor time of a node of an idle mesh.

    :param count: number of nodes.
    :param seconds: for how long to measure.
    :returns: kilobytes of memory and microseconds a second, a node.
    """
    keys = _keys()
    start_bytes = ledger.resident_bytes()
    async with contextlib.AsyncExitStack() as stack:
        tasks = {}
        for number in range(count):
            link = _link(f"n{number}", keys)
            tasks[link.node_id] = await stack.enter_async_context(link)
        for link in tasks.values():
            for node_id, other in tasks.items():
                link.set_address(node_id, other.address)
                link.connect(node_id)
        await asyncio.sleep(SETTLE_SECONDS)
        used_bytes = ledger.resident_bytes() - start_bytes
        begun = time.process_time()
        await asyncio.sleep(seconds)
        spent_s = time.process_time() - begun
    return used_bytes / 1024 / count, spent_s / seconds / count * 1e6


async def measure_bytes(seconds):
    """Bytes a second of the idle links that one node opens to another.

    :param seconds: for how long to measure.
    """
    keys = _keys()
    async with (
        _link("b", keys) as receiver,
        CountingRelay(receiver.address) as relay,
        _link("a", keys) as sender,
    ):
        sender.set_address("b", relay.address)
        sender.connect("b")
        await asyncio.sleep(SETTLE_SECONDS)
        before = relay.wire_bytes()
        await asyncio.sleep(seconds)
        return (relay.wire_bytes() - before) / seconds


def most_peers(limit):
    """Peers that a node can open its links to.

    :param limit: number of peers to try.
    """

    async def attempt():
        addresses = {f"n{n}": f"127.0.0.1:{n + 1}" for n in range(limit)}
        async with _link("a", _keys()) as link:
            link.addresses.update(addresses)
            for number, node_id in enumerate(addresses):
                try:
                    link.connect(node_id)
                except zmq.ZMQError:
                    return number
        return limit

    return asyncio.run(attempt())


def main():
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--nodes", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=5)
    arguments = parser.parse_args()
    seconds = arguments.seconds
    memory_kb, cpu_us = asyncio.run(measure_mesh(arguments.nodes, seconds))
    result = {
        "nodes": arguments.nodes,
        "memory_kb": memory_kb,
        "cpu_us_per_s": cpu_us,
        "bytes_per_s_per_peer": asyncio.run(measure_bytes(seconds)),
        "most_peers": most_peers(530),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
