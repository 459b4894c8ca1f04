"""Placement of long prompts that share large prefixes (packs)."""

import collections
import datetime
import random

from buckthorntack import directives
from buckthorntack import dispatch
from buckthorntack.directives.tests import _documents
from buckthorntack.dispatch.tests import _world
from buckthorntack.schema import messages

PACKS = 40
PACK_TOKENS = 4_000


def run_requests(world, servers, requests, rng):
    """Send requests sequentially, each after the end of the former one."""
    for number in range(servers):
        world.add_server(f"s{number}")
    placed = collections.defaultdict(set)
    unread = 0
    for number in range(requests):
        pack = f"pack{rng.randrange(PACKS)}"
        prompt = _world.prompt(pack, PACK_TOKENS, 100, f"own{number}")
        flight = world.send(world.make_request(prompt))
        unread += flight.unread_tokens - 100
        placed[pack].add(flight.server_id)
        world.now += flight.expected_ms * _world.SECOND / 1000
        world.fleet.on_first_byte(flight, world.now_s)
        world.fleet.on_request_ended(flight, dispatch.Outcome.OK, world.now_s)
        world.now += 0.2 * _world.SECOND
    return placed, unread


def test_a_pack_is_read_at_one_server():
    world = _world.World()
    placed, unread = run_requests(world, 2, 800, random.Random(1))
    assert max(len(servers) for servers in placed.values()) <= 2
    assert unread <= 1.3 * PACKS * PACK_TOKENS


def test_packs_are_shared_out_among_servers():
    world = _world.World()
    placed, _ = run_requests(world, 2, 800, random.Random(1))
    used = collections.Counter(
        server for servers in placed.values() for server in servers
    )
    assert min(used.values()) >= PACKS / 4


def test_two_entry_vms_gather_a_pack_at_the_same_server():
    first, second = _world.World(), _world.World()
    for world in (first, second):
        for number in range(4):
            world.add_server(f"s{number}")
    agree = 0
    for number in range(40):
        prompt = _world.prompt(f"pack{number}", PACK_TOKENS)
        chosen = {
            world.choose(world.make_request(prompt)).server_id
            for world in (first, second)
        }
        agree += len(chosen) == 1
    assert agree >= 36


def test_hot_pack_spreads_over_servers():
    world = _world.World()
    for number in range(3):
        world.add_server(f"s{number}", slots=64)
    used = collections.Counter()
    for number in range(12):
        prompt = _world.prompt("hot", own=f"own{number}")
        request = world.make_request(prompt, can_forward=False)
        decision = world.choose(request)
        if isinstance(decision, dispatch.Refuse):
            break
        used[world.send(request).server_id] += 1
    assert len(used) == 3


def test_pack_is_copied_rather_than_read_again():
    world = _world.World()
    profile = directives.EngineProfile(64, 330_000, 35_136.0, 180_000.0)
    service = _documents.service()._replace(engine=profile)
    for number in range(2):
        world.add_server(f"s{number}", slots=64)
    first = world.make_request(_world.prompt(own="own1"), service=service)
    holder = world.send(first).server_id
    # Long prompts queue at the server that caches the pack.
    for _ in range(4):
        flight = dispatch.InFlightRequest(
            holder, 17_000, 0, 100.0, world.now_s
        )
        world.fleet.on_request_sent(flight, None)
    decision = world.choose(
        world.make_request(_world.prompt(own="own2"), service=service)
    )
    assert decision.server_id != holder
    record = world.registry.servers[holder].record
    assert decision.fetch_from == record.address
    assert decision.unread_tokens == 3_720


def test_engines_that_cannot_copy_read_again():
    world = _world.World()
    for number in range(2):
        world.add_server(f"s{number}", slots=64)
    holder = world.send(
        world.make_request(_world.prompt(own="own1"))
    ).server_id
    for _ in range(4):
        flight = dispatch.InFlightRequest(
            holder, 17_000, 0, 100.0, world.now_s
        )
        world.fleet.on_request_sent(flight, None)
    decision = world.choose(world.make_request(_world.prompt(own="own2")))
    assert decision.server_id != holder
    assert decision.fetch_from == ""


def two_regions(token_bytes):
    """Build a world in which a server of another region caches a pack."""
    world = _world.World()
    profile = directives.EngineProfile(64, 330_000, token_bytes, 180_000.0)
    service = _documents.service()._replace(engine=profile)
    world.add_server("s0", slots=16)
    world.add_server(
        "far", region="kumamoto", failure_domain="kumamoto-a", slots=16
    )
    sent = messages.PromptSent("far", ["pack"], [13_300])
    load = messages.RegionLoad("kumamoto", [], [sent], [])
    world.fleet.on_region_load(load, world.now_s)
    return world, world.make_request(_world.prompt(), service=service)


def test_pack_that_is_slow_to_copy_is_followed_to_its_region():
    world, request = two_regions(131_072.0)
    decision = world.choose(request)
    assert isinstance(decision, dispatch.Forward)
    assert decision.region == "kumamoto"


def test_pack_that_is_quick_to_copy_is_copied():
    world, request = two_regions(35_136.0)
    decision = world.choose(request)
    assert isinstance(decision, dispatch.Serve)
    assert decision.fetch_from == world.registry.servers["far"].record.address


# A server outside the home regions of a route was told the prompt of its
# request, as a copy of the cached part was fetched from there.
def test_prefix_is_not_fetched_from_outside_the_home_regions():
    world, request = two_regions(35_136.0)
    assert world.choose(request).fetch_from
    homes = frozenset(["fukuoka"])
    route = _documents.route(allowed_regions=homes)
    decision = world.choose(request._replace(route=route))
    assert isinstance(decision, dispatch.Serve)
    assert decision.fetch_from == ""
    assert decision.unread_tokens == request.prompt.tokens


def test_pack_that_a_region_has_itself_stays_there():
    world, request = two_regions(131_072.0)
    world.fleet.state("s0").cache.add_prompt(request.prompt.parts)
    assert isinstance(world.choose(request), dispatch.Serve)


def test_entry_vms_of_all_regions_read_a_new_pack_at_one_place():
    """The entry VMs have no reports of each other's requests yet."""
    regions = ("fukuoka", "kumamoto", "kagoshima")
    profile = directives.EngineProfile(64, 330_000, 131_072.0, 180_000.0)
    service = _documents.service()._replace(engine=profile)
    slow = _documents.route(objective=datetime.timedelta(seconds=1.2))
    places = []
    for pack in range(12):
        readers = set()
        for region in regions:
            world = _world.World(region=region)
            for number, home in enumerate(regions * 2):
                world.add_server(
                    f"s{number}", region=home, failure_domain=home
                )
            for other in regions:
                load = messages.RegionLoad(other, [], [], [])
                world.fleet.on_region_load(load, world.now_s)
            prompt = _world.prompt(f"pack{pack}", tokens=500)
            request = world.make_request(prompt, route=slow, service=service)
            decision = world.choose(request)
            at_home = isinstance(decision, dispatch.Serve)
            readers.add(region if at_home else decision.region)
        places.append(len(readers))
    assert places == [1] * 12


def test_pack_in_another_domain_of_the_region_is_not_copied():
    world = _world.World()
    profile = directives.EngineProfile(64, 330_000, 131_072.0, 180_000.0)
    service = _documents.service()._replace(engine=profile)
    world.add_server("near", slots=16)
    world.add_server("beside", failure_domain="fukuoka-b", slots=16)
    request = world.make_request(_world.prompt(), service=service)
    world.fleet.state("beside").cache.add_prompt(request.prompt.parts)
    decision = world.choose(request)
    assert (decision.server_id, decision.fetch_from) == ("beside", "")
