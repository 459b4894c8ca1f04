"""Callers, servers and an operator of the soak."""

import asyncio
import contextlib
import json
import random

from buckthorntack import http1
from buckthorntack.platform.tests import _standins
from tools.soak import _promises

EVENTS = 6
STREAM_PATHS = ("/talk", "/draft")
#: Pause between two requests of a caller.
PAUSE_S = (0.01, 0.06)
ANNOUNCE_S = 1.0
#: Share of streams that a server sends at once, with any framing.
RAW_SHARE = 0.5
#: Share of failing streams that are reset; the others end inside an event.
RESET_SHARE = 0.5
FRAMINGS = (
    http1.BodyFraming.CHUNKED,
    http1.BodyFraming.LENGTH,
    http1.BodyFraming.CONNECTION_CLOSE,
)
PATIENCE_S = 4.0
#: Deadline of requests with long answers, and timeout of their routes.
LONG_PATIENCE_S = 8.0
#: Time of a long answer, share of them, and kinds of their requests.
LENGTH_S = (1.0, 6.0)
LONG_SHARE = 0.9
LONG_KINDS = ("talk", "talk", "draft", "draft", "safe", "unsafe")
#: Share and sizes of large bodies.
LARGE_SHARE = 0.5
LARGE_BYTES = (100_000, 300_000)
CHUNKED_SHARE = 0.5
#: Longest chunk that a caller sends, most pieces of a request, and the pause
#: between two of them.
CHUNK_BYTES = 40_000
MAX_PIECES = 4
PIECE_PAUSE_S = (0.0, 0.2)
#: Share of callers that read slowly, what they read at once, and the pause
#: after it.
SLOW_SHARE = 0.3
READ_BYTES = 16_384
READ_PAUSE_S = (0.02, 0.08)
#: First part of half of the prompts, and of all that crash servers.
FIRST_PART, OTHER_FIRST_PART = "first", "other"
CRASHING_PART = "crashing"
#: Pause between two requests that crash servers, and how long a server is
#: down after it crashed.
CRASH_PAUSE_S = (0.1, 0.5)
DOWN_S = (1.0, 3.0)
#: Share of restarts after which a server has another id.
NEW_ID_SHARE = 0.75
POLL_S = 0.1
#: Idle timeouts and numbers of further routes of configurations.
IDLE_TIMEOUTS_MS = (100, 1000, 15_000)
ADDED_ROUTES = (0, 0, 300)
#: Route that some configurations have.
ADDED_ROUTE = "added"
#: A host whose requests may run in one region only.
HOME_HOST, HOME_REGION = "home.example", "north"


class SoakServer(_standins.Server):
    """A server that books what it runs, and that faults can be set on."""

    def __init__(self, book, rng, *arguments):
        super().__init__(*arguments)
        self.book = book
        self.rng = rng
        self.failing = 0.0
        #: How long it is silent within each answer.
        self.silence_s = 0.0
        self.behave = self._work

    async def _work(self, server, request, reply):
        try:
            await self._serve(server, request, reply)
        finally:
            request_id = self._find_id(request)
            now_s = asyncio.get_running_loop().time()
            self.book.worked_until_s[request_id] = now_s

    def _find_id(self, request):
        return dict(self.headers(request))[_id_name()].decode()

    async def _serve(self, server, request, reply):
        request_id = self._find_id(request)
        now_s = asyncio.get_running_loop().time()
        path = request.target.decode()
        repeatable = not path.startswith("/unsafe")
        self.book.ran(self.server_id, request_id, repeatable, now_s)
        is_stream = path.startswith(STREAM_PATHS)
        if _standins.has_part(request, CRASHING_PART):
            seen = _promises.Sighting(self.book.asked[request_id], now_s)
            self.book.arrivals.append(seen)
            crash = _standins.crash_on(CRASHING_PART, _standins.hang)
            await crash(self, request, reply)
            self.book.crashes.append(seen)
            return
        length_s = self.book.lengths_s.get(request_id)
        if self.silence_s:
            await self._serve_after_silence(request, reply, is_stream)
        elif self.rng.random() < self.failing:
            self.book.broken_off.add(request_id)
            await self._break_off(request, reply, is_stream)
        elif is_stream and length_s is not None:
            pause_s = length_s / EVENTS
            await _standins.stream(EVENTS, pause_s=pause_s)(
                self, request, reply
            )
        elif is_stream and self.rng.random() < RAW_SHARE:
            whole = _standins.whole_stream(EVENTS)
            await self._stream_raw(whole, request, reply)
        elif is_stream:
            await _standins.stream(EVENTS, pause_s=0.02)(self, request, reply)
        else:
            short_s = self.rng.random() * 0.05
            await asyncio.sleep(length_s or short_s)
            await _standins.answer_whole(self, request, reply)

    async def _serve_after_silence(self, request, reply, is_stream):
        if is_stream:
            silence = (self.rng.randrange(EVENTS), self.silence_s)
            await _standins.stream(EVENTS, silence=silence)(
                self, request, reply
            )
            return
        await asyncio.sleep(self.silence_s)
        await _standins.answer_whole(self, request, reply)

    def headers(self, request):
        """Return the headers of its responses."""
        headers = super().headers(request)
        if getattr(self, "drains", False):
            headers.append((b"Server-Leaving", b"1"))
        return headers

    async def _break_off(self, request, reply, is_stream):
        if not is_stream or self.rng.random() < RESET_SHARE:
            await _standins.reset(self, request, reply)
            return
        last = http1.find_header(request.headers, b"last-event-id")
        first = int(last) + 1 if last else 0
        if first == EVENTS:
            await _standins.answer_with(500)(self, request, reply)
            return
        number = self.rng.randrange(first, EVENTS)
        start = len(_standins.whole_stream(number))
        end = len(_standins.whole_stream(number + 1))
        whole = _standins.whole_stream(EVENTS)
        cut = self.rng.randrange(start + 1, end)
        await self._stream_raw(whole[:cut], request, reply)

    async def _stream_raw(self, body, request, reply):
        framing = self.rng.choice(FRAMINGS)
        await _standins.raw_stream(body, framing)(self, request, reply)


def _id_name():
    return b"x-buckthorntack-request-id"


class Caller:
    """Sends requests one after the other, on a connection it keeps.

    :param book: the ``Book``.
    :param entries: nodes of entry VMs.
    :param seed: of its choices.
    :param has_prompts: whether its streams have prompts.
    :param is_direct: whether it passes proxies by, which accept connections
        to processes that have ended, and take bytes that lie at entry VMs.
    """

    patience_s = PATIENCE_S

    def __init__(
        self, book, entries, seed, has_prompts=False, is_direct=False
    ):
        self.has_prompts = has_prompts
        self.is_direct = is_direct
        self.book = book
        self.entries = entries
        self.rng = random.Random(seed)
        self.number = 0
        self.seed = seed
        self._connection = None
        self._entry = None
        #: When the request in progress was written; None before that.
        self._written_s = None

    async def run(self):
        """Send requests until cancelled."""
        try:
            while True:
                await self._one()
                await asyncio.sleep(self._pause_s())
        finally:
            self._drop()

    def _pause_s(self):
        return self.rng.uniform(*PAUSE_S)

    def _kind(self):
        return self.rng.choice(["safe", "unsafe", "talk"])

    def _body(self, kind, request_id):
        return b"" if kind == "safe" else request_id.encode()

    def _encode(self, lines, body):
        """Return the bytes of a request with these lines."""
        lines = [*lines, f"Content-Length: {len(body)}", "", ""]
        return "\r\n".join(lines).encode() + body

    async def _connect(self):
        node = self._entry
        address = node.direct_address if self.is_direct else node.address
        host, _, port = address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def _send(self, writer, payload):
        writer.write(payload)

    async def _read(self, reader, size):
        return await reader.readexactly(size)

    def _parts(self):
        """Parts of a prompt but its last one."""
        first = FIRST_PART if self.number % 2 else OTHER_FIRST_PART
        return (first, f"middle{self.number % 5}")

    async def _one(self):
        self.number += 1
        request_id = f"{self.seed}-{self.number}"
        kind = self._kind()
        method = "GET" if kind == "safe" else "POST"
        body = self._body(kind, request_id)
        target = f"/{kind}/{request_id}"
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {_standins.HOST}",
            f"X-Buckthorntack-Request-Id: {request_id}",
            f"X-Buckthorntack-Deadline-Ms: {self.patience_s * 1e3:.0f}",
        ]
        parts = self._parts() if kind == "talk" and self.has_prompts else ()
        if parts:
            prefix = "".join(f"{part}:400," for part in parts)
            tokens = 400 * len(parts) + 250
            lines += [
                f"X-Buckthorntack-Token-Count: {tokens},{EVENTS}",
                f"X-Buckthorntack-Prompt-Prefix: {prefix}{request_id}:250",
            ]
        sent_s = asyncio.get_running_loop().time()
        payload = self._encode(lines, body)
        status, whole, answer = 0, False, b""
        self._written_s = None
        try:
            async with asyncio.timeout(self.patience_s + _promises.GIVE_UP_S):
                status, whole, answer = await self._exchange(
                    request_id, payload
                )
        except (OSError, TimeoutError, EOFError):
            pass
        except ValueError as error:
            self.book.break_promise(f"{request_id} got no answer: {error}")
        if not whole and self._written_s is not None:
            self.book.unanswered.append(
                _promises.Unanswered(
                    request_id,
                    self._entry.name,
                    self._written_s,
                    asyncio.get_running_loop().time(),
                    sent_s + self.patience_s,
                    status,
                )
            )
        expected = f"{method} {target} ".encode() + body
        if target.startswith(STREAM_PATHS):
            expected = _standins.whole_stream(EVENTS)
        sound = answer == expected
        self.book.answered(request_id, kind != "unsafe", status, whole, sound)
        if parts and CRASHING_PART not in parts and self._entry is not None:
            request = _promises.SoundRequest(
                self._entry.name,
                sent_s,
                FIRST_PART in parts,
                status == 200 and whole,
            )
            self.book.sound_requests.append(request)
        if not whole:
            self._drop()

    async def _exchange(self, request_id, payload):
        if self._connection is None:
            self._entry = self.rng.choice(self.entries)
            self._connection = await self._connect()
        self.book.asked[request_id] = self._entry.name
        reader, writer = self._connection
        await self._send(writer, payload)
        self._written_s = asyncio.get_running_loop().time()
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split(b" ", 2)[1])
        fields = head.lower()
        if b"transfer-encoding: chunked" in fields:
            whole, body = await _read_chunks(reader)
        else:
            length = fields.partition(b"content-length: ")[2]
            size = int(length.partition(b"\r\n")[0])
            whole, body = True, await self._read(reader, size)
        if b"connection: close" in fields:
            self._drop()
        return status, whole, body

    def _drop(self):
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None


class CrashingCaller(Caller):
    """Sends requests whose prompts have the part that crashes servers."""

    def _pause_s(self):
        self._drop()
        return self.rng.uniform(*CRASH_PAUSE_S)

    def _kind(self):
        return "talk"

    def _parts(self):
        return (FIRST_PART, CRASHING_PART)


class RouteCaller(Caller):
    """Sends requests also on a route that configurations add and drop."""

    def _kind(self):
        self.kind = self.rng.choice(["safe", "unsafe", "talk", ADDED_ROUTE])
        return self.kind

    async def _exchange(self, request_id, payload):
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        status, whole, body = await super()._exchange(request_id, payload)
        if self.kind == ADDED_ROUTE and status in (200, 404):
            request = _promises.RoutedRequest(
                sent_s, loop.time(), status == 200
            )
            self.book.routed_requests.append(request)
        return status, whole, body


class LongCaller(Caller):
    """Sends requests with long answers in pieces, and may read slowly."""

    patience_s = LONG_PATIENCE_S

    def __init__(self, book, entries, seed):
        super().__init__(book, entries, seed, is_direct=True)
        self.is_slow = self.rng.random() < SLOW_SHARE

    def _kind(self):
        return self.rng.choice(LONG_KINDS)

    def _body(self, kind, request_id):
        body = super()._body(kind, request_id)
        if kind == "unsafe" and self.rng.random() < LARGE_SHARE:
            body = body.ljust(self.rng.randrange(*LARGE_BYTES), b".")
        return body

    def _encode(self, lines, body):
        if not body or self.rng.random() >= CHUNKED_SHARE:
            return super()._encode(lines, body)
        lines = [*lines, "Transfer-Encoding: chunked", "", ""]
        payload = "\r\n".join(lines).encode()
        for start in range(0, len(body), CHUNK_BYTES):
            chunk = body[start : start + CHUNK_BYTES]
            payload += b"%x\r\n%b\r\n" % (len(chunk), chunk)
        return payload + b"0\r\n\r\n"

    async def _exchange(self, request_id, payload):
        if self.rng.random() < LONG_SHARE:
            self.book.lengths_s[request_id] = self.rng.uniform(*LENGTH_S)
        return await super()._exchange(request_id, payload)

    async def _connect(self):
        if not self.is_slow:
            return await super()._connect()
        return await _standins.connect_with_small_buffers(
            self._entry.direct_address
        )

    async def _send(self, writer, payload):
        for _ in range(self.rng.randrange(MAX_PIECES)):
            size = self.rng.randrange(len(payload))
            writer.write(payload[:size])
            payload = payload[size:]
            await asyncio.sleep(self.rng.uniform(*PIECE_PAUSE_S))
        writer.write(payload)
        await writer.drain()

    async def _read(self, reader, size):
        body = b""
        while self.is_slow and size - len(body) > READ_BYTES:
            body += await super()._read(reader, READ_BYTES)
            await asyncio.sleep(self.rng.uniform(*READ_PAUSE_S))
        return body + await super()._read(reader, size - len(body))


async def _read_chunks(reader):
    body = b""
    try:
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return True, body
            body += data[:-2]
    except (OSError, EOFError):
        return False, body


async def announce(server, controls, rng):
    """Announce a server at some control VM, over and over.

    :param server: the ``SoakServer``.
    :param controls: nodes of control VMs.
    :param rng: source of randomness.
    """
    state = "ready"
    while True:
        server.woken.clear()
        if server.is_down or server.is_mute:
            await _wait(server.woken, POLL_S)
            continue
        node = rng.choice(controls)
        server_id = server.server_id
        state = "draining" if getattr(server, "drains", False) else state
        body = json.dumps(server.announcement(state=state)).encode()
        path = f"/instances/{server_id}"
        with contextlib.suppress(OSError, TimeoutError, EOFError):
            async with asyncio.timeout(1.0):
                answer = await _standins.call(node.address, "PUT", path, body)
            loop = asyncio.get_running_loop()
            if answer.status == 200 and state == "draining":
                at_s = server.book.drained_at
                at_s.setdefault(server_id, loop.time())
        await _wait(server.woken, ANNOUNCE_S)


async def _wait(event, seconds):
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()


async def restart(server, rng):
    """Start a server again some time after each of its crashes.

    :param server: the ``SoakServer``.
    :param rng: source of randomness.
    """
    while True:
        await asyncio.sleep(POLL_S)
        if server.is_down:
            await asyncio.sleep(rng.uniform(*DOWN_S))
            if rng.random() < NEW_ID_SHARE:
                name, _, _ = server.server_id.partition("-")
                server.server_id = f"{name}-{server.crashes}"
            await server.start_again()


async def resolve(book, entries, home_addresses, rng):
    """Ask directories for the host that has a home, from within the home.

    :param book: the ``Book``.
    :param entries: nodes of entry VMs.
    :param home_addresses: addresses of the home region's entry VMs.
    :param rng: source of randomness.
    """
    path = f"/resolve?name={HOME_HOST}&region={HOME_REGION}"
    while True:
        address = rng.choice(entries).directory_address
        with contextlib.suppress(OSError, TimeoutError, EOFError):
            async with asyncio.timeout(1.0):
                answer = await _standins.call(address, "GET", path)
            if answer.status == 200:
                named = json.loads(answer.body)["addresses"]
                book.named(named, home_addresses)
        await asyncio.sleep(POLL_S)


def _change_limits(document, rng):
    """Change the idle timeout and the size; let answers take their time."""
    for route in document["routes"]:
        route["timeout_ms"] = round(LONG_PATIENCE_S * 1e3)
    document["limits"]["idle_timeout_ms"] = rng.choice(IDLE_TIMEOUTS_MS)
    for number in range(rng.choice(ADDED_ROUTES)):
        route = _standins.route(
            f"added{number}", "desk", host=f"{number}.{_standins.HOST}"
        )
        document["routes"].append(route)


async def operate(book, controls, rng, has_home=False, changes_limits=False):
    """Publish configurations and read them back, over and over.

    :param book: the ``Book``.
    :param controls: nodes of control VMs.
    :param rng: source of randomness.
    :param has_home: whether a host has a home region.
    :param changes_limits: whether idle timeout and size differ.
    """
    version = acknowledged = 0
    while True:
        version += rng.randrange(1, 4)
        document = _standins.configuration(version)
        if has_home:
            route = _standins.route(
                "home",
                "desk",
                host=HOME_HOST,
                allowed_regions=[HOME_REGION],
            )
            document["routes"].append(route)
        if changes_limits:
            _change_limits(document, rng)
        book.sent[version] = document
        body = json.dumps(document).encode()
        for _ in range(40):
            node = rng.choice(controls)
            with contextlib.suppress(OSError, TimeoutError, EOFError):
                async with asyncio.timeout(1.0):
                    answer = await _standins.call(
                        node.address, "PUT", "/config", body
                    )
                if answer.status == 200:
                    acknowledged = version
                    break
            await asyncio.sleep(0.1)
        for _ in range(4):
            node = rng.choice(controls)
            known = acknowledged
            with contextlib.suppress(OSError, TimeoutError, EOFError):
                async with asyncio.timeout(1.5):
                    answer = await _standins.call(
                        node.address, "GET", "/config"
                    )
                book.read_back(answer.status, answer.body, known)
            await asyncio.sleep(0.2)
