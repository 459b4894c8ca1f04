"""Requests of callers over a whole deployment on real sockets."""

import asyncio
import json

import pytest

from buckthorntack import http1
from buckthorntack.gateway import _request_handler
from buckthorntack.platform.tests import _standins

SAFE, UNSAFE = "/safe/x?y=1", "/unsafe/x"


def run(scenario, *servers, routes=(), **options):
    """Run a scenario after the first configuration came in force."""

    async def begun(world):
        await world.begin(*routes)
        for server in servers:
            await world.add_server(*server)
        await world.until_known()
        await scenario(world)

    _standins.run(begun, **options)


def test_request_reaches_a_server_unchanged():
    async def scenario(world):
        answer = await world.ask(
            UNSAFE,
            method="POST",
            body=b"body",
            X_Own="kept",
            X_Buckthorntack_Pin_Ms="9",
            X_Buckthorntack_Request_Priority="0",
            Kv_From="10.0.0.1:1/2",
            X_Gateway_Forwarded="1",
        )
        assert answer.status == 200
        assert answer.body == b"POST /unsafe/x body"
        assert answer.headers[_standins.STAMP.lower()] == b"stamp-s1"
        [request] = world.servers["s1"].requests
        fields = {name.lower(): value for name, value in request.headers}
        assert fields[b"x-own"] == b"kept"
        assert fields[b"x-buckthorntack-expect-instance"] == b"s1"
        assert 3000 < int(fields[b"x-buckthorntack-deadline-ms"]) <= 4000
        for name in fields:
            assert not name.startswith(b"x-gateway-")
        assert b"x-buckthorntack-pin-ms" not in fields
        assert b"x-buckthorntack-request-priority" not in fields
        assert b"kv-from" not in fields
        assert b"connection" not in fields

    run(scenario, ("s1", "desk"))


def test_unknown_route_is_not_found():
    async def scenario(world):
        assert (await world.ask("/none/x")).status == 404

    run(scenario)


def test_request_before_any_configuration_is_refused():
    async def scenario(world):
        answer = await world.ask(SAFE)
        assert answer.status == 503
        assert float(answer.headers[b"retry-after"]) > 0

    _standins.run(scenario)


def test_without_servers_requests_are_refused_at_once():
    async def scenario(world):
        answer = await world.ask(SAFE)
        assert answer.status == 503
        assert b"retry-after" in answer.headers

    run(scenario)


def test_region_without_servers_hands_requests_over():
    async def scenario(world):
        await world.until(
            lambda: (
                world.nodes["e0"].shared_state.fleet.remote_usage(
                    "south", "s1", 0
                )
                is not None
            )
        )
        answer = await world.ask(SAFE)
        assert answer.status == 200
        assert answer.headers[_standins.STAMP.lower()] == b"stamp-s1"
        assert not [n for n in answer.headers if n.startswith(b"x-gateway")]

    run(scenario, ("s1", "desk", "b1"))


def test_request_stays_within_its_regions():
    async def scenario(world):
        await asyncio.sleep(0.7)
        answer = await world.ask("/safe/x")
        assert answer.status == 503
        assert world.servers["s1"].requests == []

    route = _standins.route("safe", "desk", allowed_regions=["north"])
    run(scenario, ("s1", "desk", "b1"), routes=[route])


# A retry went on by the route that its request was accepted with, and ran in a
# region that a newer configuration had taken from the route.
def test_retry_keeps_to_regions_that_a_newer_configuration_allows():
    async def scenario(world):
        gate = asyncio.Event()
        for server in world.servers.values():
            server.behave = _standins.reset_after(gate)
        asked = asyncio.create_task(world.ask(SAFE))
        servers = world.servers.values()
        await world.until(lambda: any(s.requests for s in servers))
        narrowed = _standins.route("safe", "desk", allowed_regions=["south"])
        await world.publish(_standins.configuration(2, [narrowed]))
        await world.in_force(2)
        gate.set()
        assert (await asked).status == 502
        assert sum(len(server.requests) for server in servers) == 1

    run(scenario, ("s1", "desk"), ("s2", "desk"))


def test_safe_request_is_sent_again_after_a_reset():
    async def scenario(world):
        world.servers["s1"].behave = _standins.reset
        world.servers["s2"].behave = _standins.reset
        first = await world.ask(SAFE)
        assert first.status == 502
        world.servers["s2"].behave = _standins.answer_whole
        for _ in range(4):
            assert (await world.ask(SAFE)).status == 200

    run(scenario, ("s1", "desk"), ("s2", "desk"))


# A request was refused as one that crashes servers, after servers had answered
# it with bytes that are no response.
def test_malformed_responses_are_no_crashes_of_the_request():
    async def scenario(world):
        async def garble(server, request, reply):
            reply.connection.transport.write(b"HTTP/9 no response\r\n\r\n")

        for server in world.servers.values():
            server.behave = garble
        for _ in range(4):
            assert (await world.ask(SAFE)).status == 502
        for server in world.servers.values():
            server.behave = _standins.answer_whole
        assert (await world.ask(SAFE)).status == 200

    run(scenario, ("s1", "desk"), ("s2", "desk"))


def test_attempts_are_counted_over_regions():
    async def scenario(world):
        gate = asyncio.Event()
        fleet = world.nodes["e0"].shared_state.fleet
        await world.until(
            lambda: fleet.remote_usage("south", "s1", 0) is not None
        )
        for server in world.servers.values():
            server.behave = _standins.reset_after(gate)
        asked = asyncio.create_task(world.ask(SAFE))
        await world.until(
            lambda: any(server.requests for server in world.servers.values())
        )
        # The region of the caller gets a server while another one tries.
        near = await world.add_server("near", "desk")
        near.behave = _standins.reset_after(gate)
        gate.set()
        answer = await asked
        assert answer.status == 502
        sent = [len(s.requests) for s in world.servers.values()]
        assert sum(sent) <= 2

    servers = [(name, "desk", "b1") for name in ("s1", "s2", "s3")]
    run(scenario, *servers)


@pytest.mark.parametrize("behave", [_standins.reset, _standins.hang])
def test_unsafe_request_is_sent_once(behave):
    async def scenario(world):
        for name in ("s1", "s2"):
            world.servers[name].behave = behave
        answer = await world.ask(
            UNSAFE, method="POST", X_Buckthorntack_Deadline_Ms="600"
        )
        assert answer.status in (502, 504)
        sent = [len(s.requests) for s in world.servers.values()]
        assert sum(sent) == 1

    run(scenario, ("s1", "desk"), ("s2", "desk"))


def test_full_servers_refuse_as_not_run():
    full = _standins.answer_with(503, (b"X-Buckthorntack-Not-Executed", b"1"))

    async def scenario(world):
        world.servers["s1"].behave = full
        answer = await world.ask(UNSAFE, method="POST")
        assert answer.status == 503
        assert _standins.STAMP.lower() not in answer.headers
        assert b"retry-after" in answer.headers

    run(scenario, ("s1", "desk"))


def test_failure_of_a_server_is_passed_on_unchanged():
    async def scenario(world):
        world.servers["s1"].behave = _standins.answer_with(500, body=b"oops")
        answer = await world.ask(UNSAFE, method="POST")
        assert (answer.status, answer.body) == (500, b"oops")
        assert answer.headers[_standins.STAMP.lower()] == b"stamp-s1"

    run(scenario, ("s1", "desk"))


def test_server_of_another_service_at_the_address_runs_nothing():
    async def scenario(world):
        server = world.servers["s1"]
        server.server_id = "later"
        answer = await world.ask(UNSAFE, method="POST")
        assert answer.status == 503
        assert server.requests == []
        assert world.nodes["e0"].registry.servers["s1"].record.state == "gone"

    run(scenario, ("s1", "desk"))


def test_stream_goes_on_at_another_server():
    async def scenario(world):
        world.servers["s1"].behave = _standins.stream(6, cut_after=3)
        world.servers["s2"].behave = _standins.stream(6, cut_after=3)
        both = [world.servers["s1"], world.servers["s2"]]

        async def whole_second(server, request, reply):
            rest = _standins.stream(6, cut_after=None if server.left else 3)
            await rest(server, request, reply)

        for server in both:
            server.behave = whole_second
        asked = asyncio.create_task(world.ask("/talk/x", method="POST"))
        await world.until(lambda: any(s.requests for s in both))
        first = both[0] if both[0].requests else both[1]
        other = both[1] if first is both[0] else both[0]
        other.left = 1
        answer = await asked
        assert answer.whole
        assert answer.body == _standins.whole_stream(6)
        stamp = f"stamp-{first.server_id}".encode()
        assert answer.headers[_standins.STAMP.lower()] == stamp
        last = http1.find_header(other.requests[0].headers, b"last-event-id")
        assert last == b"2"

    run(scenario, ("s1", "text"), ("s2", "text"))


def test_stream_that_may_not_be_resumed_looks_broken():
    async def scenario(world):
        for server in world.servers.values():
            server.behave = _standins.stream(6, cut_after=3)
        answer = await world.ask("/draft/x", method="POST")
        assert not answer.whole
        assert answer.body.startswith(_standins.whole_stream(3))
        assert sum(len(s.requests) for s in world.servers.values()) == 1

    run(scenario, ("s1", "text"), ("s2", "text"))


def test_client_resumes_its_stream():
    async def scenario(world):
        world.servers["s1"].behave = _standins.stream(3)
        began_as = "00000000000000a1"
        await world.ask(
            "/talk/x", method="POST", X_Buckthorntack_Request_Id=began_as
        )
        world.servers["s1"].behave = _standins.stream(6)
        answer = await world.ask(
            "/talk/x", method="POST", Last_Event_Id="2", Resumes=began_as
        )
        assert answer.whole
        assert (
            answer.body
            == _standins.whole_stream(6)[len(_standins.whole_stream(3)) :]
        )

    run(scenario, ("s1", "text"))


def test_work_ends_when_its_client_leaves():
    async def scenario(world):
        server = world.servers["s1"]
        server.behave = _standins.hang
        asked = asyncio.create_task(world.ask(SAFE))
        await world.until(lambda: server.requests)
        asked.cancel()
        await world.until(lambda: server.left)

    run(scenario, ("s1", "desk"))


def test_final_answer_comes_at_the_routes_timeout():
    async def scenario(world):
        world.servers["s1"].behave = _standins.hang
        answer = await world.ask("/slow/x", method="POST")
        assert answer.status == 504

    route = _standins.route("slow", "desk", type="unsafe", timeout_ms=300)
    run(scenario, ("s1", "desk"), routes=[route])


def test_draining_server_gets_nothing_more():
    async def scenario(world):
        server = world.servers["s1"]
        await world.announce(server, control="c1", state="draining")
        await world.until(
            lambda: all(
                node.registry.servers["s1"].record.state == "draining"
                for node in world.nodes.values()
            )
        )
        assert (await world.ask(SAFE)).status == 503
        assert server.requests == []

    run(scenario, ("s1", "desk"))


def test_evacuated_domain_gets_nothing():
    async def scenario(world):
        for method, evacuated in (("POST", {"a1"}), ("DELETE", set())):
            answer = await world.control("c2", method, "/evacuations/a1")
            assert answer.status == 200
            await world.until(
                lambda wanted=evacuated: all(
                    node.shared_state.dispatcher.evacuated == wanted
                    for node in world.nodes.values()
                    if node.settings.role == "entry"
                )
            )
            answer = await world.ask(SAFE)
            assert answer.status == (503 if evacuated else 200)

    run(scenario, ("s1", "desk"))


def test_crashing_request_is_refused_in_the_end():
    async def scenario(world):
        for server in world.servers.values():
            server.behave = _standins.reset
        statuses = [
            (await world.ask(UNSAFE, method="POST", body=b"poison")).status
            for _ in range(5)
        ]
        assert statuses[:3] == [502] * 3
        assert statuses[3:] == [503] * 2
        # An entry VM that was not asked knows of it too.
        quarantine = world.nodes["e1"].shared_state.quarantine
        await world.until(quarantine.list_blamed)
        other = await world.ask(
            UNSAFE, entry="e1", method="POST", body=b"poison"
        )
        assert other.status == 503

    run(scenario, ("s1", "desk"), ("s2", "desk"))


def test_stopping_entry_vm_finishes_what_it_has_begun():
    async def scenario(world):
        server = world.servers["s1"]
        gate = asyncio.Event()

        async def wait(server, request, reply):
            await gate.wait()
            await _standins.answer_whole(server, request, reply)

        server.behave = wait
        asked = asyncio.create_task(world.ask(SAFE))
        await world.until(lambda: server.requests)
        stopping = asyncio.create_task(world.nodes["e0"].stop())
        await world.until(
            lambda: (
                f"{world.ip('e0')}:{_standins.FRONT_PORT}"
                not in world.nodes["e1"].directory("", "north", "a1")
            )
        )
        ready = f"{world.ip('e0')}:{_standins.READY_PORT}"
        assert (await _standins.call(ready, "GET", "/readyz")).status == 503
        gate.set()
        answer = await asked
        assert answer.status == 200
        assert answer.headers[b"connection"] == b"close"
        await stopping

    run(scenario, ("s1", "desk"))


def test_directory_names_the_regions_entry_vms():
    async def scenario(world):
        address = f"{world.ip('e2')}:{_standins.DIRECTORY_PORT}"
        path = f"/resolve?name={_standins.HOST}&region=north&zone=a1"
        expected = {
            f"{world.ip(name)}:{_standins.FRONT_PORT}" for name in ("e0", "e1")
        }
        found = set()
        while found != expected:
            answer = await _standins.call(address, "GET", path)
            assert answer.status == 200
            found = set(_json(answer)["addresses"])

    run(scenario)


def _json(answer):
    return json.loads(answer.body)


def test_request_waits_for_a_vm_that_has_just_started(monkeypatch):
    """The first configuration and server come while it waits."""
    monkeypatch.setattr(_request_handler, "STARTUP_PERIOD_S", 3600.0)
    monkeypatch.setattr(_request_handler, "MAX_STARTUP_WAIT_S", 3600.0)

    async def scenario(world):
        asked = asyncio.create_task(
            world.ask(SAFE, X_Buckthorntack_Deadline_Ms="100000")
        )
        await world.begin()
        await world.add_server("s1", "desk")
        assert (await asked).status == 200

    _standins.run(scenario)


def test_entry_vm_serves_what_it_gets_while_no_majority_can_be_asked():
    async def scenario(world):
        await world.add_server("s1", "desk")
        for name in ("e0", "c1", "c2"):
            await world.kill(name)
        await world.start_entry("e0", "a1")
        await world.until(world.nodes["e0"].is_ready)
        assert (await world.ask(SAFE)).status == 200

    run(scenario)


# Guards against requests to a server after an answer that said it leaves
# (DRAIN), while control VMs still take it for ready.
@pytest.mark.parametrize("status", [200, 503])
def test_server_that_leaves_gets_nothing_after_its_answer(status):
    headers = [(b"Server-Leaving", b"1")]
    if status == 503:
        headers.append((b"X-Buckthorntack-Not-Executed", b"1"))
    leaving = _standins.answer_with(status, *headers)

    async def scenario(world):
        server = world.servers["s1"]
        server.behave = leaving
        await world.ask(SAFE)
        assert len(server.requests) == 1
        await world.announce(server)
        other = await world.add_server("s2", "desk")
        for _ in range(10):
            assert (await world.ask(SAFE)).status == 200
        assert len(server.requests) == 1
        assert len(other.requests) >= 10

    run(scenario, ("s1", "desk"))


# Guards against requests to a server that answered 503 with Retry-After,
# before that time is over (BUDGET).
def test_server_that_refuses_with_retry_after_gets_nothing_meanwhile():
    full = _standins.answer_with(
        503,
        (b"X-Buckthorntack-Not-Executed", b"1"),
        (b"Retry-After", b"30"),
    )

    async def scenario(world):
        server = world.servers["s1"]
        server.behave = full
        assert (await world.ask(SAFE)).status == 503
        other = await world.add_server("s2", "desk")
        for _ in range(10):
            assert (await world.ask(SAFE)).status == 200
        assert len(server.requests) == 1
        assert len(other.requests) == 10

    run(scenario, ("s1", "desk"))


# Guards against requests that connect to a server while it refuses another
# one with Retry-After.
def test_server_that_is_paused_during_a_connect_gets_nothing():
    async def scenario(world):
        shared_state = world.nodes["e0"].shared_state
        acquire = shared_state.acquire_connection

        async def acquire_and_pause(key, address, request_id):
            connection = await acquire(key, address, request_id)
            now_s = world.nodes["e0"].clock.monotonic().total_seconds()
            shared_state.fleet.state(key).pause(now_s, 30.0)
            return connection

        shared_state.acquire_connection = acquire_and_pause
        answer = await world.ask(UNSAFE, method="POST")
        assert answer.status == 503
        assert world.servers["s1"].requests == []

    run(scenario, ("s1", "desk"))
