"""Streams taken up by an entry VM whose records of servers are old."""

import asyncio

import pytest

from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests
from buckthorntack.platform.tests import test_software_versions
from buckthorntack.schema import messages

CUT_AFTER = test_software_versions.CUT_AFTER
#: How long a server wants no requests.
PAUSE_S = 0.5
#: How long an entry VM stands still after a stream has broken.
HELD_S = 0.1
SERVERS = (("s1", "text", "a1", "v1"), ("s2", "text", "a1", "v1"))


def control_ids(world):
    """Ids of the control VMs, by name."""
    return {
        name: node.identity.node_id
        for name, node in world.nodes.items()
        if node.settings.role == "control"
    }


def cut_off(world, name, peers):
    """Drop all messages between a node and others.

    :param name: name of the node.
    :param peers: ids of the others.
    """
    links = world.nodes[name].links
    send, handle = links.send, links.delivery.handle
    links.send = lambda to, message: to not in peers and send(to, message)
    links.delivery.handle = lambda sender, message: (
        None if sender in peers else handle(sender, message)
    )


def cut_off_from_all(world, name):
    """Drop all messages between an entry VM and control VMs."""
    ids = set(control_ids(world).values())
    cut_off(world, name, ids.union(world.nodes[name].settings.seeds))


def lose_changes(world, name):
    """Drop what an entry VM is told of servers, but nothing else."""
    links = world.nodes[name].links
    handle = links.delivery.handle
    links.delivery.handle = lambda sender, message: (
        None
        if isinstance(
            message, (messages.RegistryChanges, messages.PackedChanges)
        )
        else handle(sender, message)
    )


def stand_still(world, name):
    """Hold what a node gets from others.

    :returns: function without arguments that lets it go on, in order.
    """
    links = world.nodes[name].links
    handle = links.delivery.handle
    held = []
    links.delivery.handle = lambda *message: held.append(message)

    def go_on():
        links.delivery.handle = handle
        for message in held:
            handle(*message)

    return go_on


async def replace(world, server, version, unaware=()):
    """Let a server start again under its id at another version.

    :param unaware: names of the nodes that are not told.
    """
    server.crash()
    server.software_version = version
    await server.start_again()
    control = next(name for name in control_ids(world) if name not in unaware)
    await world.announce(server, control)
    await world.until(
        lambda: all(
            node.registry.servers[server.server_id].record.born_ms
            == server.born
            for name, node in world.nodes.items()
            if name not in unaware
        )
    )
    for name in unaware:
        record = world.nodes[name].registry.servers[server.server_id].record
        assert record.born_ms < server.born


async def replace_unknown(world, unaware):
    """Start s1 again at another version, unknown to entry VMs.

    :param unaware: their names; the first one leaves s2 alone for a while.
    """
    for name in unaware:
        lose_changes(world, name)
    await replace(world, world.servers["s1"], "v2", unaware=unaware)
    world.nodes[unaware[0]].shared_state.fleet.state("s2").pause(
        asyncio.get_running_loop().time(), PAUSE_S
    )


async def wait_for_load_of_south(world):
    """Wait until an entry VM of the north was told the load of the south."""
    fleet = world.nodes["e0"].shared_state.fleet
    await world.until(lambda: fleet.remote_usage("south", "s2", 0) is not None)


async def begin(world, entry, pause_s=0.2):
    """Begin a stream; return it, its task, its server and the other one."""
    behave = test_software_versions.write_versions(pause_s=pause_s)
    test_software_versions.behave_all(world, behave)
    stream = test_software_versions.Stream(world)
    task = asyncio.create_task(stream.attempt(entry))
    await world.until(lambda: stream.versions)
    first, other = sorted(
        world.servers.values(), key=lambda server: not server.requests
    )
    return stream, task, first, other


def go_on_at_once(world):
    test_software_versions.behave_all(
        world, test_software_versions.write_versions()
    )


# Guards against a stream that goes on at another version at an entry VM that
# has no links, as another one hands it on or its client returns there.
def test_entry_vm_without_control_vms_takes_up_no_foreign_stream():
    async def scenario(world):
        stream, task, first, other = await begin(world, "e0")
        cut_off_from_all(world, "e1")
        await replace(world, other, "v2", unaware=["e1"])
        first.crash()
        await task
        go_on_at_once(world)
        sent = len(other.requests)
        await stream.attempt("e1")
        assert stream.statuses == [200, 503]
        assert len(other.requests) == sent
        assert not stream.is_joined, (stream.versions, stream.statuses)

    test_requests.run(scenario, *SERVERS)


# Guards against a stream that an entry VM continues within its response at a
# server that started again at another version, which it does not know.
@pytest.mark.parametrize("cut", [cut_off_from_all, lose_changes])
def test_stream_within_one_answer_ends_if_records_are_old(cut):
    async def scenario(world):
        stream, task, first, other = await begin(world, "e1")
        cut(world, "e1")
        await replace(world, other, "v2", unaware=["e1"])
        go_on_at_once(world)
        first.crash()
        await task
        assert stream.statuses == [200]
        assert not stream.is_joined, stream.versions

    test_requests.run(scenario, *SERVERS)


# Guards against a client whose stream goes on at another version, as the entry
# VM that it returns to learns the origin but has an old record of a server.
def test_return_to_an_entry_vm_with_old_records():
    async def scenario(world):
        stream, task, first, other = await begin(world, "e0")
        lose_changes(world, "e1")
        await replace(world, other, "v2", unaware=["e1"])
        first.crash()
        await task
        go_on_at_once(world)
        await stream.attempt("e1")
        assert not stream.is_joined, (stream.versions, stream.statuses)
        assert stream.statuses[1] == 503

    test_requests.run(scenario, *SERVERS)


# Guards against streams that go on nowhere while one control VM is down, or
# stands still and is not known to.
@pytest.mark.parametrize("is_killed", [True, False])
def test_stream_goes_on_without_one_control_vm(is_killed):
    async def scenario(world):
        stream, task, first, _ = await begin(world, "e0")
        if is_killed:
            await world.kill("c2")
        else:
            world.nodes["c2"].links.delivery.handle = lambda sender, message: (
                None
            )
        first.crash()
        go_on_at_once(world)
        await task
        assert stream.statuses == [200]
        assert stream.is_complete

    test_requests.run(scenario, *SERVERS)


# Guards against a stream that goes on at a server of another service, under
# the version of its own, after its route has moved.
def test_stream_whose_route_has_moved_is_not_run():
    async def scenario(world):
        stream, task, _, _ = await begin(world, "e0")
        await world.add_server("s3", "desk")
        route = _standins.route(
            "talk",
            "desk",
            type="streaming",
            resumable=True,
            itl_target_ms=400,
        )
        answer = await world.publish(
            _standins.configuration(version=2, routes=[route])
        )
        assert answer.status == 200
        await world.in_force(2)
        await world.kill("e0")
        await task
        go_on_at_once(world)
        await stream.attempt("e1")
        assert stream.statuses == [200, 503]
        assert world.servers["s3"].requests == []

    test_requests.run(scenario, *SERVERS)


# Guards against a stream that another region continues at a server that
# started again at another version, which its entry VM does not know.
def test_stream_is_not_continued_in_a_region_with_old_records():
    async def scenario(world):
        await wait_for_load_of_south(world)
        stream, task, first, other = await begin(world, "e0")
        lose_changes(world, "e2")
        lose_changes(world, "e0")
        await replace(world, other, "v2", unaware=["e0", "e2"])
        go_on_at_once(world)
        first.crash()
        await task
        assert not stream.is_joined, stream.versions
        await stream.play(["e0", "e1"])
        assert not stream.is_joined, (stream.versions, stream.statuses)

    servers = [(*server[:2], "b1", server[3]) for server in SERVERS]
    test_requests.run(scenario, *servers)


# Guards against a client whose stream began at an entry VM with an old record
# of its server, so that others continue it at the version of that record.
def test_origin_that_an_entry_vm_with_old_records_tells_is_not_used():
    async def scenario(world):
        await replace_unknown(world, ["e1"])
        stream, task, first, _ = await begin(world, "e1")
        assert first.server_id == "s1"
        assert stream.versions[0] == "v2"
        await asyncio.sleep(PAUSE_S)
        go_on_at_once(world)
        await world.kill("e1")
        await task
        await stream.play(["e0"])
        assert not stream.is_joined, (stream.versions, stream.statuses)

    test_requests.run(scenario, *SERVERS)


# Guards against a stream of which an entry VM takes the version by an old
# record of its server, and which it continues at that version by itself.
def test_stream_begun_by_an_old_record_does_not_go_on():
    async def scenario(world):
        await replace_unknown(world, ["e1"])
        stream, task, first, _ = await begin(world, "e1")
        assert first.server_id == "s1"
        await asyncio.sleep(PAUSE_S)
        go_on_at_once(world)
        first.crash()
        await task
        assert stream.statuses == [200]
        assert set(stream.versions) == {"v2"}

    test_requests.run(scenario, *SERVERS)


# Guards against the same where another region begins the stream by an old
# record, and tells the version to the entry VM that the client asked.
def test_origin_by_an_old_record_of_another_region_is_not_used():
    async def scenario(world):
        await replace_unknown(world, ["e2", "e0"])
        await wait_for_load_of_south(world)
        stream, task, first, _ = await begin(world, "e0")
        assert first.server_id == "s1"
        await asyncio.sleep(PAUSE_S)
        go_on_at_once(world)
        await world.kill("e0")
        await task
        await stream.play(["e1"])
        assert not stream.is_joined, (stream.versions, stream.statuses)

    servers = [(*server[:2], "b1", server[3]) for server in SERVERS]
    test_requests.run(scenario, *servers)


# Guards against a stream that goes on at another version at an entry VM that
# stood still and reads what servers answer before what it is told of them.
@pytest.mark.parametrize("entry", ["e0", "e1"])
def test_entry_vm_that_stood_still_takes_up_no_foreign_stream(entry):
    async def scenario(world):
        stream, task, first, other = await begin(world, entry)
        let_go_on = stand_still(world, "e1")
        await replace(world, other, "v2", unaware=["e1"])
        go_on_at_once(world)
        first.crash()
        again = asyncio.create_task(stream_at_e1(stream, task))
        await asyncio.sleep(HELD_S)
        let_go_on()
        await again
        assert not stream.is_joined, (stream.versions, stream.statuses)

    async def stream_at_e1(stream, task):
        await task
        await stream.attempt("e1")

    test_requests.run(scenario, *SERVERS)


# Guards against a stream that goes on at a server of another version that has
# got the address of a former one, which the entry VM still knows there.
def test_stream_does_not_go_on_at_a_server_with_a_former_address():
    async def scenario(world):
        stream, task, first, other = await begin(world, "e0")
        lose_changes(world, "e0")
        lose_changes(world, "e1")
        await other.__aexit__(None, None, None)
        host = other.address.rpartition(":")[0]
        heir = _standins.Server("s9", host, "text")
        heir.software_version = "v2"
        heir.born = other.born + _standins.INCARNATION_MS
        async with heir:
            await world.announce(heir)
            heir.behave = test_software_versions.write_versions()
            first.crash()
            await task
            await stream.attempt("e1")
            assert heir.requests == []
            assert not stream.is_joined
            assert stream.statuses == [200, 503]

    test_requests.run(scenario, *SERVERS)


# Guards against an entry VM that guesses the version of a stream, as it does
# not reach the control VMs that know it.
def test_stream_whose_origin_cannot_be_reached_is_not_run():
    async def scenario(world):
        stream, task, _, other = await begin(world, "e0")
        await asyncio.sleep(HELD_S)
        holders = {
            world.nodes[name].identity.node_id
            for name in control_ids(world)
            if len(world.nodes[name].origin_keeper.store)
        }
        assert len(holders) == 2
        cut_off(world, "e1", holders)
        await world.kill("e0")
        await task
        go_on_at_once(world)
        await stream.attempt("e1")
        assert stream.statuses == [200, 503]
        assert other.requests == []

    test_requests.run(scenario, *SERVERS)


# Guards against a server that started again under its id at another version,
# and has not announced itself, and is taken for the one before.
def test_server_that_has_not_announced_itself_continues_no_stream():
    async def scenario(world):
        stream, task, first, other = await begin(world, "e0")
        other.crash()
        other.software_version = "v2"
        await other.start_again()
        go_on_at_once(world)
        first.crash()
        await task
        assert not stream.is_joined, (stream.versions, stream.statuses)

    test_requests.run(scenario, *SERVERS)


def answer_state(status, body):
    """Behaviour: one fixed answer at the path of the state."""

    async def behave(server, request, reply):
        reply.send(status, [], body)

    return behave


# Guards against streams that go on nowhere, as servers do not say which start
# they are, or that wait for one which does not answer.
@pytest.mark.parametrize(
    ("behave", "is_continued"),
    [
        (answer_state(404, b""), True),
        (answer_state(200, b"not json"), True),
        (_standins.reset, False),
        (_standins.hang, False),
    ],
)
def test_stream_goes_on_where_servers_do_not_tell_their_start(
    behave, is_continued
):
    async def scenario(world):
        stream, task, first, other = await begin(world, "e0")
        other.behave_on_state = behave
        go_on_at_once(world)
        first.crash()
        await task
        assert stream.is_complete is is_continued
        assert bool(other.requests) is is_continued
        assert not stream.is_joined

    test_requests.run(scenario, *SERVERS)


# Guards against a request that is written to a connection which its server
# ends after it has told its start, and that counts as lost.
def test_stream_goes_on_at_a_server_that_ends_the_connection():
    async def scenario(world):
        stream, task, first, other = await begin(world, "e0")

        async def tell_once(server, request, reply):
            server.behave_on_state = _standins.tell_start
            state = b'{"born":%d}' % server.born
            reply.send(200, [(b"Connection", b"close")], state)

        other.behave_on_state = tell_once
        go_on_at_once(world)
        first.crash()
        await task
        assert stream.is_complete
        fleet = world.nodes["e0"].shared_state.fleet
        assert fleet.state(other.server_id).failure_share == 0.0

    test_requests.run(scenario, *SERVERS)
