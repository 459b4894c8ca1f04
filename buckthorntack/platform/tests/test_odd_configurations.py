"""Configurations that no operator would send, beside those of sound ones."""

import json

from expression import Error
import pytest

from buckthorntack import directives
from buckthorntack.platform import _configuration
from buckthorntack.platform import _dialect
from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

#: Deeper than any decoder follows, and just less deep than that.
NESTED = [b"[" * depth + b"]" * depth for depth in (200_000, 2000, 900)]
MAX_RETRY_AFTER_S = 1e9
#: The others name an organisation that has used up its quota, or no body.
SERVED_SHARE = 0.8


def encode(change):
    """Encode a configuration.

    :param change: function that changes the document.
    """
    document = _standins.configuration(9)
    change(document)
    return json.dumps(document).encode()


def set_in(part, name, value):
    """Encode a configuration with one field replaced.

    :param part: ``route``, ``service``, ``engine``, ``limits``,
        ``organisation`` or empty.
    """

    organisation = {"name": "acme", "api_keys": ["key"], "rate_per_s": 1e3}

    def change(document):
        if part == "organisation":
            document["tenants"] = [organisation]
        parts = {
            "": document,
            "route": document["routes"][0],
            "service": document["services"][0],
            "engine": document["services"][0]["engine"],
            "limits": document["limits"],
            "organisation": organisation,
        }
        parts[part][name] = value

    return encode(change)


def split(*weights):
    names = ("desk", "text", "desk")
    return [
        {"service": name, "weight": weight}
        for name, weight in zip(names, weights, strict=False)
    ]


REFUSED = [
    *(
        encode(lambda document: None)[:-1] + b', "unknown": ' + nested + b"}"
        for nested in NESTED
    ),
    set_in("", "version", 1 << 63),
    set_in("", "version", 10**30),
    set_in("", "version", -1),
    set_in("route", "timeout_ms", 1e-300),
    set_in("route", "backends", split(1e308, 1e308)),
    set_in("route", "backends", split(-1, 2)),
    encode(
        lambda document: document["routes"].append(
            _standins.route(
                "r", "text", path_prefix="/safe/", host=_standins.HOST.upper()
            )
        )
    ),
    set_in("limits", "max_header_bytes", 0),
    set_in("limits", "max_header_bytes", -1),
    set_in("limits", "max_body_bytes", -1),
    set_in("limits", "header_timeout_ms", 0),
    set_in("limits", "idle_timeout_ms", -1),
    set_in("organisation", "name", ""),
    set_in("organisation", "name", "a\r\nX-Own: b"),
    set_in("organisation", "name", "a\0"),
    set_in("organisation", "name", "x" * 100_000),
    set_in("organisation", "name", "\ud800"),
    set_in("organisation", "rate_per_s", -1),
    set_in("route", "name", ["x"] * 100_000),
    encode(lambda d: d.update(services=[], routes=d["routes"] * 1000)),
]
TAKEN = [
    *(
        set_in("route", name, value)
        for name in ("timeout_ms", "target_latency_ms", "itl_target_ms")
        for value in (1e300, 8.64e16, 10**18)
    ),
    *(
        set_in("route", name, value)
        for name in ("target_latency_ms", "itl_target_ms")
        for value in (0, -1, -1e300, 1e-300)
    ),
    *(set_in("route", "priority", value) for value in (10**18, -5, -(10**18))),
    set_in("route", "max_attempts", 10**18),
    set_in("route", "backends", split(1e-300, 1e300)),
    *(
        set_in("limits", name, 10**18)
        for name in ("max_header_bytes", "max_body_bytes")
    ),
    *(
        set_in("limits", name, value)
        for name in ("header_timeout_ms", "idle_timeout_ms")
        for value in (1e300, 8.64e16)
    ),
    set_in("limits", "max_body_bytes", 0),
    *(
        set_in("engine", name, value)
        for name in ("capacity", "kv_capacity_tokens")
        for value in (0, -1, 10**18)
    ),
    *(
        set_in("engine", name, value)
        for name in ("kv_bytes", "link_mbps")
        for value in (0, -1, 1e300, 1e-300)
    ),
    *(
        set_in("service", "warmup_per_s", value)
        for value in (-1, 1e300, 1e-300)
    ),
    set_in("service", "max_conns", -(10**18)),
    set_in("organisation", "name", "Überland & Söhne"),
    set_in("organisation", "api_keys", ["", "\r\n", "key", "\u20ac"]),
    *(
        set_in("organisation", name, value)
        for name in ("rate_per_s", "burst", "uncached_tokens")
        for value in (0, 1e300, 1e-300)
    ),
    set_in("organisation", "priority", -(10**18)),
]


# Guards against a document that is answered with a server error, so that its
# operator sends it for ever, or that is taken and cannot be applied.
@pytest.mark.parametrize("number", range(len(REFUSED)))
def test_odd_configuration_is_refused(number):
    parsed = _configuration.parse_configuration(REFUSED[number])
    assert parsed.is_error()
    assert parsed.error.status == 400
    assert len(parsed.error.detail) <= 1000


# Guards against a document that only some of the nodes can read.
@pytest.mark.parametrize("frames", [0, 200, 400])
def test_reading_does_not_depend_on_the_caller(frames):
    def parse(depth, content):
        if depth:
            return parse(depth - 1, content)
        return _configuration.parse_configuration(content).is_ok()

    plain = encode(lambda document: None)[:-1] + b', "unknown": '
    results = [
        parse(frames, plain + b'{"a":[' * depth + b"]}" * depth + b"}")
        for depth in (10, 20, 40, 100, 300, 450, 600)
    ]
    assert results == [True, True, False, False, False, False, False]


@pytest.mark.parametrize("text", ["[" * 5000, '\\"[' * 5000, "\\", '"{"'])
def test_brackets_in_texts_are_no_nesting(text):
    content = encode(lambda document: document.update(note=[text, text]))
    assert _configuration.parse_configuration(content).is_ok()


# Guards against followers that cannot be told of a configuration, and against
# an odd one that costs what others ordered.
def test_orders_are_followed_beside_odd_configurations():
    async def scenario(world):
        await world.add_server("s1", "desk")
        address = f"{world.ip('c0')}:{_standins.CONTROL_PORT}"
        for number, content in enumerate(REFUSED):
            answer = await _standins.call(address, "PUT", "/config", content)
            assert answer.status == 400, number
            assert len(answer.body) < 2000
        assert (await world.ask("/safe/x")).status == 200
        await world.publish(_standins.configuration(10))
        await world.in_force(10)
        assert (await world.ask("/safe/x")).status == 200

    test_requests.run(scenario)


# Guards against an odd number of a document that ends requests.
def test_requests_are_answered_under_odd_configurations():
    async def scenario(world):
        await world.add_server("s1", "desk")
        await world.add_server("s2", "text")
        await world.add_server("s3", "text", warmup_left_ms=60_000)
        for name in ("s2", "s3"):
            world.servers[name].behave = _standins.stream(3)
        number_served = 0
        for number, content in enumerate(TAKEN):
            document = json.loads(content)
            document["version"] = 10 + number
            first = document["routes"][0]
            document["routes"] += [
                {**first, "name": "t", "path_prefix": "/t/", "service": "text"}
            ]
            answer = await world.publish(document)
            assert answer.status == 200, (content, answer.body)
            await world.in_force(10 + number)
            for path in ("/safe/x", "/talk/x", "/t/x"):
                answer = await world.ask(
                    path,
                    Authorization="Token key",
                    X_Buckthorntack_Token_Count="1000,20",
                    X_Buckthorntack_Prompt_Prefix="ab:600,cd:400",
                )
                assert answer.status in (200, 429, 503), content
                if answer.status != 200:
                    retry_after_s = float(answer.headers[b"retry-after"])
                    assert retry_after_s < MAX_RETRY_AFTER_S, content
                elif path == "/safe/x":
                    number_served += 1
        assert number_served >= len(TAKEN) * SERVED_SHARE

    test_requests.run(scenario, entries=("a1",))


# Guards against an odd priority that ends the requests of its route, once
# their server names a limit.
@pytest.mark.parametrize("priority", [-5, -(10**18), 10**18])
def test_odd_priority_is_served_by_a_limited_server(priority):
    async def scenario(world):
        server = await world.add_server("s1", "desk")
        limit = (b"Server-Limit", b"0.01")
        server.behave = _standins.answer_with(200, limit)
        content = set_in("route", "priority", priority)
        await world.publish(json.loads(content))
        await world.in_force(9)
        statuses = [(await world.ask("/safe/x")).status for _ in range(5)]
        # The last ones come when the server has had all that it takes.
        assert set(statuses) == {200, 503}, statuses

    test_requests.run(scenario, entries=("a1",))


class EarlierDialect(_dialect.PlatformDialect):
    """Formats of a build that reads no configuration of version 5."""

    def __init__(self):
        self.refusals = 0

    def parse_configuration(self, content):
        if json.loads(content)["version"] != 5:
            return super().parse_configuration(content)
        self.refusals += 1
        return Error(directives.InvalidConfigurationError("a new field"))


# Guards against orders that an entry VM no longer follows, once there is a
# configuration that its build cannot read.
def test_evacuation_is_followed_beside_an_unreadable_configuration():
    async def scenario(world):
        entry = world.nodes["e0"].shared_state
        entry.dialect = EarlierDialect()
        await world.publish(_standins.configuration(5))
        await world.until(lambda: entry.dialect.refusals)
        answer = await world.control("c0", "POST", "/evacuations/b1")
        assert answer.status == 200
        await world.until(lambda: entry.dispatcher.evacuated == {"b1"})
        answer = await world.control("c0", "DELETE", "/evacuations/b1")
        assert answer.status == 200
        await world.until(lambda: not entry.dispatcher.evacuated)
        assert entry.version == 1
        # A copy of an earlier state is late.
        entry.apply_evacuations(entry._evacuations_index - 1, ["b1"])
        assert not entry.dispatcher.evacuated
        # The configuration is taken once it can be read.
        entry.dialect = _dialect.PlatformDialect()
        await world.until(lambda: entry.version == 5)
        await world.publish(_standins.configuration(6))
        await world.until(lambda: entry.version == 6)

    test_requests.run(scenario, entries=("a1",))
