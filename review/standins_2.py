"""Processes of a small deployment, and stand-ins of those who call it.

The nodes run as separate processes by the command of the deploy file, on
loopback addresses and the real clock.  Workers, clients and the operator are
stand-ins that follow the protocol's pages; they live in the process of the
script.  Only the standard library is used.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
#: As in deploy/system.toml.
COMMAND = ("python3", "-S", "-m", "buckthorntack.platform")
HEARTBEAT_S = 1.2
#: Port of the links between nodes, counted from the first one.
LINK_OFFSET = 4
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
PREFIX = "X-Buckthorntack-"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run; a text file.

    :param folder: folder of the case.
    """

    def __init__(self, folder):
        self._began_s = time.monotonic()
        self._path = pathlib.Path(folder, "record.txt")
        self._path.write_text("")

    def now_s(self):
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._began_s

    def write(self, text):
        """Write a line with the time.

        :param text: the line.
        """
        with self._path.open("a") as file:
            file.write(f"{self.now_s():8.3f} s  {text}\n")


def choose_network():
    """Return the start of loopback addresses that nobody uses."""
    return f"127.{random.SystemRandom().randrange(16, 250)}"


def find_ports(ip_address, count):
    """Return the first of some ports in a row that are free.

    :param ip_address: a loopback address.
    :param count: how many.
    """
    for first in random.SystemRandom().sample(range(11000, 30000, 40), 200):
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((ip_address, port))
            except OSError:
                continue
            return first
    raise CannotRun("no free ports")


class Relay:
    """Relays connections to an address; some may go silent for good.

    :param public: IP address and port that others use.
    :param private: where the process listens.
    """

    def __init__(self, public, private):
        self.public = public
        self.private = private
        self._open = set()
        self._silent = set()
        self._server = None

    async def start(self):
        """Accept connections."""
        host, _, port = self.public.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=500
        )

    def stop(self):
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    def silence(self):
        """Let all open connections go silent for good; return how many."""
        self._silent |= self._open
        return len(self._open)

    async def _serve(self, reader, writer):
        host, _, port = self.private.rpartition(":")
        try:
            far = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far[1])
        self._open.add(pair)
        try:
            await asyncio.gather(
                self._copy(reader, far[1], pair),
                self._copy(far[0], writer, pair),
                return_exceptions=True,
            )
        finally:
            self._open.discard(pair)
            for one in pair:
                one.transport.abort()

    async def _copy(self, reader, writer, pair):
        try:
            while data := await reader.read(65536):
                if pair not in self._silent:
                    writer.write(data)
                    await writer.drain()
        finally:
            # Either side that ends tells the other, unless it is silent.
            if pair not in self._silent:
                writer.close()


class Node:
    """A process of the system.

    :param deployment: the ``Deployment``.
    :param name: its name.
    :param role: ``entry`` or ``control``.
    :param zone: its zone.
    :param ip_address: a loopback address of its own.
    """

    def __init__(self, deployment, name, role, zone, ip_address):
        self.deployment = deployment
        self.name = name
        self.role = role
        self.zone = zone
        self.ip_address = ip_address
        self.folder = pathlib.Path(deployment.folder, name)
        self.process = None
        self.is_first_start = True
        #: ``Relay`` of the links between nodes; None for no relays.
        self.link_relay = None
        self._relays = []

    def address(self, service):
        """Return one of its addresses.

        :param service: ``main``, ``readiness`` or ``directory``.
        """
        offset = {"main": 0, "readiness": 1, "directory": 2}[service]
        return f"{self.ip_address}:{self.deployment.port + offset}"

    def _settings(self):
        """The template deploy/settings.json, filled in."""
        deployment = self.deployment
        is_entry = self.role == "entry"
        port = deployment.port
        return {
            "role": self.role,
            "node_name": self.name,
            "region": deployment.zones[self.zone],
            "failure_domain": self.zone,
            "regions": deployment.zones,
            "ip_address": self.ip_address,
            "listen_ip": self.private_address() if self._relays else "",
            "service_address": self.address("main"),
            "readiness_address": self.address("readiness") * is_entry,
            "directory_address": self.address("directory") * is_entry,
            "metrics_port": port + 3,
            "internal_ports": [port + LINK_OFFSET, port + 19],
            "seeds": [n.address("main") for n in deployment.controls],
            "first_start": self.is_first_start,
            "data_folder": "" if is_entry else str(self.folder / "data"),
            "announcement_ms": 1200,
            "tolerated_losses": 1,
            "repeat_ratio": 0.2,
            "repeat_slack": 52,
            "hedge_share": 0,
            "directory_ttl_s": 5,
            "memory_mb": 300 if is_entry else 296,
            "grace_s": 8,
            "processor_share": 0.537,
            "processor_speed": 2,
            "link_mbps": 1000.0,
        }

    def private_address(self):
        """Return the IP address that it binds behind its relays."""
        first, second, third, last = self.ip_address.split(".")
        return f"{first}.{second}.{int(third) + 100}.{last}"

    async def add_relays(self):
        """Put relays before all its ports; call it before the first start."""
        port = self.deployment.port
        for offset in (0, 1, 2, 4, 5):
            relay = Relay(
                f"{self.ip_address}:{port + offset}",
                f"{self.private_address()}:{port + offset}",
            )
            await relay.start()
            self._relays.append(relay)
            if offset == LINK_OFFSET:
                self.link_relay = relay

    async def start(self):
        """Start the process."""
        (self.folder / "data").mkdir(parents=True, exist_ok=True)
        path = self.folder / "settings.json"
        path.write_text(json.dumps(self._settings()))
        keep = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in keep if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["BUCKTHORNTACK_NODE_FILE"] = str(path)
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, stdout=log, stderr=log, cwd=ROOT, env=env
            )
        self.is_first_start = False
        self.deployment.record.write(f"start {self.name}")

    def send_signal(self, number):
        """Send a signal to the process.

        :param number: the signal.
        """
        if self.process is None or self.process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, number)
        self.deployment.record.write(f"{number.name} to {self.name}")

    async def end(self):
        """Kill the process, if it still runs."""
        for relay in self._relays:
            relay.stop()
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.process.wait()


class Deployment:
    """Control and entry nodes on loopback addresses.

    :param record: the ``Record``.
    :param zones: region of each zone.
    :param entries: number of entry nodes in each zone.
    :param has_relays: whether a relay stands before each port of each node.
    """

    def __init__(self, record, zones, entries=1, has_relays=False):
        self.has_relays = has_relays
        self.record = record
        self.zones = zones
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.network = choose_network()
        self.port = find_ports(f"{self.network}.1.1", 20)
        self.controls = []
        self.entries = []
        for number, zone in enumerate(zones, 1):
            ip_address = f"{self.network}.{number}.1"
            name = f"control-{zone}"
            self.controls.append(Node(self, name, "control", zone, ip_address))
            for index in range(entries):
                ip_address = f"{self.network}.{number}.{10 + index}"
                name = f"entry-{zone}-{index + 1}"
                self.entries.append(
                    Node(self, name, "entry", zone, ip_address)
                )

    async def __aenter__(self):
        try:
            for node in [*self.controls, *self.entries]:
                if self.has_relays:
                    await node.add_relays()
            for node in [*self.controls, *self.entries]:
                await node.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc_info):
        for node in [*self.controls, *self.entries]:
            await node.end()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def entries_of(self, zone):
        """List the entry nodes of a zone.

        :param zone: its name.
        """
        return [node for node in self.entries if node.zone == zone]

    async def wait_ready(self, timeout_s=20.0):
        """Wait until all entry nodes say that they are ready.

        :param timeout_s: longest wait.
        :raises CannotRun: they do not.
        """
        deadline_s = time.monotonic() + timeout_s
        for node in self.entries:
            while not await self._is_ready(node):
                if time.monotonic() > deadline_s:
                    raise CannotRun(f"{node.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.write("all entry nodes are ready")

    async def _is_ready(self, node):
        try:
            answer = await call(
                node.address("readiness"), "GET", "/readyz", timeout_s=1.0
            )
        except (OSError, EOFError, TimeoutError):
            return False
        return answer.status == 200

    async def order(self, method, path, document=None, timeout_s=20.0):
        """Give an order as the operator, until it is acknowledged.

        :param method: of the call.
        :param path: of the call.
        :param document: its body; None for none.
        :param timeout_s: longest time.
        :raises CannotRun: there is no acknowledgement.
        """
        body = b"" if document is None else json.dumps(document).encode()
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            for node in self.controls:
                with contextlib.suppress(OSError, EOFError, TimeoutError):
                    answer = await call(
                        node.address("main"),
                        method,
                        path,
                        [("Content-Type", "application/json")],
                        body,
                        1.0,
                    )
                    if answer.status == 200:
                        self.record.write(f"{method} {path}: acknowledged")
                        return
                    if answer.status == 400:
                        raise CannotRun(f"{method} {path}: {answer.body}")
            await asyncio.sleep(0.2)
        raise CannotRun(f"{method} {path} is not acknowledged")


class Answer:
    """A complete response.

    :param status: its status code.
    :param headers: fields by name in lower case.
    :param body: its body.
    """

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Read the head of a message.

    :param reader: ``asyncio.StreamReader``.
    :returns: its first line, and a list of name and value pairs.
    """
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    pairs = [line.partition(":")[::2] for line in lines]
    return first, [(name.strip(), value.strip()) for name, value in pairs]


async def read_body(reader, headers):
    """Read the body of a message with a length or in chunks.

    :param reader: ``asyncio.StreamReader``.
    :param headers: fields by name in lower case.
    """
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    parts = []
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.partition(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b"".join(parts)


async def send_on(reader, writer, method, target, headers=(), body=b""):
    """Send a request on an open connection and read its response.

    :param reader: ``asyncio.StreamReader``.
    :param writer: ``asyncio.StreamWriter``.
    :param method: of the request.
    :param target: path and query.
    :param headers: name and value pairs, besides the length.
    :param body: the body.
    :returns: :class:`Answer`.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
    await writer.drain()
    first, pairs = await read_head(reader)
    fields = {name.lower(): value for name, value in pairs}
    status = int(first.split(" ")[1])
    return Answer(status, fields, await read_body(reader, fields))


async def call(address, method, target, headers=(), body=b"", timeout_s=10.0):
    """Make one request on a connection of its own.

    :param address: IP address and port.
    :param method: of the request.
    :param target: path and query.
    :param headers: name and value pairs, besides the length.
    :param body: the body.
    :param timeout_s: longest time.
    :returns: :class:`Answer`.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            if not any(name.lower() == "host" for name, _ in headers):
                headers = [("Host", address), *headers]
            return await send_on(reader, writer, method, target, headers, body)
        finally:
            writer.close()


class Worker:
    """A sound worker of a service.

    :param deployment: the ``Deployment``.
    :param service: name of its service.
    :param zone: its zone.
    :param ip_address: a loopback address of its own.
    """

    def __init__(self, deployment, service, zone, ip_address):
        self.deployment = deployment
        self.record = deployment.record
        self.service = service
        self.zone = zone
        self.ip_address = ip_address
        self.server_id = f"i-{random.SystemRandom().randrange(1 << 32):08x}"
        self.address = f"{ip_address}:{deployment.port}"
        self.state = "ready"
        self.version = "v1"
        self.capacity = 16
        self.work_s = 0.02
        self.sequence = 0
        self.born = int(time.time() * 1000)
        #: Ids of the requests that it ran, with the time.
        self.runs = []
        #: Coroutine function that answers a request.
        self.answer = answer_whole
        self._server = None
        self._beats = None
        self._tasks = set()

    async def __aenter__(self):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 20
        )
        self._beats = asyncio.create_task(self._announce())
        return self

    async def __aexit__(self, *exc_info):
        await self.crash()

    async def crash(self):
        """End without a word: connections are reset, nobody listens."""
        if self._server is None:
            return
        self._beats.cancel()
        self._server.close()
        self._server = None
        this = asyncio.current_task()
        for task in list(self._tasks):
            if task is not this:
                task.cancel()
        await asyncio.sleep(0)

    async def start_again(self):
        """Start as a new incarnation with the same id, which knows nothing."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.__aenter__()
        self.record.write(f"{self.server_id} is back")

    def describe(self):
        """What it says of itself."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "capacity": self.capacity,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _announce(self):
        urls = []
        while True:
            addresses = [n.address("main") for n in self.deployment.controls]
            random.shuffle(addresses)
            for address in [*urls, *addresses]:
                try:
                    answer = await call(
                        address,
                        "PUT",
                        f"/instances/{self.server_id}",
                        [("Content-Type", "application/json")],
                        json.dumps(self.describe()).encode(),
                        1.0,
                    )
                except (OSError, EOFError, TimeoutError):
                    urls = []
                    continue
                if answer.status == 200:
                    url = json.loads(answer.body).get("heartbeat_url")
                    urls = [url.split("/")[2]] if url else []
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                first, pairs = await read_head(reader)
                fields = {name.lower(): value for name, value in pairs}
                body = await read_body(reader, fields)
                await self._handle(first, fields, body, writer)
                await writer.drain()
        except (EOFError, OSError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # It crashes; its connections are reset.
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _handle(self, first, fields, body, writer):
        method, target, _ = first.split(" ")
        if target == "/healthz":
            name = f"{PREFIX}Instance-Id"
            write_answer(writer, 200, [(name, self.server_id)], b"")
            return
        if target == "/report":
            state = {"phase": "both", "busy": False, "born": self.born}
            write_answer(writer, 200, [], json.dumps(state).encode())
            return
        request_id = fields.get("x-buckthorntack-request-id", "")
        expected = fields.get("x-buckthorntack-expect-instance")
        if expected not in (None, self.server_id):
            write_answer(writer, 421, self.echo(request_id), b"")
            return
        self.runs.append((request_id, self.record.now_s()))
        self.record.write(f"{self.server_id} runs {request_id}")
        await self.answer(self, fields, request_id, body, writer)

    def echo(self, request_id):
        """Header fields of its answers.

        :param request_id: id of the request.
        """
        return [
            (f"{PREFIX}Request-Id", request_id),
            (f"{PREFIX}Server-Stamp", f"stamp-{self.server_id}"),
        ]


def write_answer(writer, status, headers, body):
    """Write a whole response.

    :param writer: ``asyncio.StreamWriter``.
    :param status: status code.
    :param headers: name and value pairs.
    :param body: the body.
    """
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + body)


async def answer_whole(worker, fields, request_id, body, writer):
    """Work for a moment, then answer.

    :param worker: the ``Worker``.
    :param fields: header fields of the request by name in lower case.
    :param request_id: id of the request.
    :param body: its body.
    :param writer: ``asyncio.StreamWriter``.
    """
    await asyncio.sleep(worker.work_s)
    content = f"{request_id} {len(body)}".encode()
    write_answer(writer, 200, worker.echo(request_id), content)


def write_stream_head(worker, request_id, writer):
    """Begin a stream of events.

    :param worker: the ``Worker``.
    :param request_id: id of the request.
    :param writer: ``asyncio.StreamWriter``.
    """
    headers = [
        *worker.echo(request_id),
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked"),
    ]
    lines = ["HTTP/1.1 200 OK"]
    lines += [f"{name}: {value}" for name, value in headers]
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))


def write_event(writer, number):
    """Send an event of a stream.

    :param writer: ``asyncio.StreamWriter``.
    :param number: its id.
    """
    event = b"id: %d\ndata: word\n\n" % number
    writer.write(b"%x\r\n%b\r\n" % (len(event), event))


def make_configuration(version, routes, services, limits=None):
    """Return a configuration as operators send it.

    :param version: its version.
    :param routes: list of route documents, completed here.
    :param services: names of the services.
    :param limits: changes of the usual limits.
    """
    usual = {
        "type": "safe",
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "priority": 0,
        "max_attempts": 2,
        "sticky": False,
        "resumable": False,
        "allowed_regions": [],
    }
    service = {
        "health_path": "/healthz",
        "max_conns": 160,
        "protocol": "h1",
        "tls": False,
        "warmup_s": 0.0,
        "warmup_per_s": 0.0,
    }
    return {
        "version": version,
        "routes": [{**usual, **route} for route in routes],
        "services": [{"name": name, **service} for name in services],
        "limits": {**LIMITS, **(limits or {})},
    }


def new_request_id():
    """Return the id of a client attempt."""
    return f"{random.SystemRandom().randrange(1 << 64):016x}"


def run(play, folder):
    """Play a case and exit as the script has to.

    :param play: coroutine function of the ``Record`` and of whether there is
        a disruption, that returns whether the rule held.
    :param folder: folder of the case.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        has_held = asyncio.run(play(record, has_trouble))
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        raise SystemExit(NOT_RUN) from None
    record.write("the rule held" if has_held else "the rule was broken")
    raise SystemExit(HELD if has_held else BROKEN)
