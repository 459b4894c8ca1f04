"""Long prompts stall the running streams of the engine that prefills them."""

from buckthorntack import dispatch
from buckthorntack.dispatch.tests import _world


def test_long_prompt_goes_where_few_streams_run():
    world = _world.World()
    for number in range(3):
        world.add_server(f"s{number}", slots=16)
        for _ in range(0 if number == 1 else 6):
            flight = dispatch.InFlightRequest(
                f"s{number}", 0, 0, 100.0, world.now_s
            )
            world.fleet.on_request_sent(flight, None)
            world.fleet.on_first_byte(flight, world.now_s)
    for number in range(20):
        prompt = _world.prompt(f"pack{number}")
        assert world.choose(world.make_request(prompt)).server_id == "s1"


def test_short_prompts_are_gathered_by_their_shared_parts():
    world = _world.World()
    for number in range(3):
        world.add_server(f"s{number}", slots=16)
    places = set()
    for number in range(20):
        parts = (
            dispatch.Part("all", 55),
            dispatch.Part("session", 37),
            dispatch.Part(f"own{number}", 291),
        )
        prompt = dispatch.Prompt(parts, 383, 48)
        flight = world.send(world.make_request(prompt))
        world.now += 0.1 * _world.SECOND
        world.fleet.on_first_byte(flight, world.now_s)
        world.fleet.on_request_ended(flight, dispatch.Outcome.OK, world.now_s)
        places.add(flight.server_id)
    assert len(places) == 1


def test_other_regions_are_told_once_of_a_shared_part():
    world = _world.World()
    world.add_server("s1")
    for number in range(5):
        world.send(world.make_request(_world.prompt(own=f"own{number}")))
    [told] = world.fleet.take_shared_parts()
    assert (told.server_id, told.parts) == ("s1", ["pack"])
    assert world.fleet.take_shared_parts() == []
