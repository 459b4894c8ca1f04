"""Requests with fields that no sound client would send."""

import asyncio
import json
import random

import pytest

from buckthorntack import http1
from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

MANY_DIGITS = "9" * 5000
ODD_NUMBERS = [
    "",
    "-1",
    "0",
    "1e300",
    "1e999",
    "nan",
    "-inf",
    "1_0",
    "\xb2",
    "x",
    MANY_DIGITS,
    "-" + MANY_DIGITS,
    "18446744073709551616",
]
ODD_FIELDS = [
    (name, value)
    for name in (
        "X-Buckthorntack-Deadline-Ms",
        "X-Buckthorntack-Token-Count",
        "X-Buckthorntack-Prompt-Prefix",
        "Last-Event-Id",
        "Resumes",
        "Authorization",
        "X-Gateway-Sends",
        "X-Gateway-Origin-Service",
        "X-Gateway-Organisation",
        "Host",
        "X-Buckthorntack-Request-Id",
    )
    for value in ODD_NUMBERS
] + [
    ("X-Buckthorntack-Token-Count", "100000000,100000000"),
    ("X-Buckthorntack-Token-Count", "1," + MANY_DIGITS),
    ("X-Buckthorntack-Token-Count", ",,,"),
    ("X-Buckthorntack-Prompt-Prefix", ":,:,::"),
    ("X-Buckthorntack-Prompt-Prefix", "a:1," * 1500),
    ("X-Buckthorntack-Prompt-Prefix", "a:100000000," * 500),
    ("X-Buckthorntack-Prompt-Prefix", "\xff:5"),
    ("Host", "shop.example:" + "9" * 300),
    ("Host", "\xff.example"),
    ("Host", "[::1]:80"),
    ("Content-Length", "-1"),
    ("Content-Length", MANY_DIGITS),
    ("Content-Length", "1" * 400),
]
ODD_TARGETS = [
    "/%ff%00",
    "/safe/%ff%00%zz",
    "/safe/\xff\xfe",
    "*",
    "x",
    "?",
    "shop.example:80",
    "//",
    "/config/",
    "/instances",
    "http://[::1/safe/x",
    "/" * 9000,
    "/safe/x?" + "a" * 9000,
]


async def answer_stream(server, request, reply):
    """Behaviour: a short stream that starts at any id that can be read."""
    headers = server.headers(request)
    headers.append((b"Content-Type", b"text/event-stream"))
    reply.start(200, headers)
    last = http1.find_header(request.headers, b"last-event-id") or b""
    first = int(last) + 1 if last.isdigit() and len(last) < 30 else 0
    for number in range(first, first + 3):
        reply.write(b"id: %d\ndata: e\n\n" % number)
    reply.end()


async def send(address, head):
    """Send one request; return what came back up to the end."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(head.encode("latin-1"))
        return await reader.read()
    finally:
        writer.close()


def status(answer):
    return int(answer.split(b" ", 2)[1])


# Guards against a number that ends its request with an internal error.
@pytest.mark.parametrize("path", ["/safe/x", "/talk/x"])
@pytest.mark.parametrize("port", [_standins.FRONT_PORT, "forward"])
def test_odd_field_of_a_request_is_no_internal_error(path, port):
    async def scenario(world):
        world.servers["s2"].behave = answer_stream
        settings = world.nodes["e0"].settings
        number = settings.forward_port if port == "forward" else port
        address = f"{world.ip('e0')}:{number}"
        for name, value in ODD_FIELDS:
            fields = {
                "Host": _standins.HOST,
                "X-Buckthorntack-Request-Id": f"{random.getrandbits(64):x}",
                "X-Buckthorntack-Deadline-Ms": "3000",
                "X-Buckthorntack-Token-Count": "100,10",
                "Connection": "close",
            }
            fields[name] = value
            lines = [f"{name}: {value}" for name, value in fields.items()]
            head = "\r\n".join([f"GET {path} HTTP/1.1", *lines, "", ""])
            answer = await send(address, head)
            if name == "Content-Length" and not answer:
                continue
            assert status(answer) < 500 or status(answer) == 503, (
                name,
                value[:20],
                answer[:200],
            )
        assert (await world.ask("/safe/x")).status == 200

    test_requests.run(scenario, ("s1", "desk"), ("s2", "text"))


# Guards against a path or query that ends its request with an internal error.
def test_odd_target_is_no_internal_error():
    async def scenario(world):
        front = f"{world.ip('e0')}:{_standins.FRONT_PORT}"
        directory = f"{world.ip('e0')}:{_standins.DIRECTORY_PORT}"
        control = f"{world.ip('c0')}:{_standins.CONTROL_PORT}"
        lines = [
            f"Host: {_standins.HOST}",
            "X-Buckthorntack-Request-Id: 1a",
            "Connection: close",
            "",
            "",
        ]
        queries = [
            "name=%ff&region=%00&zone=" + "x" * 5000,
            "&" * 5000,
            "name",
            "name=shop.example&name=\xff&region=north&region=south",
            "name=%f0%9f&zone=a1",
        ]
        names = ["%ff", "%00", "\xff", "a1%0d%0aX:%20y", "x" * 5000, "", "/"]
        names += ["%ed%a0%80", "a1/b1"]
        asked = [
            (address, method, target)
            for address in (front, directory, control)
            for method in ("GET", "PUT", "DELETE", "OPTIONS")
            for target in ODD_TARGETS
        ]
        asked += [(directory, "GET", f"/resolve?{query}") for query in queries]
        for name in names:
            asked += [
                (control, method, f"/evacuations/{name}")
                for method in ("POST", "DELETE")
            ]
            asked += [(control, "DELETE", f"/instances/{name}")]
        for address, method, target in asked:
            head = "\r\n".join([f"{method} {target} HTTP/1.1", *lines])
            answer = await send(address, head)
            place = (method, target[:50], answer[:200])
            assert answer, place
            # Who names no region and no host is told of no entry VM.
            assert status(answer) < 500 or status(answer) == 503, place
            if "/evacuations/" in target:
                assert status(answer) == 400, place
        answer = await world.control("c0", "POST", "/evacuations/%61%31")
        assert answer.status == 200
        entry = world.nodes["e0"].shared_state
        await world.until(lambda: entry.dispatcher.evacuated == {"a1"})
        answer = await _standins.call(
            directory, "GET", "/resolve?region=north"
        )
        assert json.loads(answer.body)["addresses"]

    test_requests.run(scenario, ("s1", "desk"))
