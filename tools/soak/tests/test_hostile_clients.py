"""Crowds of clients that keep to no limits, against real processes.

What is checked does not depend on the machine's speed: that the process
lives, what memory and how many descriptors it takes, and that it answers
afterwards.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import resource
import tempfile

import pytest

from buckthorntack import tasks
from buckthorntack.platform.tests import _standins
from tools.soak import _processes
from tools.soak import _traffic

#: Memory that the settings give each process; some 38 MB are taken at rest.
MEMORY_MB = 80.0
CROWD = 60
#: Clients whose requests each cost little memory, or time instead.
LARGE_CROWD = 200
#: What each client of a crowd sends if it is let, and how long it tries.
MEMBER_BYTES = 4_190_000
SEND_S = 3.0
WRITE_BYTES = 65_536
#: Bytes of a head that does not end, below the limit of 16,384.
OPEN_HEAD_BYTES = 15_800
#: The same with the end of the head, which servers can be sent.
LEGAL_HEAD_BYTES = 15_800
#: Largest legal body.
BODY_BYTES = 4_194_304
PIPELINED_HEADS = 8
SLOW_S = 3.0
#: What a process opens besides two descriptors for each client: one to it,
#: one to a server.
MORE_DESCRIPTORS = 24
#: Most descriptors of a process that a crowd of idle clients meets.
FEW_DESCRIPTORS = 128
PATIENCE_S = 40.0
#: Time for one ordinary request, and for all attempts at one.
ANSWER_S = 5.0
RECOVERY_S = 30.0
LOOK_S = 0.05
READY, DIRECTORY = _processes.READY, _processes.DIRECTORY


class Node(_processes.Node):
    """A process with little memory."""

    def _document(self):
        return super()._document() | {"memory_mb": MEMORY_MB}

    def find_port(self, listener):
        """Return the port of one of its listeners.

        :param listener: name of the listener.
        """
        ports = {"readiness": READY, "directory": DIRECTORY}
        return ports.get(listener, self.port)


class Platform:
    """Three control VMs, one entry VM and its servers."""

    def __init__(self):
        pid = os.getpid()
        self.public = f"127.{20 + pid % 70}.{pid // 70 % 250}"
        self.private = f"127.{160 + pid % 70}.{pid // 70 % 250}"
        self.nodes = {}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        enter = self._stack.enter_async_context
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        port = _processes.CONTROL
        seeds = [f"{self.public}.{n}:{port}" for n in (1, 2, 3)]
        for number in (1, 2, 3, 4):
            role = "entry" if number == 4 else "control"
            name = f"{role}-{number}"
            addresses = [
                f"{ip}.{number}" for ip in (self.public, self.private)
            ]
            node = Node(name, role, "a1", *addresses, seeds, folder)
            self.nodes[name] = await enter(node)
        for number, service in enumerate(("text", "desk")):
            server = _standins.Server(
                f"s{number}", f"{self.public}.{100 + number}", service
            )
            server.behave = answer
            await enter(server)
            controls = list(self.nodes.values())[:3]
            announcing = _traffic.announce(
                server, controls, random.Random(number)
            )
            await enter(tasks.running(announcing))
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    async def start_anew(self, listener):
        """Start the process of a listener again, so that nothing is left."""
        node = self.find_node(listener)
        document = _standins.configuration(5)
        body = json.dumps(document).encode()
        # A control VM must not end before its group has formed.
        await until(lambda: self._configure(body))
        await node.kill()
        await node.start()
        await node.wait_started()
        await until(lambda: self._configure(body))
        await until(lambda: self.is_answered(listener))
        return node

    def find_node(self, listener):
        """Return the node of a listener.

        :param listener: name of the listener.
        """
        is_control = listener == "control"
        return self.nodes["control-2" if is_control else "entry-4"]

    async def _configure(self, body):
        address = self.nodes["control-1"].direct_address
        answer = await _standins.call(address, "PUT", "/config", body)
        return answer.status == 200

    async def is_answered(self, listener):
        """Whether an ordinary request of a listener is answered with 200.

        :param listener: name of the listener.
        """
        node = self.find_node(listener)
        paths = {
            "entry": "/safe/ordinary",
            "control": "/config",
            "readiness": "/readyz",
            "directory": f"/resolve?name={_standins.HOST}&region=north",
        }
        headers = {
            "Host": _standins.HOST,
            "X-Buckthorntack-Request-Id": f"{random.getrandbits(64):016x}",
            "X-Buckthorntack-Deadline-Ms": "4000",
        }
        address = f"{node.private}:{node.find_port(listener)}"
        answer = await _standins.call(
            address, "GET", paths[listener], headers=headers
        )
        return answer.status == 200


async def answer(server, request, reply):
    """Answer with what was asked, slowly if that was asked as well."""
    if b"slow" in request.target:
        await asyncio.sleep(SLOW_S)
    await _standins.answer_whole(server, request, reply)


async def until(ask, patience_s=PATIENCE_S):
    """Ask over and over until the answer is yes.

    :param ask: coroutine function.
    :param patience_s: time for all attempts.
    """
    async with asyncio.timeout(patience_s):
        while True:
            with contextlib.suppress(OSError, TimeoutError, EOFError):
                async with asyncio.timeout(ANSWER_S):
                    if await ask():
                        return
            await asyncio.sleep(LOOK_S)


def begin_head(method, path):
    """Return the first lines of a head."""
    lines = (
        f"{method} {path} HTTP/1.1",
        f"Host: {_standins.HOST}",
        f"X-Buckthorntack-Request-Id: {random.getrandbits(64):016x}",
        "X-Buckthorntack-Deadline-Ms: 5000",
        "",
    )
    return "\r\n".join(lines).encode()


def short_lines(first, size_bytes, line=b"a: \r\n"):
    """Return a head filled up with short lines."""
    return first + line * ((size_bytes - len(first)) // len(line))


def repeat(first, block):
    """Yield a first part, and a block over and over."""
    yield first
    yield from [block] * (MEMBER_BYTES // len(block))


def endless_lines():
    """Header lines without end."""
    return repeat(begin_head("GET", "/safe/x"), b"X-A: b\r\n" * 8192)


def endless_head():
    """A head without end in one line."""
    return repeat(begin_head("GET", "/safe/x") + b"X-A: ", b"x" * WRITE_BYTES)


def empty_lines():
    """Empty lines without end before a request."""
    return repeat(b"", b"\r\n" * (WRITE_BYTES // 2))


def open_heads():
    """A head of short lines below the limit that does not end."""
    first = begin_head("GET", "/safe/x")
    yield short_lines(first, OPEN_HEAD_BYTES, b"a:\r\n")


def legal_heads():
    """Legal heads of short lines behind a slow request."""
    yield begin_head("GET", "/safe/slow") + b"\r\n"
    for _ in range(PIPELINED_HEADS):
        first = begin_head("GET", "/safe/x")
        yield short_lines(first, LEGAL_HEAD_BYTES) + b"\r\n"


def small_requests():
    """Small requests without end behind a slow one."""
    request = begin_head("GET", "/safe/slow") + b"\r\n"
    return repeat(b"", request * (WRITE_BYTES // len(request)))


def bodies():
    """A body of legal size that stops one byte before its end."""
    blocks = MEMBER_BYTES // WRITE_BYTES
    length = b"Content-Length: %d\r\n\r\n" % (blocks * WRITE_BYTES + 1)
    first = begin_head("POST", "/draft/x") + length
    return repeat(first, b"y" * WRITE_BYTES)


def chunked_bodies(chunk_bytes=4096):
    """The same in chunks."""
    first = begin_head("POST", "/draft/x")
    first += b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"y" * chunk_bytes)
    return repeat(first, chunk * (WRITE_BYTES // len(chunk)))


def tiny_chunks():
    """The same in chunks of one byte."""
    return chunked_bodies(1)


async def send_slowly(writer, parts):
    """Send parts, and leave after some time."""
    async with asyncio.timeout(SEND_S):
        for part in parts:
            writer.write(part)
            await writer.drain()
        await asyncio.sleep(SEND_S)


async def misbehave(address, make_parts):
    """Be one client of a crowd."""
    host, _, port = address.rpartition(":")
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        async with tasks.running(read_all(reader)):
            try:
                await send_slowly(writer, make_parts())
            finally:
                writer.transport.abort()


async def read_all(reader):
    """Read and drop all answers."""
    with contextlib.suppress(OSError):
        while await reader.read(WRITE_BYTES):
            pass


def find_peak_bytes(pid):
    """Return the most memory that a process ever had."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    [line] = [ln for ln in status.splitlines() if ln.startswith("VmHWM")]
    return int(line.split()[1]) * 1024


def count_descriptors(pid):
    """Return how many descriptors a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


async def watch_descriptors(pid, counts):
    """Note how many descriptors a process has open, over and over."""
    while True:
        with contextlib.suppress(OSError):
            counts.append(count_descriptors(pid))
        await asyncio.sleep(LOOK_S)


async def crowd_in(platform, listener, kind, crowd):
    """Send a crowd to a listener; check what must hold."""
    node = await platform.start_anew(listener)
    process = node.process
    at_rest = count_descriptors(process.pid)
    counts = [at_rest]
    address = f"{node.private}:{node.find_port(listener)}"
    async with tasks.running(watch_descriptors(process.pid, counts)):
        await asyncio.gather(*(misbehave(address, kind) for _ in range(crowd)))

    async def is_at_rest():
        return count_descriptors(process.pid) <= at_rest + MORE_DESCRIPTORS

    for ask in (lambda: platform.is_answered(listener), is_at_rest):
        assert process.returncode is None
        await until(ask, RECOVERY_S)
    assert process.returncode is None
    peak_bytes = find_peak_bytes(process.pid)
    most = max(counts)
    print(f"{peak_bytes / 1e6:.1f} MB, {at_rest} to {most} descriptors")
    assert peak_bytes <= MEMORY_MB * 1e6
    assert most <= at_rest + 2 * crowd + MORE_DESCRIPTORS


@pytest.fixture(scope="module")
def runner():
    """Event loop of all tests."""
    with asyncio.Runner() as runner:
        yield runner


@pytest.fixture(scope="module")
def platform(runner):
    """Processes of all tests; each starts the one that it loads anew."""
    platform = Platform()
    runner.run(platform.__aenter__())
    yield platform
    runner.run(platform.__aexit__())


CASES = [
    ("entry", endless_lines, CROWD),
    ("entry", endless_head, CROWD),
    ("entry", empty_lines, CROWD),
    ("entry", open_heads, LARGE_CROWD),
    ("entry", legal_heads, LARGE_CROWD),
    ("entry", small_requests, LARGE_CROWD),
    ("entry", bodies, CROWD),
    ("entry", chunked_bodies, CROWD),
    ("entry", tiny_chunks, LARGE_CROWD),
    ("control", endless_lines, CROWD),
    ("control", open_heads, LARGE_CROWD),
    ("control", bodies, CROWD),
    ("control", tiny_chunks, LARGE_CROWD),
    ("directory", endless_lines, CROWD),
    ("directory", bodies, CROWD),
    ("readiness", endless_lines, CROWD),
]


# Guards against clients that end a process, hang it or make it deaf.
@pytest.mark.parametrize(
    ("listener", "kind", "crowd"),
    CASES,
    ids=[f"{listener}-{kind.__name__}" for listener, kind, _ in CASES],
)
def test_crowd_leaves_the_process_alive(
    runner, platform, listener, kind, crowd
):
    runner.run(crowd_in(platform, listener, kind, crowd))


async def stay(address):
    """Begin a request and wait, on one connection after the other."""
    host, _, port = address.rpartition(":")
    while True:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_S):
                reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(b"GET /safe/")
                with contextlib.suppress(OSError):
                    await reader.read()
            finally:
                writer.transport.abort()
        await asyncio.sleep(LOOK_S)


async def ask_beside_crowd(platform, listener):
    """Take all descriptors that a listener gives; ask there meanwhile."""
    node = await platform.start_anew(listener)
    process = node.process
    limits = (FEW_DESCRIPTORS, FEW_DESCRIPTORS)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
    address = f"{node.private}:{node.find_port(listener)}"
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(LARGE_CROWD):
            await stack.enter_async_context(tasks.running(stay(address)))
        await asyncio.sleep(SEND_S)
        for _ in range(3):
            await until(lambda: platform.is_answered(listener), RECOVERY_S)
        assert process.returncode is None
        most = count_descriptors(process.pid)
    print(f"{most} descriptors")
    assert most < FEW_DESCRIPTORS
    await until(lambda: platform.is_answered(listener), RECOVERY_S)


# Guards against clients that take all descriptors, so that none is left for
# others, for servers and for links.
@pytest.mark.parametrize("listener", ["entry", "control"])
def test_crowd_leaves_descriptors_to_others(runner, platform, listener):
    runner.run(ask_beside_crowd(platform, listener))


async def ask_largest(platform):
    """Send the largest legal request; return its answer."""
    node = platform.nodes["entry-4"]
    head = short_lines(begin_head("POST", "/unsafe/x"), LEGAL_HEAD_BYTES)
    head += b"Connection: close\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES
    host, _, port = node.direct_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(head + b"y" * BODY_BYTES)
        return await _standins.read_answer(reader)
    finally:
        writer.close()


# Guards against limits that a single legal request meets.
def test_largest_legal_request_is_served(runner, platform):
    runner.run(platform.start_anew("entry"))
    answer = runner.run(ask_largest(platform))
    assert answer.status == 200
    assert answer.whole
    assert answer.body.endswith(b"y" * BODY_BYTES)
