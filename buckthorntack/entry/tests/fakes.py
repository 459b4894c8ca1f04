"""Components of an entry VM in virtual time, with scripted servers."""

import asyncio
import datetime
import functools
import json
import pathlib
import random
import selectors

import expression
import httpx

from buckthorntack import clock
from buckthorntack import errors
from buckthorntack import ledger
from buckthorntack import objects
from buckthorntack import retries
from buckthorntack import routing
from buckthorntack import security
from buckthorntack import settings as defaults
from buckthorntack.entry import _attempt
from buckthorntack.entry import _components
from buckthorntack.entry import _crash_monitor
from buckthorntack.entry import _forwarding
from buckthorntack.entry import _idempotency
from buckthorntack.entry import _prompt_quarantine
from buckthorntack.entry import _request
from buckthorntack.entry import _runner
from buckthorntack.routing.tests import _records

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
ORGANISATION = "kyushu-roundabouts"
IDLE_TIMEOUT = datetime.timedelta(seconds=2)
EVENTS = 5
BODY = b"the whole answer"
HOME = {"home_id": "h1", "region": "fukuoka"}


class DeadlockError(Exception):
    """The loop waits without a timer, so that no event can occur."""


class _Selector(selectors.SelectSelector):
    """Selector that advances the loop's time instead of waiting."""

    loop = None

    def select(self, timeout=None):
        if timeout is None:
            raise DeadlockError
        self.loop.elapsed_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, which passes only while it waits."""

    def __init__(self):
        selector = _Selector()
        selector.loop = self
        self.elapsed_s = 0.0
        super().__init__(selector)

    def time(self):
        return self.elapsed_s


class LoopClock(clock.SystemClock):
    """Clock that shows the time of a virtual loop."""

    def monotonic(self):
        now_s = asyncio.get_running_loop().time()
        return datetime.timedelta(seconds=now_s)

    def boottime(self):
        return self.monotonic()

    def wall(self):
        return clock.ManualClock.EPOCH + self.monotonic()


def run(coroutine):
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)


class _Body(httpx.AsyncByteStream):
    def __init__(self, chunks):
        self.chunks = chunks

    async def __aiter__(self):
        for part in self.chunks:
            if part == "lost":
                raise httpx.ReadError("lost")
            if part == "silent":
                await asyncio.sleep(10**9)
            yield part

    async def aclose(self):
        return


def build_stream(attempt_id, after=-1):
    """Return the events of an attempt after an event number."""
    chunks = [
        f"id: {attempt_id}/{number}\ndata: t{number}\n\n".encode()
        for number in range(EVENTS)
    ]
    chunks.append(f"id: {attempt_id}/{EVENTS}\ndata: [DONE]\n\n".encode())
    return chunks[after + 1 :]


class ScriptedBackend:
    """HTTP transport to backend servers that fail by a script.

    Each parameter lists fault names, or ``ok``, in the order of the calls.
    Calls after the end of a list succeed.

    :param run: results of requests to run an attempt.
    :param resume: results of requests to resume an attempt.
    :param ask: results of outcome queries.
    """

    def __init__(self, run=(), resume=(), ask=()):
        self.script = {
            "run": list(run),
            "resume": list(resume),
            "ask": list(ask),
        }
        self.runs = []
        self.sent = []
        self.streams = {}
        self.cancelled = []
        #: Hosts of the received requests, in order.
        self.hosts = []
        #: Paths and queries of the received requests, in order.
        self.targets = []

    async def handle_async_request(self, request):
        path = request.url.path
        if request.method == "DELETE":
            self.cancelled.append(path.rpartition("/")[2])
            return httpx.Response(200)
        if path.endswith("/outcome"):
            return await self._outcome(path.split("/")[-2])
        if path.startswith("/attempts/"):
            return await self._resume(request, path.rpartition("/")[2])
        return await self._run(request)

    async def aclose(self):
        return

    def _next_step(self, kind):
        script = self.script[kind]
        return script.pop(0) if script else "ok"

    async def _run(self, request):
        attempt_id = request.headers["x-attempt-id"]
        step = self._next_step("run")
        if step == "refused":
            raise httpx.ConnectError("refused")
        self.sent.append(attempt_id)
        self.hosts.append(request.url.host)
        self.targets.append(request.url.raw_path)
        if step in ("lost before run", "silent before run"):
            return await self._fail(step)
        if step == "not run":
            headers = self._head(attempt_id) | {"x-run-state": "not_run"}
            return httpx.Response(503, headers=headers, stream=_Body([]))
        self.runs.append(attempt_id)
        streamed = b'"stream": true' in request.content
        self.streams[attempt_id] = streamed
        if step == "error":
            return httpx.Response(
                500, headers=self._head(attempt_id), stream=_Body([b"x"])
            )
        return await self._respond(step, attempt_id, streamed, -1)

    async def _fail(self, step):
        if step.startswith("silent"):
            await asyncio.sleep(10**9)
        raise httpx.ReadError(step)

    def _head(self, attempt_id):
        return {"x-attempt-id": attempt_id}

    async def _respond(self, step, attempt_id, streamed, after):
        if step in ("lost", "silent"):
            return await self._fail(step)
        sent_attempt_id = "another" if step == "crossed" else attempt_id
        headers = self._head(sent_attempt_id)
        chunks = [BODY[:4], BODY[4:]]
        if streamed:
            headers["content-type"] = "text/event-stream"
            event_attempt_id = (
                "another" if step == "crossed events" else attempt_id
            )
            chunks = build_stream(event_attempt_id, after)
        if step in ("lost midway", "silent midway"):
            chunks = [chunks[0], step.split()[0]]
        if step == "ends early":
            chunks = chunks[:1] if streamed else [BODY[:4], "lost"]
        return httpx.Response(200, headers=headers, stream=_Body(chunks))

    async def _resume(self, request, attempt_id):
        step = self._next_step("resume")
        if step == "refused":
            raise httpx.ConnectError("refused")
        if step == "gone" or attempt_id not in self.runs:
            return httpx.Response(
                404, headers=self._head(attempt_id), stream=_Body([])
            )
        after = int(request.url.params["after"])
        streamed = self.streams[attempt_id]
        return await self._respond(step, attempt_id, streamed, after)

    async def _outcome(self, attempt_id):
        step = self._next_step("ask")
        if step in ("lost", "silent"):
            return await self._fail(step)
        ran = attempt_id in self.runs
        state = "unknown" if step == "unknown" else _state(ran)
        outcome = {"run_state": state, "running": False}
        sent_attempt_id = "another" if step == "crossed" else attempt_id
        content = b"nonsense" if step == "nonsense" else _json(outcome)
        return httpx.Response(
            200, headers=self._head(sent_attempt_id), stream=_Body([content])
        )


def _state(ran):
    return "ran" if ran else "not_run"


def _json(document):
    return json.dumps(document).encode()


class RecordingSink:
    """Sink that records a response and checks the order of the calls."""

    def __init__(self):
        self.started = False
        self.status = None
        self.headers = []
        self.attempt_id = ""
        self.body = b""
        self.finished = False

    async def start(self, status, headers, attempt_id):
        assert not self.started
        self.headers = list(headers)
        self.started = True
        self.status = status
        self.attempt_id = attempt_id

    async def write(self, data):
        assert self.started and not self.finished
        self.body += data

    async def finish(self):
        assert not self.finished
        self.finished = True


class FakeLedgerClient:
    """Client of a reachable ledger home that keeps one record a key."""

    def __init__(self):
        self.holder = {}
        self.outcomes = {}
        self.answers = {}
        #: Errors to return for the next claims, in order.
        self.refusals = []

    def find_home(self, key, organisation):
        return expression.Ok(HOME)

    async def claim(self, home, organisation, key, digest, attempt_id, store):
        if self.refusals:
            return expression.Error(self.refusals.pop(0))
        if key in self.answers:
            return expression.Ok(self.answers[key])
        if key in self.holder:
            error = ledger.AttemptInProgressError(self.holder[key])
            return expression.Error(error)
        if self.outcomes.get(key) is errors.RunState.UNKNOWN:
            return expression.Error(ledger.OutcomeUnknownError(key))
        self.holder[key] = attempt_id
        return expression.Ok(ledger.Granted(attempt_id))

    async def report_response(
        self, home, organisation, key, attempt_id, status, headers, body
    ):
        self._record_outcome(key, attempt_id, errors.RunState.RAN)
        self.answers[key] = ledger.Replay(attempt_id, status, [], body, True)

    async def report_not_run(self, home, organisation, key, attempt_id):
        self._record_outcome(key, attempt_id, errors.RunState.NOT_RUN)

    async def report_server_outcome(
        self, home, organisation, key, attempt_id, state, **response
    ):
        self._record_outcome(key, attempt_id, state)

    async def report_unknown(self, home, organisation, key, attempt_id):
        self._record_outcome(key, attempt_id, errors.RunState.UNKNOWN)

    def _record_outcome(self, key, attempt_id, state):
        assert self.holder.pop(key) == attempt_id
        self.outcomes[key] = state


class FakeMembers:
    """Membership of an entry VM without peers."""

    def __init__(self):
        self.entries = []
        self.items = []
        self.announced = []

    def listen(self, kind, function):
        return

    def publish(self, item):
        self.items.append(item)

    def entries_of(self, region):
        return [entry for entry in self.entries if entry.region == region]

    def entry_list(self, region, failure_domain):
        return self.entries_of(region)

    def set_in_flight(self, count):
        self.in_flight = count

    def announce(self, document, service):
        self.announced.append(document)
        return {"accepted": True, "renew_ms": 700, "echo": "", "entries": []}


class FakeAdmissionTask:
    """Admission that admits all requests at once."""

    def __init__(self):
        self.running = set()

    async def admit(self, request):
        self.running.add(request.request_id)

    def on_request_finished(self, request_id, tokens):
        self.running.remove(request_id)


@functools.cache
def published_example():
    """Return the configuration of the example ``hoardline``."""
    loaded = objects.load_folder(EXAMPLES / "hoardline").named_objects
    return objects.PublishedSet(1, loaded)


class FakeConfiguration:
    """Configuration follower with one active configuration."""

    def __init__(self):
        self.published = published_example()

    def current(self):
        return self.published

    async def wait_for(self, revision, within):
        return expression.Error(errors.GatewayError("revision not reached"))


class FakeMetrics:
    """Metrics that discard all counts."""

    def record_response(self, method):
        return

    def record_refusal(self, error):
        return


class FakeSender:
    """Sender that records messages and passes them to a receiver, if any."""

    def __init__(self):
        self.sent = []
        self.receive = None
        self.is_open = True

    def send(self, node_id, message):
        if not self.is_open:
            return False
        self.sent.append((node_id, message))
        if self.receive is not None:
            self.receive(node_id, message)
        return True


def make_components(backend, region="fukuoka", servers=("s1", "s2", "s3")):
    """Create the components of an entry VM with scripted servers."""
    settings = {
        "region": region,
        "failure_domain": f"{region}-a",
        "timing": defaults.default_timing(request_deadline_ms=60_000),
        "ledger_homes": [HOME],
    }
    loop_clock = LoopClock()
    rng = random.Random(1)
    components = _components.EntryComponents(
        settings, FakeSender(), loop_clock, rng
    )
    components.members = FakeMembers()
    components.configuration = FakeConfiguration()
    components.admission_task = FakeAdmissionTask()
    components.metrics = FakeMetrics()
    components.signer = security.AttemptSigner([b"k" * 32])
    components.attempt_client = _attempt.AttemptClient(
        loop_clock, IDLE_TIMEOUT
    )
    components.attempt_client._pooled = components.attempt_client._unpooled = (
        backend
    )
    components.idempotency = _idempotency.IdempotencyGuard(
        FakeLedgerClient(), components.attempt_client, components.find_target
    )
    components.forwarding = _forwarding.ForwardingTask(
        region, components.sender, loop_clock, IDLE_TIMEOUT
    )
    retry_settings = retries.RetrySettings()
    limiter = retries.AttemptLimiter("e1", retry_settings)
    components.retry_policy = retries.RetryPolicy(retry_settings, rng, limiter)
    components.crash_monitor = _crash_monitor.CrashMonitorTask(
        retries.Quarantine("e1", retries.QuarantineSettings()),
        _prompt_quarantine.PromptQuarantine(
            "e1", lambda: (), datetime.timedelta(seconds=1)
        ),
        limiter,
        components.members,
        loop_clock,
    )
    components.router = routing.Router(
        region, f"{region}-a", routing.RouterSettings(), rng
    )
    for name in servers:
        add_server(components, name)
    return components


def add_server(components, name):
    """Add a server of a service without a model and one of an engine."""
    for service, versions in (("vergedesk", []), ("pitchwriter", ["w"])):
        record = _records.server(
            f"{service}-{name}",
            region=components.region,
            service=service,
            model_versions=versions,
            url=f"http://{service}-{name}",
            lease_ms=10**8,
        )
        components.servers[record.server_id] = record
        components.router.update_server(record, datetime.timedelta())


def make_request(kind, **fields):
    """Create a request.

    :param kind: ``stream``, ``whole`` for a completion without streaming,
        or ``booking`` for a non-idempotent call.
    """
    booking = kind == "booking"
    streamed = kind == "stream"
    body = b'{"stream": true}' if streamed else b"{}"
    request = _request.GatewayRequest(
        request_id="r1",
        organisation=ORGANISATION,
        service="vergedesk" if booking else "pitchwriter",
        model_version="" if booking else "w",
        method="POST",
        path="/bookings" if booking else "/v1/completions",
        body=body,
        content_type="application/json",
        idempotent=not booking,
        streamed=streamed,
        idempotency_key="k1" if booking else "",
        prompt_tokens=10,
        prefix_hashes=(),
        fingerprint=f"f-{kind}",
        allowed_regions=frozenset(["fukuoka", "kumamoto", "kagoshima"]),
        revision=1,
        deadline=datetime.timedelta(seconds=60),
    )
    return request._replace(**fields)


async def run_request(components, request, sink=None):
    """Run a request.

    :returns: the sink and the error, which is ``None`` on success.
    """
    sink = sink or RecordingSink()
    runner = _runner.Runner(components)
    try:
        await runner.run(request, sink)
    except errors.GatewayError as error:
        return sink, error
    return sink, None
