"""Servers and a deployment that speak the platform's protocol, for tests."""

import asyncio
import contextlib
import datetime
import json
import os
import pathlib
import random
import socket
import tempfile

from buckthorntack import clock
from buckthorntack import gateway
from buckthorntack import http1
from buckthorntack import transport
from buckthorntack.platform import _control_api
from buckthorntack.platform import _dialect
from buckthorntack.platform import _entry_api
from buckthorntack.platform import _headers

PATIENCE_S = 40
POLL_S = 0.01
HOST = "shop.example"
REGIONS = {"a1": "north", "b1": "south"}
LINK_PORT, CONTROL_PORT, FRONT_PORT, DIRECTORY_PORT = 7300, 8300, 8301, 8302
READY_PORT = 8303
SERVER_PORT = 9000
HEALTH_PATH = b"/healthz"
STATE_PATH = b"/report"
STAMP = b"X-Buckthorntack-Server-Stamp"
#: Time between the starts of two incarnations of a server.
INCARNATION_MS = 1000
#: How long a server that crashes has been writing its answer.
CRASH_DELAY_S = 0.05
SMALL_BUFFER_BYTES = 8192


class Server:
    """A backend server whose behaviour a test sets.

    :param server_id: its id.
    :param ip_address: where it listens.
    :param service: service that it offers.
    :param zone: its failure domain.
    """

    def __init__(self, server_id, ip_address, service, zone="a1"):
        self.server_id = server_id
        self.address = f"{ip_address}:{SERVER_PORT}"
        self.service = service
        self.zone = zone
        self.software_version = "v1"
        self.sequence = 0
        self.born = 1000
        self.requests = []
        self.left = 0
        self.crashes = 0
        self.is_down = False
        #: Whether it leaves out its announcements.
        self.is_mute = False
        #: Set to let it announce itself at once.
        self.woken = asyncio.Event()
        self.health_checks = 0
        #: Coroutine function of server, request and reply that answers.
        self.behave = answer_whole
        #: The same for its health path.
        self.behave_on_health = tell_warmup
        #: The same for the path at which engines tell their state.
        self.behave_on_state = tell_start
        self.listener = self._bind()

    def _bind(self):
        return http1.Listener(
            transport.bind_listener(self.address), self._handle
        )

    async def __aenter__(self):
        await self.listener.__aenter__()
        return self

    async def __aexit__(self, *exc_info):
        await self.listener.__aexit__(*exc_info)

    def crash(self):
        """End all its connections and accept no more, without notice."""
        self.crashes += 1
        self.is_down = True
        self.listener.abort()

    async def start_again(self):
        """Listen again after a crash, as a new incarnation."""
        self.born += INCARNATION_MS
        self.sequence = 0
        self.listener = self._bind()
        await self.listener.__aenter__()
        self.is_down = False

    async def _handle(self, request, reply):
        expected = http1.find_header(request.headers, _headers.EXPECT_INSTANCE)
        if expected not in (None, self.server_id.encode()):
            reply.send(421, self.headers(request), b"")
            return
        if request.target == HEALTH_PATH:
            self.health_checks += 1
            await self.behave_on_health(self, request, reply)
            return
        if request.target == STATE_PATH:
            await self.behave_on_state(self, request, reply)
            return
        self.requests.append(request)
        try:
            await self.behave(self, request, reply)
        except asyncio.CancelledError:
            self.left += 1
            raise

    def health_headers(self):
        """Header fields of the answers of its health path."""
        warmup_ms = self.announcement()["warmup_left_ms"]
        return [
            (_headers.INSTANCE_ID, self.server_id.encode()),
            (_headers.WARMUP_MS, str(warmup_ms).encode()),
        ]

    def headers(self, request):
        """Header fields of its answers."""
        request_id = http1.find_header(request.headers, _headers.REQUEST_ID)
        return [
            (_headers.REQUEST_ID, request_id),
            (STAMP, f"stamp-{self.server_id}".encode()),
        ]

    def announcement(self, **fields):
        """What it tells control VMs."""
        self.sequence += 1
        document = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.software_version,
            "capacity": 4,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        document.update(fields)
        return document


async def tell_warmup(server, request, reply):
    """Answer on the health path."""
    reply.send(200, server.health_headers(), b"")


async def tell_start(server, request, reply):
    """Say which start of the server it is, as engines do."""
    state = {"phase": "both", "busy": False, "born": server.born}
    reply.send(200, [], json.dumps(state).encode())


async def answer_whole(server, request, reply):
    """Answer with what was asked."""
    body = request.method + b" " + request.target + b" " + request.body
    reply.send(200, server.headers(request), body)


def answer_with(status, *headers, body=b""):
    """Behaviour: one fixed answer.

    :param status: status code.
    :param headers: further header fields.
    :param body: the body.
    """

    async def behave(server, request, reply):
        fields = [*server.headers(request), *headers]
        reply.send(status, fields, body)

    return behave


async def reset(server, request, reply):
    """Cut the connection while the request runs."""
    reply.abort()


def reset_after(gate):
    """Behaviour: cut the connection once an event is set.

    :param gate: the ``asyncio.Event``.
    """

    async def behave(server, request, reply):
        await gate.wait()
        await reset(server, request, reply)

    return behave


async def hang(server, request, reply):
    """Never answer."""
    await asyncio.Event().wait()


def has_part(request, part_id):
    """Whether the prompt of a request has a part.

    :param request: the ``Request``.
    :param part_id: id of the part.
    """
    prefix = http1.find_header(request.headers, _headers.PROMPT_PREFIX) or b""
    ids = [part.partition(b":")[0] for part in prefix.split(b",")]
    return part_id.encode() in ids


def crash_on(part_id, otherwise):
    """Behaviour: crash right after an answer on a part of a prompt began.

    :param part_id: id of the part.
    :param otherwise: behaviour for requests without it.
    """

    async def behave(server, request, reply):
        if not has_part(request, part_id):
            await otherwise(server, request, reply)
            return
        headers = server.headers(request)
        headers.append((b"Content-Type", b"text/event-stream"))
        reply.start(200, headers)
        reply.write(b"id: 0\ndat")
        await asyncio.sleep(CRASH_DELAY_S)
        server.crash()

    return behave


def stream(events, cut_after=None, pause_s=0.0, silence=None):
    """Behaviour: a stream of events that goes on after the last one known.

    :param events: how many.
    :param cut_after: event in whose middle the connection breaks.
    :param pause_s: pause between two events.
    :param silence: event before which the server is silent, and for how many
        seconds.
    """

    async def behave(server, request, reply):
        last = http1.find_header(request.headers, b"last-event-id")
        first = int(last) + 1 if last else 0
        headers = server.headers(request)
        headers.append((b"Content-Type", b"text/event-stream"))
        reply.start(200, headers)
        for number in range(first, events):
            if number == cut_after:
                reply.write(b"id: %d\ndat" % number)
                await asyncio.sleep(0.05)
                reply.abort()
                return
            if silence is not None and number == silence[0]:
                await asyncio.sleep(silence[1])
            reply.write(b"id: %d\ndata: e%d\n\n" % (number, number))
            await asyncio.sleep(pause_s)
        reply.end()

    return behave


def raw_stream(body, framing):
    """Behaviour: a stream of these bytes, continued after the last known.

    :param body: the bytes; the server closes its connection after them.
    :param framing: ``http1.BodyFraming`` of the response, whose end is sent
        even if the last event is incomplete.
    """

    async def behave(server, request, reply):
        last = http1.find_header(request.headers, b"last-event-id")
        rest = body[len(whole_stream(int(last) + 1)) :] if last else body
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        for name, value in server.headers(request):
            head += name + b": " + value + b"\r\n"
        if framing is http1.BodyFraming.CHUNKED:
            head += b"Transfer-Encoding: chunked\r\n"
            chunk = b"%x\r\n%b\r\n" % (len(rest), rest) if rest else b""
            rest = chunk + b"0\r\n\r\n"
        elif framing is http1.BodyFraming.LENGTH:
            head += b"Content-Length: %d\r\n" % len(rest)
        transport = reply.connection.transport
        transport.write(head + b"\r\n" + rest)
        transport.close()

    return behave


def whole_stream(events):
    """Body of a stream from its first event."""
    return b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(events))


def route(name, service, **fields):
    """A route as an operator sends it."""
    document = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "type": "safe",
        "timeout_ms": 5000,
        "target_latency_ms": 800,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
        "sticky": False,
        "resumable": False,
        "itl_target_ms": None,
        "allowed_regions": [],
    }
    document.update(fields)
    return document


def configuration(version=1, routes=None):
    """A configuration as an operator sends it."""
    text = {
        "name": "text",
        "health_path": "/healthz",
        "max_conns": 100,
        "protocol": "h1",
        "tls": False,
        "warmup_s": 3.0,
        "warmup_per_s": 5.0,
        "engine": {
            "capacity": 4,
            "kv_capacity_tokens": 300000,
            "kv_bytes": 35136,
            "link_mbps": 180000.0,
            "models": [{"name": "m"}],
        },
    }
    desk = {
        "name": "desk",
        "health_path": "/healthz",
        "max_conns": 100,
        "warmup_s": 0.0,
        "warmup_per_s": 0.0,
    }
    return {
        "version": version,
        "routes": routes
        or [
            route("safe", "desk"),
            route("unsafe", "desk", type="unsafe", max_attempts=1),
            route(
                "talk",
                "text",
                type="streaming",
                resumable=True,
                itl_target_ms=400,
            ),
            route("draft", "text", type="streaming", max_attempts=1),
        ],
        "services": [text, desk],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class Answer:
    """An answer as a client reads it."""

    def __init__(self, head, body, whole):
        first, *lines = head.split(b"\r\n")
        self.status = int(first.split(b" ")[1])
        pairs = (line.partition(b": ") for line in lines if line)
        self.headers = {name.lower(): value for name, _, value in pairs}
        self.body = body
        self.whole = whole


class Deployment:
    """Nodes and servers on addresses of the loopback network.

    Each node has an IP address of its own, so that ports are the same on all
    of them, as on the platform; addresses differ between test processes.

    :param entries: failure domain of each entry VM.
    :param memory_mb: memory of a VM; 0 for no bound.
    :param hedge_share: as in ``NodeSettings``.
    :param stop_grace_s: grace period of a planned stop.
    """

    def __init__(
        self,
        entries=("a1", "a1", "b1"),
        memory_mb=0.0,
        hedge_share=0.0,
        stop_grace_s=8.0,
    ):
        self.stop_grace_s = stop_grace_s
        self.memory_mb = memory_mb
        pid = os.getpid()
        self.network = f"127.{100 + pid % 100}.{pid // 100 % 250}"
        self.entries = entries
        self.hedge_share = hedge_share
        self.nodes = {}
        self.servers = {}
        self.folder = None
        self._numbers = iter(range(1, 250))
        self._ips = {}
        self._stacks = {}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        await self._stack.__aenter__()
        self.folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        for number in range(3):
            zone = list(REGIONS)[number % 2]
            await self.start_control(f"c{number}", zone, True)
        for number, zone in enumerate(self.entries):
            await self.start_entry(f"e{number}", zone)
        return self

    async def __aexit__(self, *exc_info):
        for name in list(self._stacks):
            await self.kill(name)
        await self._stack.aclose()

    def ip(self, name):
        """IP address of a node or server."""
        if name not in self._ips:
            self._ips[name] = f"{self.network}.{next(self._numbers)}"
        return self._ips[name]

    def settings(self, name, role, zone, is_first_start):
        """Settings of a node."""
        ip_address = self.ip(name)
        is_entry = role == "entry"
        port = FRONT_PORT if is_entry else CONTROL_PORT
        folder = pathlib.Path(self.folder, name)
        folder.mkdir(exist_ok=True)
        seeds = [f"{self.ip(f'c{n}')}:{CONTROL_PORT}" for n in range(3)]
        return gateway.NodeSettings(
            role=role,
            node_name=name,
            region=REGIONS[zone],
            failure_domain=zone,
            regions=REGIONS,
            ip_address=ip_address,
            service_address=f"{ip_address}:{port}",
            readiness_address=f"{ip_address}:{READY_PORT}" if is_entry else "",
            directory_address=(
                f"{ip_address}:{DIRECTORY_PORT}" if is_entry else ""
            ),
            link_port=LINK_PORT,
            forward_port=LINK_PORT + 1,
            metrics_port=LINK_PORT + 2,
            seeds=tuple(seeds),
            is_first_start=is_first_start,
            data_folder="" if is_entry else str(folder),
            announcement_period=datetime.timedelta(seconds=1.2),
            tolerated_losses=1,
            repeat_ratio=0.2,
            repeat_slack=56.0,
            directory_ttl=datetime.timedelta(seconds=5),
            stop_grace=datetime.timedelta(seconds=self.stop_grace_s),
            memory_mb=self.memory_mb,
            hedge_share=self.hedge_share,
        )

    async def _start(self, name, node):
        stack = contextlib.AsyncExitStack()
        self.nodes[name] = await stack.enter_async_context(node)
        self._stacks[name] = stack

    async def start_control(self, name, zone, is_first_start=False):
        """Start a control VM on what its folder holds."""
        node = gateway.ControlNode(
            self.settings(name, "control", zone, is_first_start),
            _dialect.PlatformDialect(),
            clock.SystemClock(),
            random.Random(random.getrandbits(64)),
            _control_api.make_handlers,
        )
        await self._start(name, node)

    async def start_entry(self, name, zone):
        """Start an entry VM."""
        node = gateway.EntryNode(
            self.settings(name, "entry", zone, False),
            _dialect.PlatformDialect(),
            clock.SystemClock(),
            random.Random(7),
            _entry_api.make_handlers,
        )
        await self._start(name, node)

    async def kill(self, name):
        """Stop a node without notice."""
        del self.nodes[name]
        await self._stacks.pop(name).aclose()

    def wipe(self, name):
        """Empty the disk of a node that does not run."""
        folder = pathlib.Path(self.folder, name)
        for path in sorted(folder.rglob("*"), reverse=True):
            path.unlink() if path.is_file() else path.rmdir()

    async def add_server(
        self, server_id, service, zone="a1", version="v1", **fields
    ):
        """Start a backend server and let it announce itself."""
        server = Server(server_id, self.ip(server_id), service, zone)
        server.software_version = version
        await self._stack.enter_async_context(server)
        self.servers[server_id] = server
        await self.announce(server, **fields)
        await self.until(
            lambda: all(
                server_id in node.registry.servers
                for node in self.nodes.values()
            )
        )
        return server

    async def until_known(self):
        """Wait until entry VMs know which starts of servers there are."""
        entries = [
            node
            for node in self.nodes.values()
            if node.settings.role == "entry"
        ]
        await self.until(
            lambda: (
                not any(
                    node.shared_state.fleet.restarts.is_unknown(
                        server_id, asyncio.get_running_loop().time()
                    )
                    for node in entries
                    for server_id in self.servers
                )
            )
        )

    async def restart_server(self, server):
        """Start a crashed server again and let all nodes know of it."""
        await server.start_again()
        await self.announce(server)

        def is_known(node):
            view = node.registry.servers.get(server.server_id)
            return view is not None and view.record.born_ms == server.born

        await self.until(lambda: all(map(is_known, self.nodes.values())))

    async def announce(self, server, control="c0", **fields):
        """Let a server announce itself at a control VM."""
        answer = await self.control(
            control,
            "PUT",
            f"/instances/{server.server_id}",
            server.announcement(**fields),
        )
        assert answer.status == 200, answer.body

    async def control(self, name, method, path, document=None):
        """Call a control VM."""
        body = b"" if document is None else json.dumps(document).encode()
        address = f"{self.ip(name)}:{CONTROL_PORT}"
        return await call(address, method, path, body)

    async def publish(self, document, name="c0"):
        """Publish a configuration until it is accepted."""
        while True:
            answer = await self.control(name, "PUT", "/config", document)
            if answer.status != 503:
                return answer
            await asyncio.sleep(POLL_S)

    async def in_force(self, version):
        """Wait until all entry VMs hold a version."""
        entries = [
            n for n in self.nodes.values() if n.settings.role == "entry"
        ]
        await self.until(
            lambda: all(n.shared_state.version >= version for n in entries)
        )

    async def begin(self, *routes):
        """Publish a first configuration and wait until it is in force."""
        document = configuration(routes=list(routes) or None)
        answer = await self.publish(document)
        assert answer.status == 200, answer.body
        await self.in_force(1)

    async def until(self, condition):
        """Wait for a condition."""
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)

    async def ask(self, path, entry="e0", method="GET", body=b"", **headers):
        """Send a request to an entry VM."""
        address = f"{self.ip(entry)}:{FRONT_PORT}"
        fields = {
            "Host": HOST,
            "X-Buckthorntack-Request-Id": f"{random.getrandbits(64):016x}",
            "X-Buckthorntack-Deadline-Ms": "4000",
        }
        for name, value in headers.items():
            fields[name.replace("_", "-")] = value
        return await call(address, method, path, body, fields)

    async def begin_to_ask(self, path="/talk/x", entry="e0"):
        """Send a request on a connection with small buffers; read nothing."""
        address = f"{self.ip(entry)}:{FRONT_PORT}"
        reader, writer = await connect_with_small_buffers(address)
        request_id = f"{random.getrandbits(64):016x}"
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Buckthorntack-Request-Id: {request_id}",
            "X-Buckthorntack-Deadline-Ms: 30000",
            "Content-Length: 0",
            "Connection: close",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        return reader, writer


async def connect_with_small_buffers(address):
    """Open a connection that takes few bytes before they are read."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (host, int(port)))
    return await asyncio.open_connection(sock=sock, limit=SMALL_BUFFER_BYTES)


async def call(address, method, path, body=b"", headers=None):
    """Send one request on a new connection and read the answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = {"Host": address, **(headers or {})}
    if body or method in ("PUT", "POST"):
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join([*lines, "Connection: close", "", ""]).encode()
    try:
        writer.write(head + body)
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader):
    """Read an answer up to the end of its connection."""
    head = (await reader.readuntil(b"\r\n\r\n"))[:-4]
    data = b""
    was_reset = False
    try:
        while part := await reader.read(65536):
            data += part
    except ConnectionError:
        was_reset = True
    if b"transfer-encoding: chunked" not in head.lower():
        found = head.lower().partition(b"content-length: ")[2]
        length = found.partition(b"\r\n")[0]
        whole = len(data) == int(length) if length else not was_reset
        return Answer(head, data, whole)
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            return Answer(head, body, True)
        body += data[:length]
        data = data[length + 2 :]
    return Answer(head, body, False)


def run(scenario, **options):
    """Run a scenario with a deployment.

    :param scenario: coroutine function of a :class:`Deployment`.
    :param options: of the deployment.
    """

    async def bounded():
        async with asyncio.timeout(PATIENCE_S):
            async with Deployment(**options) as deployment:
                await scenario(deployment)

    asyncio.run(bounded())
