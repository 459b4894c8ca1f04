"""Stand-ins of the platform, of workers, clients and an operator.

Only the standard library is used.  All addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = {"za": "ra", "zb": "rb", "zc": "rc"}
CONTROL, FRONT, READY, REGISTRY = 8146, 8144, 8140, 8143
INTERNAL_PORTS = [7660, 7675]
METRICS_PORT = 19464
WORKER_PORT = 8601
HOST = "verge.example"
SERVICE = "desk"
BEAT_S = 1.2
#: An operator or worker moves on after so long without a response.
CALL_S = 1.0
LEADER_EVENT = b'"name":"replica_role_changed"'


class Record:
    """Writes what was seen to a file, one line each.

    :param path: path of the file.
    """

    def __init__(self, path):
        self.started_s = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    def now_s(self):
        """Seconds since the start."""
        return time.monotonic() - self.started_s

    def write(self, text):
        """Write a line.

        :param text: its text.
        """
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


class Answer:
    """A response.

    :param status: its status.
    :param headers: fields by name in lower case.
    :param body: its body.
    """

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def read_message(reader):
    """Read a message with a length, or an empty or chunked body.

    :param reader: the stream.
    :returns: its first line, its fields by name in lower case, its body.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            body += data[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


async def call(address, method, path, body=b"", headers=(), timeout_s=CALL_S):
    """Send one request on a new connection.

    :param address: IP address and port.
    :param method: its method.
    :param path: its path.
    :param body: its body.
    :param headers: pairs of name and value.
    :param timeout_s: longest wait for the whole answer.
    :returns: :class:`Answer`; None without an answer in time.
    """
    ip_address, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1"]
    names = {name.lower() for name, _ in headers}
    if "host" not in names:
        lines.append(f"Host: {address}")
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("PUT", "POST"):
        lines.append(f"Content-Length: {len(body)}")
    payload = "\r\n".join([*lines, "", ""]).encode() + body
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                ip_address, int(port)
            )
            writer.write(payload)
            first, fields, content = await read_message(reader)
            return Answer(int(first.split(" ")[1]), fields, content)
    except (OSError, EOFError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Machine:
    """A machine of the system with its process, as the platform runs it.

    :param platform: the :class:`Platform`.
    :param name: its name.
    :param role: ``entry`` or ``control``, a role of the deploy file.
    :param zone: its zone.
    :param ip_address: its address.
    """

    def __init__(self, platform, name, role, zone, ip_address):
        self.platform = platform
        self.name = name
        self.role = role
        self.zone = zone
        self.ip_address = ip_address
        self.folder = platform.folder / name
        self.process = None
        self.is_first_start = True

    @property
    def address(self):
        """Where clients, or workers and operators, reach it."""
        port = FRONT if self.role == "entry" else CONTROL
        return f"{self.ip_address}:{port}"

    def _write_settings(self):
        """Write what ``deploy/settings.json`` yields for this machine."""
        is_entry = self.role == "entry"
        document = {
            "role": self.role,
            "node_name": self.name,
            "region": ZONES[self.zone],
            "failure_domain": self.zone,
            "regions": ZONES,
            "ip_address": self.ip_address,
            "service_address": self.address,
            "readiness_address": (
                f"{self.ip_address}:{READY}" if is_entry else ""
            ),
            "directory_address": (
                f"{self.ip_address}:{REGISTRY}" if is_entry else ""
            ),
            "metrics_port": METRICS_PORT,
            "internal_ports": INTERNAL_PORTS,
            "seeds": self.platform.seeds,
            "first_start": self.is_first_start,
            "data_folder": "" if is_entry else str(self.folder / "data"),
            "announcement_ms": int(BEAT_S * 1e3),
            "tolerated_losses": 1,
            "repeat_ratio": 0.2,
            "repeat_slack": 56,
            "hedge_share": 0,
            "directory_ttl_s": 5,
            "memory_mb": 300 if is_entry else 296,
            "grace_s": 8,
            "processor_share": 0.537 if is_entry else 0.645,
            "processor_speed": 2,
            "link_mbps": 1000.0,
        }
        path = self.folder / "settings.json"
        path.write_text(json.dumps(document))
        return path

    async def start(self):
        """Start its process with the command of the deploy file."""
        (self.folder / "data").mkdir(parents=True, exist_ok=True)
        path = self._write_settings()
        kept = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in kept if n in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BUCKTHORNTACK_NODE_FILE"] = str(path)
        with (self.folder / "log").open("ab") as log:  # noqa: ASYNC230
            self.process = await asyncio.create_subprocess_exec(
                *self.platform.commands[self.role],
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.is_first_start = False

    def signal(self, number):
        """Send a signal to its process.

        :param number: the signal.
        """
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def end(self):
        """Kill its process."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def believes_to_lead(self):
        """Whether its log says last that it leads."""
        lines = (self.folder / "log").read_bytes().splitlines()
        roles = [line for line in lines if LEADER_EVENT in line]
        return bool(roles) and b'"role":"leader"' in roles[-1]


class Worker:
    """A worker of a plain service.

    :param platform: the :class:`Platform`.
    :param server_id: its id.
    :param zone: its zone.
    :param address: where it listens.
    """

    def __init__(self, platform, server_id, zone, address):
        self.platform = platform
        self.server_id = server_id
        self.zone = zone
        self.address = address
        self.born_ms = int(time.time() * 1e3)
        self.sequence = 0
        #: Pairs of time and id of the requests that it ran.
        self.runs = []
        #: Coroutine function of worker, writer, head and body of a request
        #: that it runs, in place of the usual answer; None for that.
        self.behave = None
        self.starts = 1
        self._server = None
        self._beating = None
        self._connections = set()

    async def start(self):
        """Listen, and announce itself from now on."""
        ip_address, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, ip_address, int(port)
        )
        self._beating = asyncio.create_task(self._beat())

    async def end(self):
        """End without notice."""
        self._beating.cancel()
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def leave(self, machines):
        """Leave as planned: withdraw, at one control VM after the other.

        It beats no more before; it exits once one has acknowledged.

        :param machines: list of :class:`Machine`, in order.
        :returns: whether one acknowledged.
        """
        record = self.platform.record
        self._beating.cancel()
        path = f"/instances/{self.server_id}"
        for machine in machines:
            record.write(
                f"{self.server_id} sends DELETE {path} to {machine.name}"
            )
            answer = await call(machine.address, "DELETE", path)
            status = "no answer" if answer is None else answer.status
            record.write(f"{self.server_id} gets {status}")
            if answer is not None and answer.status == 200:
                await self.end()
                return True
        return False

    async def start_again(self, has_new_id=False):
        """Start as a new incarnation.

        :param has_new_id: whether it has another id than before.
        """
        self.born_ms = int(time.time() * 1e3)
        self.sequence = 0
        self.starts += 1
        if has_new_id:
            stem = self.server_id.partition("~")[0]
            self.server_id = f"{stem}~{self.starts}"
        await self.start()
        self.platform.record.write(f"{self.server_id} starts again")

    async def _beat(self):
        controls = [m.address for m in self.platform.controls]
        preferred = None
        is_acknowledged = False
        while True:
            self.sequence += 1
            document = {
                "service": SERVICE,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "capacity": 16,
                "state": "ready",
                "warmup_left_ms": 0,
                "sequence": self.sequence,
                "born": self.born_ms,
            }
            body = json.dumps(document).encode()
            path = f"/instances/{self.server_id}"
            order = controls[(self.sequence + 1) % 3 :] + controls
            if preferred is not None:
                order = [preferred, *order]
            for address in order[:4]:
                answer = await call(address, "PUT", path, body)
                if answer is not None and answer.status == 200:
                    if not is_acknowledged:
                        is_acknowledged = True
                        self.platform.record.write(
                            f"{self.server_id} is acknowledged as ready"
                        )
                    url = json.loads(answer.body).get("heartbeat_url", "")
                    parts = url.split("/")
                    preferred = parts[2] if len(parts) > 2 else address
                    break
                preferred = None
            await asyncio.sleep(BEAT_S)

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                await self._answer(writer, first, headers, body)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, writer, first, headers, body):
        method, target, _ = first.split(" ")
        request_id = headers.get("x-buckthorntack-request-id")
        expected = headers.get("x-buckthorntack-expect-instance")
        fields = [("X-Buckthorntack-Instance-Id", self.server_id)]
        content = b""
        if target == "/healthz":
            status = "200 OK"
        elif expected not in (None, self.server_id):
            status = "421 Misdirected Request"
        elif request_id is None:
            status = "400 Bad Request"
            fields.append(("X-Buckthorntack-Not-Executed", "1"))
        else:
            status = "200 OK"
            self.runs.append((self.platform.record.now_s(), request_id))
            self.platform.record.write(
                f"{self.server_id} in {self.zone} runs {request_id}"
            )
            if self.behave is not None:
                await self.behave(self, writer, headers, body)
                return
            content = f"{method} {target} ".encode() + body
            fields.append(("X-Buckthorntack-Request-Id", request_id))
            fields.append(
                ("X-Buckthorntack-Server-Stamp", f"stamp.{self.server_id}")
            )
        lines = [f"HTTP/1.1 {status}"]
        lines += [f"{name}: {value}" for name, value in fields]
        lines.append(f"Content-Length: {len(content)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + content)
        await writer.drain()


class Platform:
    """A small deployment: a control VM, an entry VM and workers a zone.

    :param record: the :class:`Record`.
    :param folder: temporary folder.
    :param workers_per_zone: how many workers each zone has.
    """

    def __init__(self, record, folder, workers_per_zone=2):
        self.record = record
        self.folder = pathlib.Path(folder)
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        roles = tomllib.loads(deploy)["roles"]
        self.commands = {n: roles[n]["run"].split() for n in roles}
        base = self._find_free_addresses()
        zones = list(ZONES)
        self.controls = [
            Machine(self, f"core-{zone}-1", "control", zone, f"{base}.{n}")
            for n, zone in enumerate(zones, 1)
        ]
        self.entries = [
            Machine(self, f"edge-{zone}-1", "entry", zone, f"{base}.{n}")
            for n, zone in enumerate(zones, 11)
        ]
        self.workers = [
            Worker(
                self,
                f"i-{zone}-{number}",
                zone,
                f"{base}.{21 + 10 * index + number}:{WORKER_PORT}",
            )
            for index, zone in enumerate(zones)
            for number in range(workers_per_zone)
        ]
        self.seeds = [m.address for m in self.controls]
        self._number = 0

    def _find_free_addresses(self):
        """Return the start of loopback addresses whose ports are free."""
        for step in range(200):
            number = (os.getpid() + 97 * step) % 50_000
            base = f"127.{60 + number // 250}.{1 + number % 250}"
            if all(
                _is_free(f"{base}.{host}", port)
                for host in (1, 2, 3, 11, 12, 13)
                for port in (CONTROL, FRONT, READY, REGISTRY, METRICS_PORT)
            ):
                return base
        raise OSError("no free loopback addresses")

    async def __aenter__(self):
        for machine in [*self.controls, *self.entries]:
            await machine.start()
        for worker in self.workers:
            await worker.start()
        return self

    async def __aexit__(self, *exc_info):
        for worker in self.workers:
            await worker.end()
        for machine in [*self.entries, *self.controls]:
            await machine.end()

    async def wait_until_served(self, timeout_s, headers=()):
        """Wait until each entry VM has served a request.

        :param timeout_s: longest wait.
        :param headers: further pairs of name and value of the requests.
        :returns: whether all have.
        """
        until_s = self.record.now_s() + timeout_s
        for entry in self.entries:
            while True:
                answer = await self.request(entry, headers=headers)
                if answer is not None and answer.status == 200:
                    break
                if self.record.now_s() > until_s:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def request(
        self, entry, body=b"", headers=(), prefix="/look/", path=""
    ):
        """Send a request of a client.

        :param entry: the :class:`Machine`.
        :param body: its body; it is a POST if there is one.
        :param headers: further pairs of name and value.
        :param prefix: prefix of its route.
        :param path: its path; empty for one of its own on the route.
        :returns: :class:`Answer` or None.
        """
        self._number += 1
        request_id = f"{self._number:016x}"
        fields = [
            ("Host", HOST),
            ("X-Buckthorntack-Request-Id", request_id),
            ("X-Buckthorntack-Deadline-Ms", "4000"),
            *headers,
        ]
        path = path or f"{prefix}{self._number}"
        self.record.write(
            f"request {request_id} with {len(body)} bytes is sent to"
            f" {entry.name}"
        )
        method = "POST" if body else "GET"
        answer = await call(entry.address, method, path, body, fields, 4.0)
        status = "no answer" if answer is None else answer.status
        self.record.write(f"request {request_id} gets {status}")
        return answer

    async def order(self, machine, method, path, body=b""):
        """Send an order of an operator to one control VM.

        :param machine: the :class:`Machine`.
        :param method: its method.
        :param path: its path.
        :param body: its body.
        :returns: its status; 0 for no answer in time.
        """
        self.record.write(f"operator sends {method} {path} to {machine.name}")
        answer = await call(machine.address, method, path, body)
        status = 0 if answer is None else answer.status
        self.record.write(f"operator gets {status or 'no answer'}")
        return status

    async def order_until_done(self, machines, method, path, body=b""):
        """Send an order until it is acknowledged, to one after the other.

        :param machines: list of :class:`Machine`, in order.
        :param method: its method.
        :param path: its path.
        :param body: its body.
        :returns: whether it was acknowledged within 10 s.
        """
        until_s = self.record.now_s() + 10.0
        number = 0
        while self.record.now_s() < until_s:
            machine = machines[number % len(machines)]
            number += 1
            status = await self.order(machine, method, path, body)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.1)
        return False


def _is_free(ip_address, port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip_address, port))
        except OSError:
            return False
    return True


def make_route(name, **fields):
    """Return a route.

    :param name: its name, and that of its prefix.
    :param fields: fields that differ from the usual ones.
    """
    return {
        "name": f"r-{name}",
        "host": HOST,
        "path_prefix": f"/{name}/",
        "type": "safe",
        "timeout_ms": 4000,
        "target_latency_ms": 500,
        "priority": 0,
        "service": SERVICE,
        "max_attempts": 2,
        "sticky": False,
        "resumable": False,
        "allowed_regions": [],
        **fields,
    }


def configuration(version, **fields):
    """Return a configuration with one route.

    :param version: its version.
    :param fields: further fields of it.
    """
    service = {
        "name": SERVICE,
        "health_path": "/healthz",
        "max_conns": 110,
        "protocol": "h1",
        "tls": False,
        "warmup_s": 0.0,
        "warmup_per_s": 0.0,
    }
    document = {
        "version": version,
        "routes": [make_route("look")],
        "services": [service],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        **fields,
    }
    return json.dumps(document).encode()


def has_trouble():
    """Whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(play, folder):
    """Run a play and end with its exit code.

    :param play: coroutine function of a :class:`Record` that returns it.
    :param folder: folder of the case, for its record.
    """
    record = Record(pathlib.Path(folder) / "record.txt")

    async def bounded():
        async with asyncio.timeout(110.0):
            return await play(record)

    try:
        code = asyncio.run(bounded())
    except (TimeoutError, OSError) as error:
        record.write(f"the case could not run: {error!r}")
        code = 2
    record.write(f"exit code {code}")
    sys.exit(code)
