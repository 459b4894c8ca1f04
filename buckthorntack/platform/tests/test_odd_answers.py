"""Answers of servers with fields that no sound server would send."""

import pytest

from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

#: Beyond the digits that are converted to a number.
MANY_DIGITS = b"9" * 5000
ODD_NUMBERS = [
    b"",
    b"-1",
    b"0",
    b"1e-300",
    b"1e300",
    b"1e999",
    b"nan",
    b"-inf",
    b"1_0",
    b"\xb2",
    MANY_DIGITS,
    b"0." + MANY_DIGITS,
]
ODD_FIELDS = [
    (name, value)
    for name in (
        b"Retry-After",
        b"Server-Limit",
        b"Server-Brittle",
        b"Keep-Alive",
        b"Server-Leaving",
    )
    for value in ODD_NUMBERS
    # Such a server has said that it takes next to nothing.
    if (name, value) != (b"Server-Limit", b"1e-300")
] + [
    (b"Keep-Alive", b"timeout=" + value)
    for value in (b"0", b"-1", MANY_DIGITS, b"9" * 400)
]
MAX_RETRY_AFTER_S = 3600
SAFE, UNSAFE = "/safe/x", "/unsafe/x"


def describe(value):
    return ascii(value[:20])


# Guards against a request that runs at two servers, as the first one's
# answer was read as that of an entry VM.
@pytest.mark.parametrize("status", [200, 503])
@pytest.mark.parametrize("state", [b"not_run", b"unknown", b"x"])
def test_server_cannot_answer_as_an_entry_vm(status, state):
    async def scenario(world):
        for server in world.servers.values():
            server.behave = _standins.answer_with(
                status,
                (b"X-Gateway-Run-State", state),
                (b"X-Gateway-Sends", b"0"),
                (b"Retry-After", b"nan"),
                (b"X-Gateway-Origin-Service", b"text"),
                body=b"answer",
            )
        answer = await world.ask(UNSAFE, method="POST")
        assert (answer.status, answer.body) == (status, b"answer")
        assert not [
            name for name in answer.headers if name.startswith(b"x-gateway-")
        ]
        servers = world.servers.values()
        assert sum(len(server.requests) for server in servers) == 1

    test_requests.run(scenario, ("s1", "desk"), ("s2", "desk"))


# Guards against a number in an answer that ends its request or others.
@pytest.mark.parametrize("status", [200, 503])
def test_odd_field_of_an_answer_costs_no_request(status):
    async def scenario(world):
        odd = world.servers["s1"]
        for field in ODD_FIELDS:
            fields = [field]
            if status != 200:
                fields.append((b"X-Buckthorntack-Not-Executed", b"1"))
            odd.behave = _standins.answer_with(status, *fields)
            odd.requests.clear()
            for node in ("e0", "e1"):
                # As if a pause that it had asked for had passed.
                state = world.nodes[node].shared_state.fleet.state("s1")
                state.paused_until_s = 0.0
            for _ in range(2):
                answer = await world.ask(SAFE)
                assert answer.status in (200, 503), field
                if answer.status == 503:
                    retry_after_s = float(answer.headers[b"retry-after"])
                    assert 0 <= retry_after_s < MAX_RETRY_AFTER_S
        await world.add_server("s2", "desk")
        remote = world.nodes["e2"].shared_state.fleet
        await world.until(
            lambda: remote.remote_usage("north", "s2", 0.0) is not None
        )
        for entry in ("e0", "e1", "e2"):
            assert (await world.ask(SAFE, entry=entry)).status == 200

    test_requests.run(scenario, ("s1", "desk"))


def answer_raw(status_line, *lines, body=b""):
    """Behaviour: bytes that need not be a response."""

    async def behave(server, request, reply):
        fields = [
            name + b": " + value for name, value in server.headers(request)
        ]
        head = b"\r\n".join([status_line, *fields, *lines])
        transport = reply.connection.transport
        transport.write(head + b"\r\n\r\n" + body)
        transport.close()

    return behave


# Guards against the head of an answer that ends its request with an internal
# error, or is taken for a whole answer.
@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_odd_head_of_an_answer_is_no_internal_error(method):
    ok = b"HTTP/1.1 200 OK"
    lines = [
        b"Content-Length: " + value for value in ODD_NUMBERS if value != b"0"
    ]
    lines += [
        b"Content-Length: 4\r\nContent-Length: 5",
        b"Content-Length: 4\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: x" + MANY_DIGITS,
        b"Connection: " + b"a," * 5000,
        b"X: \0\xff",
        b": x",
        b"no colon",
    ]
    heads = [(ok, line) for line in lines]
    heads += [
        (status_line, b"Content-Length: 4")
        for status_line in (
            b"HTTP/1.1 99999 OK",
            b"HTTP/1.1 " + MANY_DIGITS + b" OK",
            b"HTTP/1.1 0 OK",
            b"HTTP/1.1 -1 OK",
            b"HTTP/1.1 101 Switching",
            b"HTTP/1.1 204 " + b"x" * 5000,
            b"HTTP/1.1 304 \xff",
            b"HTTP/9.9 200 OK",
        )
    ]

    async def scenario(world):
        server = world.servers["s1"]
        for head in heads:
            server.behave = answer_raw(*head, body=b"body")
            # As if the pause after failures had passed.
            world.nodes["e0"].shared_state.fleet.state(
                "s1"
            ).ejection.until_s = None
            answer = await world.ask(UNSAFE, method=method)
            assert answer.status != 500, head
            if answer.status == 200 and method == "GET":
                assert answer.body == b"body", head
        server.behave = _standins.answer_whole
        await world.add_server("s2", "desk")
        assert (await world.ask(SAFE)).status == 200

    test_requests.run(scenario, ("s1", "desk"))
