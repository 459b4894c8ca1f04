"""Entry VMs that forward requests while one has an older configuration."""

import asyncio

import pytest

from buckthorntack.gateway import _request_handler
from buckthorntack.platform.tests import _standins

#: Entry VM of the caller, and the one in the home region.
SENDER, RECEIVER = "e0", "e1"
#: Home region of the route.
HOME = _standins.REGIONS["b1"]
#: Names of two services, and of the server of each.
FORMER, CURRENT = "former", "current"


def run(scenario):
    _standins.run(scenario, entries=("a1", "b1"))


def configuration(version, service):
    """A configuration whose one route has a home in the receiver's region."""
    route = _standins.route("home", service, allowed_regions=[HOME])
    document = _standins.configuration(version, [route])
    desk = next(s for s in document["services"] if s["name"] == "desk")
    for name in (FORMER, CURRENT):
        document["services"].append({**desk, "name": name})
    return document


class HeldCopies:
    """Holds back the directives that control VMs send an entry VM.

    :param node: the ``EntryNode``.
    """

    def __init__(self, node):
        self.following = node.following
        self._take = node.following.on_directives_copy
        self._held = []
        node.following.on_directives_copy = self._hold

    def _hold(self, sender, copy):
        self._held.append((sender, copy))

    def release(self):
        """Let the entry VM take what was held back, and hold no more."""
        self.following.on_directives_copy = self._take
        for sender, copy in self._held:
            self._take(sender, copy)


async def move_route(world, lagging, service=CURRENT):
    """Move the route to another service, which one entry VM is not told.

    :param lagging: name of that entry VM.
    :param service: the other service.
    :returns: its :class:`HeldCopies`.
    """
    await world.add_server(FORMER, FORMER, "b1")
    await world.add_server(CURRENT, CURRENT, "b1")
    await world.publish(configuration(1, FORMER))
    await world.in_force(1)
    held = HeldCopies(world.nodes[lagging])
    await world.publish(configuration(2, service))
    [current] = {SENDER, RECEIVER} - {lagging}
    await world.until(lambda: world.nodes[current].shared_state.version == 2)
    sender = world.nodes[SENDER].shared_state
    await world.until(
        lambda: all(
            sender.fleet.remote_usage(HOME, name, 0) is not None
            for name in (FORMER, CURRENT)
        )
    )
    return held


async def check_is_refused(world, lagging):
    """Check that no server gets a request until both have version 2."""
    held = await move_route(world, lagging)
    answer = await world.ask("/home/x", SENDER)
    assert answer.status == 503, answer.body
    assert not world.servers[FORMER].requests
    assert not world.servers[CURRENT].requests
    held.release()
    answer = await world.ask("/home/x", SENDER)
    assert answer.status == 200, answer.body
    assert len(world.servers[CURRENT].requests) == 1
    assert not world.servers[FORMER].requests


# Guards against a request that goes to the service which its route had before,
# as the entry VM that it is forwarded to has an older configuration.
def test_older_configuration_handles_no_forwarded_request():
    run(lambda world: check_is_refused(world, RECEIVER))


# Guards against an entry VM through which callers see a newer configuration,
# by what it forwards, before it goes on with its older one.
def test_newer_configuration_handles_no_forwarded_request():
    run(lambda world: check_is_refused(world, SENDER))


# Guards against refusals of requests whose route does not change.
@pytest.mark.parametrize("lagging", [SENDER, RECEIVER])
def test_forwarded_request_needs_only_the_same_route(lagging):
    async def scenario(world):
        held = await move_route(world, lagging, FORMER)
        answer = await world.ask("/home/x", SENDER)
        assert answer.status == 200, answer.body
        assert len(world.servers[FORMER].requests) == 1
        held.release()

    run(scenario)


# Guards against refusals while a change is on its way to all entry VMs.
def test_forwarded_request_waits_for_its_configuration(monkeypatch):
    monkeypatch.setattr(
        _request_handler, "MAX_VERSION_WAIT_S", _standins.PATIENCE_S
    )

    async def scenario(world):
        held = await move_route(world, RECEIVER)
        asked = asyncio.create_task(world.ask("/home/x", SENDER))
        receiver = world.nodes[RECEIVER].request_handler
        await world.until(lambda: receiver._in_progress)
        held.release()
        assert (await asked).status == 200
        assert len(world.servers[CURRENT].requests) == 1

    run(scenario)
