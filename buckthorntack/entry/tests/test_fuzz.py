"""Tests with generated input of callers and backend servers."""

import asyncio
import copy
import json
import urllib.parse

import hypothesis
from hypothesis import strategies
import pytest

from buckthorntack import security
from buckthorntack.entry import _backends
from buckthorntack.entry import _callers
from buckthorntack.entry import _errors
from buckthorntack.entry import _runner
from buckthorntack.entry.tests import fakes
from buckthorntack.membership.tests import fakes as membership_fakes

TOKEN = "demo-kyushu-roundabouts"
LIMITS = {"header_bytes": 16384, "body_bytes": 4096, "connections": 10}
SETTINGS = hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)
PATHS = (
    "/v1/models",
    "/v1/entries",
    "/v1/attempts/x",
    "/v1/chat/completions",
    "/v1/completions",
    "/services/vergedesk/bookings",
    "/services/vergedesk/availability/roundabout-7",
    "/backend/v1/announce",
)
HEADER_NAMES = (
    "authorization",
    "content-length",
    "content-type",
    "idempotency-key",
    "last-event-id",
    "x-request-id",
)
BODIES = (
    b'{"model": "pitchwriter", "prompt": "once"}',
    b'{"model": "pitchwriter", "messages": [], "stream": true}',
    b"[" * 4000,
    b'{"model": "pitchwriter", "prompt": ' + b"[" * 3000,
    b'{"model": "\\ud800", "prompt": 1}',
    b"{}",
)

texts = strategies.text(max_size=40) | strategies.text(
    strategies.characters(max_codepoint=255), max_size=40
)
arbitrary_bytes = strategies.binary(max_size=60) | texts.map(
    lambda text: text.encode("utf-8", "replace")
)
headers = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(HEADER_NAMES).map(str.encode)
        | arbitrary_bytes,
        arbitrary_bytes | strategies.sampled_from([b"9" * 5000, b"12", b"-1"]),
    ),
    max_size=5,
)
paths = strategies.one_of(
    strategies.sampled_from(PATHS).map(str.encode),
    arbitrary_bytes.map(lambda rest: b"/services/vergedesk/bookings" + rest),
    arbitrary_bytes.map(
        lambda rest: b"/services/vergedesk/availability/" + rest
    ),
    arbitrary_bytes.map(lambda rest: b"/" + rest),
)
bodies = strategies.sampled_from(BODIES) | arbitrary_bytes


def make_scope(method, raw_path, query=b"", pairs=()):
    return {
        "type": "http",
        "method": method,
        "path": raw_path.decode(errors="replace"),
        "raw_path": raw_path,
        "query_string": query,
        "headers": list(pairs),
    }


def check_response(sent, request):
    """Check for one complete response without an internal error."""
    assert sent[0]["type"] == "http.response.start"
    assert [m["type"] for m in sent[1:]] == ["http.response.body"] * (
        len(sent) - 1
    )
    assert not sent[-1].get("more_body", False)
    body = b"".join(message["body"] for message in sent[1:])
    assert b"Traceback" not in body
    head = dict(sent[0]["headers"])
    for name, value in sent[0]["headers"]:
        assert b"\n" not in name + value and b"\r" not in name + value
    number = str(_errors.InternalError.number).encode()
    assert head.get(b"x-event") != number, request
    return sent[0]["status"], head, body


class _Caller:
    """Caller that stays connected until it has the response."""

    def __init__(self, body, broken_off):
        self.messages = [
            {"type": "http.request", "body": body, "more_body": broken_off}
        ]
        self.broken_off = broken_off

    async def receive(self):
        if self.messages:
            return self.messages.pop()
        if not self.broken_off:
            await asyncio.sleep(10**6)
        return {"type": "http.disconnect"}


def send_request(app, scope, body, broken_off=False):
    """Send a request to an application and return its checked response."""

    async def scenario():
        sent = []

        async def send(message):
            sent.append(message)

        caller = _Caller(body, broken_off)
        await app.handle(scope, caller.receive, send)
        return sent

    return check_response(fakes.run(scenario()), (scope, body))


def make_callers_app(backend):
    components = fakes.make_components(backend)
    runner = _runner.Runner(components)
    return components, _callers.CallersApp(components, runner, LIMITS)


@SETTINGS
@hypothesis.given(
    strategies.sampled_from(["GET", "POST", "DELETE", "PUT"]) | texts,
    paths,
    arbitrary_bytes,
    headers,
    bodies,
    strategies.booleans(),
    strategies.booleans(),
)
def test_callers(method, path, query, pairs, body, has_token, broken_off):
    backend = fakes.ScriptedBackend()
    components, app = make_callers_app(backend)
    if has_token:
        pairs = [(b"authorization", f"Bearer {TOKEN}".encode()), *pairs]
    scope = make_scope(method, path, query, pairs)
    status, _, _ = send_request(app, scope, body, broken_off)
    assert 200 <= status < 600
    assert app.in_progress == 0
    assert not components.admission_task.running
    assert not components.idempotency.client.holder
    if not has_token:
        assert status >= 400
        assert backend.sent == []


def make_booking_scope(
    path=b"/services/vergedesk/bookings", query=b"", **more
):
    pairs = [
        (b"authorization", f"Bearer {TOKEN}".encode()),
        (b"idempotency-key", b"k1"),
    ]
    pairs += [(name.encode(), value) for name, value in more.items()]
    return make_scope("POST", path, query, pairs)


@pytest.mark.parametrize(
    "more",
    [
        {"content-type": "café".encode("latin-1")},
        {"x-request-id": "café".encode("latin-1")},
        {"content-type": b"a\x7fb"},
        {"content-length": b"9" * 5000},
    ],
    ids=["type", "request id", "control character", "long length"],
)
def test_odd_header_of_a_booking(more):
    backend = fakes.ScriptedBackend()
    components, app = make_callers_app(backend)
    status, head, _ = send_request(app, make_booking_scope(**more), b"{}")
    assert not components.idempotency.client.holder
    if status != 200:
        assert head[b"x-run-state"] == b"not_run"
        assert backend.sent == []


@pytest.mark.parametrize("rest", [b"%23x", b"%3Fx=1", b"%253F", b"%C3%A9"])
def test_path_reaches_the_server_as_the_caller_wrote_it(rest):
    path = b"/services/vergedesk/availability/a" + rest
    pairs = [(b"authorization", f"Bearer {TOKEN}".encode())]
    backend = fakes.ScriptedBackend()
    _, app = make_callers_app(backend)
    scope = make_scope("GET", path, b"", pairs)
    decoded = urllib.parse.unquote_to_bytes(path)
    scope["path"] = decoded.decode()
    status, _, _ = send_request(app, scope, b"")
    assert status == 200
    assert backend.targets == [b"/availability/a" + rest]


@pytest.mark.parametrize("body", BODIES[2:])
def test_odd_body_of_a_completion(body):
    backend = fakes.ScriptedBackend()
    _, app = make_callers_app(backend)
    pairs = [(b"authorization", f"Bearer {TOKEN}".encode())]
    scope = make_scope("POST", b"/v1/completions", b"", pairs)
    status, head, _ = send_request(app, scope, body)
    assert 400 <= status < 500
    assert head[b"x-run-state"] == b"not_run"
    assert backend.sent == []


@SETTINGS
@hypothesis.given(arbitrary_bytes, arbitrary_bytes)
def test_path_and_query_of_a_booking(rest, query):
    backend = fakes.ScriptedBackend()
    components, app = make_callers_app(backend)
    path = b"/services/vergedesk/bookings" + rest
    send_request(app, make_booking_scope(path, query), b"{}")
    assert not components.idempotency.client.holder
    assert len(backend.sent) <= 1


@pytest.mark.parametrize(
    "url", ["http://", "http://h:99999999", "http://a b", "http://h/?x=1"]
)
def test_announcement_of_an_odd_address_is_refused(url):
    components = fakes.make_components(fakes.ScriptedBackend())
    app = _backends.BackendsApp(components)
    body = json.dumps(make_announcement(url=url)).encode()
    scope = make_scope("POST", b"/backend/v1/announce")
    assert send_request(app, scope, body)[0] in (400, 409)
    assert components.members.announced == []


def make_announcement(**changes):
    document = membership_fakes.announcement()
    document["pool"] = "vergedesk-fukuoka-a"
    return document | changes


json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=6,
)


@strategies.composite
def announcements(draw):
    document = copy.deepcopy(make_announcement())
    for _ in range(draw(strategies.integers(0, 2))):
        name = draw(strategies.sampled_from(sorted(document)) | texts)
        if draw(strategies.booleans()):
            document.pop(name, None)
        else:
            document[name] = draw(json_values)
    return json.dumps(document).encode()


announce_bodies = (
    announcements()
    | bodies
    | json_values.map(lambda value: json.dumps(value).encode())
)


@SETTINGS
@hypothesis.given(
    strategies.sampled_from([b"/backend/v1/announce", b"/x"]),
    headers,
    announce_bodies,
    strategies.booleans(),
)
def test_announcements(path, pairs, body, broken_off):
    components = fakes.make_components(fakes.ScriptedBackend())
    app = _backends.BackendsApp(components)
    scope = make_scope("POST", path, b"", pairs)
    status, _, _ = send_request(app, scope, body, broken_off)
    assert (status == 200) == bool(components.members.announced)
    for document in components.members.announced:
        assert document["failure_domain"] == "fukuoka-a"


def test_sound_announcement_is_taken():
    components = fakes.make_components(fakes.ScriptedBackend())
    app = _backends.BackendsApp(components)
    body = json.dumps(make_announcement()).encode()
    scope = make_scope("POST", b"/backend/v1/announce")
    assert send_request(app, scope, body)[0] == 200
    assert components.members.announced


def test_the_token_is_that_of_the_example():
    published = fakes.published_example()
    digest = security.hash_token_bytes(TOKEN)
    credential = published.credential(digest)
    assert credential["organisation"] == fakes.ORGANISATION
