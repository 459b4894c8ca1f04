"""Orders of operators, and control VMs that lose their disks."""

import asyncio
import json

import pytest

from buckthorntack.platform.tests import _standins


def run(scenario):
    _standins.run(scenario, entries=("a1",))


def test_configuration_is_read_back_as_it_was_sent():
    async def scenario(world):
        document = _standins.configuration(7)
        assert (await world.publish(document, "c1")).status == 200
        for name in ("c0", "c1", "c2"):
            answer = await world.control(name, "GET", "/config")
            assert answer.status == 200
            assert json.loads(answer.body) == document

    run(scenario)


@pytest.mark.parametrize(
    "change",
    [
        {"version": "7"},
        {"version": None},
        {"routes": [_standins.route("r", "unknown")]},
        {"routes": [_standins.route("r", "desk", timeout_ms=0)]},
        {
            "routes": [
                _standins.route("r", "desk"),
                _standins.route("q", "desk", path_prefix="/r/"),
            ]
        },
        {
            "routes": [
                _standins.route(
                    "r",
                    None,
                    backends=[
                        {"service": "desk", "weight": 0},
                        {"service": "text", "weight": 0},
                    ],
                )
            ]
        },
    ],
)
def test_invalid_configuration_is_refused(change):
    async def scenario(world):
        await world.begin()
        document = {**_standins.configuration(9), **change}
        answer = await world.publish(document)
        assert answer.status == 400
        answer = await world.control("c0", "GET", "/config")
        assert json.loads(answer.body)["version"] == 1

    run(scenario)


def test_configuration_that_is_cut_short_is_refused():
    async def scenario(world):
        await world.begin()
        body = json.dumps(_standins.configuration(9)).encode()
        address = f"{world.ip('c0')}:{_standins.CONTROL_PORT}"
        for length in (0, 1, len(body) // 2, len(body) - 1):
            answer = await _standins.call(
                address, "PUT", "/config", body[:length]
            )
            assert answer.status == 400

    run(scenario)


def test_version_that_is_not_higher_is_acknowledged_and_changes_nothing():
    async def scenario(world):
        await world.begin()
        newer = _standins.configuration(5)
        assert (await world.publish(newer)).status == 200
        for version in (5, 4):
            routes = [_standins.route("other", "desk")]
            document = _standins.configuration(version, routes)
            for name in ("c0", "c1", "c2"):
                assert (await world.publish(document, name)).status == 200
        answer = await world.control("c2", "GET", "/config")
        assert json.loads(answer.body) == newer

    run(scenario)


def test_two_operators_at_two_control_vms():
    async def scenario(world):
        await world.begin()
        answers = await asyncio.gather(
            *(
                world.publish(_standins.configuration(2 + n), f"c{n % 3}")
                for n in range(6)
            )
        )
        assert {answer.status for answer in answers} == {200}
        await world.in_force(7)
        answer = await world.control("c1", "GET", "/config")
        assert json.loads(answer.body)["version"] == 7

    run(scenario)


def test_unreadable_announcement_changes_nothing():
    async def scenario(world):
        await world.begin()
        server = await world.add_server("s1", "desk")
        for change in (
            {"state": "asleep"},
            {"sequence": "x"},
            {"address": "nowhere"},
            {"zone": "unknown"},
            {"capacity": None},
        ):
            document = {**server.announcement(state="draining"), **change}
            path = "/instances/s1"
            answer = await world.control("c0", "PUT", path, document)
            assert answer.status == 400
        assert (await world.ask("/safe/x")).status == 200

    run(scenario)


def test_unknown_failure_domain_cannot_be_evacuated():
    async def scenario(world):
        await world.begin()
        answer = await world.control("c0", "POST", "/evacuations/nowhere")
        assert answer.status == 400

    run(scenario)


def test_read_without_a_majority_is_refused():
    async def scenario(world):
        await world.begin()
        await world.kill("c1")
        await world.kill("c2")
        answer = await world.control("c0", "GET", "/config")
        assert answer.status == 503

    run(scenario)


# Guards against an acknowledgement of what only one disk holds, which is lost
# with that disk.
def test_what_one_disk_holds_is_not_acknowledged():
    async def scenario(world):
        await world.begin()
        leaders = []
        for node in world.nodes.values():
            if node.settings.role == "control" and node.replica.is_leader():
                leaders.append(node.settings.node_name)
        (name,) = leaders
        document = _standins.configuration(5)
        for other in {"c0", "c1", "c2"} - {name}:
            await world.kill(other)
        last = world.nodes[name].replica.status().last_index
        answer = await world.control(name, "PUT", "/config", document)
        assert answer.status == 503
        assert world.nodes[name].replica.status().last_index > last

        async def check_nothing_is_acknowledged():
            for call in (
                ("PUT", "/config", document),
                ("POST", "/evacuations/a1"),
                ("DELETE", "/evacuations/a1"),
                ("GET", "/config"),
            ):
                answer = await world.control(name, *call)
                assert answer.status == 503, call

        await check_nothing_is_acknowledged()
        await world.kill(name)
        await world.start_control(name, "a1")
        assert world.nodes[name].replica.status().last_index > last
        await check_nothing_is_acknowledged()

    run(scenario)


def voters(world):
    for node in world.nodes.values():
        if node.settings.role == "control" and node.replica.is_leader():
            return set(node.replica.voters())
    return set()


@pytest.mark.parametrize("order", ["c0 c1 c2", "c2 c0 c2"])
def test_lost_disks_one_after_the_other_lose_nothing(order):
    """Each control VM comes back empty, once the group is whole again."""

    async def scenario(world):
        await world.begin()
        for number, name in enumerate(order.split()):
            version = 2 + number
            document = _standins.configuration(version)
            assert (await world.publish(document, name)).status == 200
            await world.kill(name)
            world.wipe(name)
            zone = list(_standins.REGIONS)[int(name[1]) % 2]
            await world.start_control(name, zone)
            new_id = world.nodes[name].identity.node_id
            assert "~" in new_id
            await world.until(
                lambda new_id=new_id: (
                    new_id in voters(world) and len(voters(world)) == 3
                )
            )
            answer = await world.control(name, "GET", "/config")
            assert json.loads(answer.body)["version"] == version

    run(scenario)


def test_all_control_vms_restart_at_once():
    async def scenario(world):
        await world.begin()
        await world.publish(_standins.configuration(4))
        server = await world.add_server("s1", "desk")
        await world.announce(server, state="draining")
        names = ("c0", "c1", "c2")
        for name in names:
            await world.kill(name)
        for number, name in enumerate(names):
            zone = list(_standins.REGIONS)[number % 2]
            await world.start_control(name, zone)
        answer = await world.publish(_standins.configuration(5), "c1")
        assert answer.status == 200
        await world.in_force(5)
        # The entry VM hands its copy back, with the draining mark.
        await world.until(
            lambda: all(
                "s1" in world.nodes[name].registry.servers for name in names
            )
        )
        for name in names:
            record = world.nodes[name].registry.servers["s1"].record
            assert record.state == "draining"

    run(scenario)


# Guards against a call that a planned stop of a control VM drops, such as an
# order that was accepted.
def test_call_that_waits_is_answered_before_the_stop_ends():
    gate = asyncio.Event()
    started = asyncio.Event()

    async def scenario(world):
        node = world.nodes["c2"]
        handle = node.listener.handle

        async def wait_and_handle(request, reply):
            started.set()
            await gate.wait()
            await handle(request, reply)

        document = _standins.configuration(7)
        assert (await world.publish(document)).status == 200
        node.listener.handle = wait_and_handle
        asked = asyncio.create_task(world.control("c2", "GET", "/config"))
        await started.wait()
        stopping = asyncio.create_task(node.stop())
        await world.until(lambda: node.listener.is_stopped)
        asyncio.get_running_loop().call_later(0.1, gate.set)
        await stopping
        await world.kill("c2")
        answer = await asked
        assert answer.status == 200
        assert json.loads(answer.body) == document

    run(scenario)
