"""Keys and homes of organisations over a whole deployment."""

import asyncio
import json

import pytest

from buckthorntack import http1
from buckthorntack.platform.tests import _standins

SAFE, TALK, OPEN = "/safe/x", "/talk/x", "/open/x"
#: Larger than a body whose organisation is looked up before it is read.
LARGE_BODY_BYTES = 100_000
TENANT = b"x-buckthorntack-tenant"


def document(version=1, **keys):
    """A configuration with organisations, by name and key."""
    routes = [
        _standins.route("safe", "desk"),
        _standins.route("open", "desk", anonymous=True),
        _standins.route(
            "talk", "text", type="streaming", resumable=True, itl_target_ms=400
        ),
    ]
    configuration = _standins.configuration(version, routes)
    configuration["tenants"] = [
        {"name": name, "api_keys": [key] if key else []}
        for name, key in keys.items()
    ]
    return configuration


def run(scenario, *servers, configuration=None, **options):
    """Run a scenario after a first configuration with organisations."""

    async def begun(world):
        first = configuration or document(huka="k1", mire="k2")
        answer = await world.publish(first)
        assert answer.status == 200, answer.body
        await world.in_force(1)
        for server in servers:
            await world.add_server(*server)
        await scenario(world)

    _standins.run(begun, **options)


def seen_by(server):
    """Fields of the only request of a server, by lower-case name."""
    [request] = server.requests
    return {name.lower(): value for name, value in request.headers}


async def ask(world, path, key=None, **headers):
    if key is not None:
        headers["Authorization"] = f"Token {key}"
    return await world.ask(path, **headers)


def test_server_is_told_the_organisation_and_not_the_key():
    async def scenario(world):
        answer = await ask(world, SAFE, "k2", X_Buckthorntack_Tenant="huka")
        assert answer.status == 200
        fields = seen_by(world.servers["s1"])
        assert fields[TENANT] == b"mire"
        assert b"authorization" not in fields

    run(scenario, ("s1", "desk"))


def test_unknown_key_is_refused_without_reaching_a_server():
    async def scenario(world):
        for key in ("k3", "K1", None):
            answer = await ask(world, SAFE, key)
            assert answer.status == 401
        assert world.servers["s1"].requests == []

    run(scenario, ("s1", "desk"))


def test_anonymous_route_needs_no_key():
    async def scenario(world):
        answer = await ask(world, OPEN, X_Buckthorntack_Tenant="huka")
        assert answer.status == 200
        assert TENANT not in seen_by(world.servers["s1"])

    run(scenario, ("s1", "desk"))


async def wait_for_other_region(world):
    """Wait until the entry VM of the north may hand requests over."""
    fleet = world.nodes["e0"].shared_state.fleet
    await world.until(lambda: fleet.remote_usage("south", "s1", 0) is not None)


# A request that is handed over was authorised by the first entry VM only.
def test_organisation_is_told_over_a_hop_between_regions():
    async def scenario(world):
        await wait_for_other_region(world)
        answer = await ask(world, SAFE, "k1")
        assert answer.status == 200
        fields = seen_by(world.servers["s1"])
        assert fields[TENANT] == b"huka"
        assert b"authorization" not in fields

    run(scenario, ("s1", "desk", "b1"))


# Guards against large bodies that the other region refuses, as it looks their
# organisation up before it has read them and knows their route.
@pytest.mark.parametrize(
    ("path", "key"), [(SAFE, "k1"), (OPEN, None)], ids=["key", "anonymous"]
)
def test_large_request_is_served_over_a_hop_between_regions(path, key):
    async def scenario(world):
        await wait_for_other_region(world)
        body = b"x" * LARGE_BODY_BYTES
        answer = await ask(world, path, key, method="POST", body=body)
        assert answer.status == 200, answer.body
        [request] = world.servers["s1"].requests
        assert request.body == body

    run(scenario, ("s1", "desk", "b1"), memory_mb=200.0)


# Guards against a fault of the other region that is passed on as one of the
# caller, who then gives the request up.
def test_fault_over_a_hop_is_refused_as_not_run():
    def fail(headers):
        raise TypeError("an argument is missing")

    async def scenario(world):
        await wait_for_other_region(world)
        listener = world.nodes["e2"].forward_listener
        listener.memory = listener.memory._replace(find_owner=fail)
        body = b"x" * LARGE_BODY_BYTES
        for _ in range(2):
            answer = await ask(world, SAFE, "k1", method="POST", body=body)
            assert answer.status == 503, answer.body
            assert float(answer.headers[b"retry-after"]) > 0
        assert world.servers["s1"].requests == []

    run(scenario, ("s1", "desk", "b1"), memory_mb=200.0)


# A resumed stream reaches a second server with the same organisation.
def test_second_server_of_a_stream_is_told_the_organisation():
    async def scenario(world):
        for server in world.servers.values():
            server.behave = _standins.stream(8, cut_after=3)
        answer = await ask(world, TALK, "k1", method="POST")
        assert answer.status == 200
        requests = [
            request
            for server in world.servers.values()
            for request in server.requests
        ]
        assert len(requests) == 2
        for request in requests:
            assert http1.find_header(request.headers, TENANT) == b"huka"

    run(scenario, ("s1", "text"), ("s2", "text"))


def test_key_that_is_taken_away_is_refused_on_a_kept_connection():
    async def scenario(world):
        host = world.ip("e0")
        reader, writer = await asyncio.open_connection(
            host, _standins.FRONT_PORT
        )

        async def status(number):
            writer.write(
                f"GET {SAFE} HTTP/1.1\r\nHost: {_standins.HOST}\r\n"
                f"X-Buckthorntack-Request-Id: {number:016x}\r\n"
                "Authorization: Token k1\r\n\r\n".encode()
            )
            head = await reader.readuntil(b"\r\n\r\n")
            length = head.lower().partition(b"content-length: ")[2]
            await reader.readexactly(int(length.partition(b"\r\n")[0]))
            return int(head.split(b" ")[1])

        assert await status(1) == 200
        await world.publish(document(2, huka="k9", mire="k2"))
        await world.in_force(2)
        assert await status(2) == 401
        writer.close()
        assert (await ask(world, SAFE, "k9")).status == 200

    run(scenario, ("s1", "desk"))


def test_homes_of_an_organisation_bind():
    first = document(huka="k1", mire="k2")
    first["tenants"][0]["allowed_regions"] = ["north"]

    async def scenario(world):
        await asyncio.sleep(0.7)
        answer = await ask(world, SAFE, "k1")
        assert answer.status == 503
        assert world.servers["s1"].requests == []
        assert (await ask(world, SAFE, "k2")).status == 200

    run(scenario, ("s1", "desk", "b1"), configuration=first)


def test_shared_key_makes_a_configuration_invalid():
    async def scenario(world):
        answer = await world.publish(document(2, huka="same", mire="same"))
        assert answer.status == 400
        text = json.loads(answer.body)["error"]
        assert "huka and mire share a key" in text
        assert "same" not in text.replace("share", "")
        read = await world.control("c0", "GET", "/config")
        assert json.loads(read.body)["version"] == 1

    run(scenario)
