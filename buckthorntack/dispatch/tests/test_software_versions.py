"""Choice among servers of several software versions."""

from buckthorntack import directives
from buckthorntack import dispatch
from buckthorntack.directives.tests import _documents
from buckthorntack.dispatch.tests import _world
from buckthorntack.schema import messages


def make_world():
    world = _world.World()
    world.add_server("old", software_version="v1")
    world.add_server("new", software_version="v2")
    return world


def test_stream_goes_to_its_software_version():
    world = make_world()
    request = world.make_request(software_version="v1")
    for _ in range(4):
        assert world.send(request).server_id == "old"


def test_stream_of_a_busy_version_may_wait():
    world = make_world()
    world.fleet.state("old").pause(world.now_s, 5.0)
    decision = world.choose(world.make_request(software_version="v1"))
    assert isinstance(decision, dispatch.Refuse)
    assert decision.may_wait


def test_stream_of_a_version_that_left_does_not_wait():
    world = make_world()
    decision = world.choose(world.make_request(software_version="v0"))
    assert isinstance(decision, dispatch.Refuse)
    assert not decision.may_wait
    assert "version" in decision.reason


# Guards against a stream that is forwarded to a region with another version.
def test_stream_is_forwarded_to_its_software_version():
    world = _world.World(region="kumamoto")
    world.add_server("far-new", software_version="v2")
    world.add_server("far-old", software_version="v1")
    uses = [
        messages.ServerUse(name, 0, 0, 0, 0) for name in ("far-new", "far-old")
    ]
    load = messages.RegionLoad("fukuoka", uses, [], [])
    world.fleet.on_region_load(load, world.now_s)
    for _ in range(20):
        request = world.make_request(software_version="v1")
        decision = world.choose(request)
        assert isinstance(decision, dispatch.Forward)
        assert decision.server_id == "far-old"


# Guards against a copy of cached prompt tokens that another software version
# computed.
def test_prompt_is_copied_within_a_software_version_only():
    profile = directives.EngineProfile(8, 1 << 20, 35_136.0, 180_000.0)
    service = _documents.service()._replace(engine=profile)
    prompt = _world.prompt()
    for version, is_copied in (("v1", True), ("v2", False)):
        world = _world.World()
        world.add_server("holder", software_version="v1")
        world.fleet.state("holder", 1 << 20).cache.add_prompt(prompt.parts)
        world.fleet.state("holder").pause(world.now_s, 5.0)
        world.add_server("other", software_version=version)
        request = world.make_request(prompt, service=service)
        decision = world.choose(request)
        assert isinstance(decision, dispatch.Serve)
        assert decision.server_id == "other"
        assert bool(decision.fetch_from) is is_copied
