"""Reports of other entry VMs with numbers out of range."""

import math

import pytest

from buckthorntack import dispatch
from buckthorntack.dispatch.tests import _world
from buckthorntack.schema import messages

PEER = "10.1.0.2:80"
USE = messages.ServerUse("s1", 1, 1, 5, 5)
PROMPT = messages.PromptSent("s1", ["part"], [4])
READ = messages.ServerRead("s1", 4)
LIMIT = messages.ServerLimit("s1", 1000, 1, True, 2.0, False, 0.0, 0)
ORGANISATION = messages.OrganisationUse("shops", 1.0, 1.0)
SPEED = messages.SpeedSample("s1", 1000, 3.0, 0.3, 1.0, 0.1)
NO_NUMBERS = (math.nan, math.inf, -math.inf, 1e308)
ODD_PARTS = [
    *(LIMIT._replace(per_s=number) for number in NO_NUMBERS),
    *(LIMIT._replace(rejections_per_s=number) for number in NO_NUMBERS),
    *(SPEED._replace(count=number) for number in NO_NUMBERS),
    *(SPEED._replace(ratio_sum=number) for number in NO_NUMBERS),
    *(SPEED._replace(read_count=number) for number in NO_NUMBERS),
    *(SPEED._replace(read_ratio_sum=number) for number in NO_NUMBERS),
    *(ORGANISATION._replace(admitted=number) for number in NO_NUMBERS),
    *(ORGANISATION._replace(requested=number) for number in NO_NUMBERS),
    SPEED._replace(count=-1.0),
    SPEED._replace(count=1e-300),
    SPEED._replace(born_ms=1 << 62),
    LIMIT._replace(per_s=-1.0),
    LIMIT._replace(version=(1 << 64) - 1),
    USE._replace(running=(1 << 64) - 1),
    USE._replace(waiting_tokens=-(1 << 63)),
    READ._replace(tokens=-1),
    READ._replace(tokens=1 << 62),
    PROMPT._replace(tokens=[]),
    PROMPT._replace(tokens=[-5]),
    PROMPT._replace(tokens=[1 << 62]),
]


def make_report(*parts):
    def of(kind):
        return [part for part in parts if isinstance(part, kind)]

    speeds = of(messages.SpeedSample)
    return messages.UseReport(
        sequence=1,
        scope="own",
        is_whole=True,
        uses=of(messages.ServerUse),
        prompts=of(messages.PromptSent),
        reads=of(messages.ServerRead),
        heard=["10.1.0.3:80"],
        is_urgent=False,
        limits=of(messages.ServerLimit),
        organisations=of(messages.OrganisationUse),
        speeds=speeds,
        known_speeds=speeds,
    )


def make_load(*parts):
    report = make_report(*parts)
    return messages.RegionLoad(
        "kumamoto",
        report.uses,
        report.prompts,
        report.limits,
        report.organisations,
        report.speeds,
    )


# A speed or a limit that was no number failed all requests of a region.
@pytest.mark.parametrize("odd", ODD_PARTS)
def test_odd_part_of_a_report_costs_itself_only(odd):
    world = _world.World()
    world.add_server("s1")
    world.add_server("s2")
    exchange = dispatch.UsageExchange(world.fleet, _world.OWN, "fukuoka-a")
    exchange.set_members({PEER: "fukuoka-a"})
    sound = [
        part._replace(server_id="s2") for part in (USE, PROMPT, READ, SPEED)
    ]
    report, unsound = dispatch.set_aside_unsound(make_report(odd, *sound))
    assert report == make_report(*sound)
    assert {statement.subject for statement in unsound} == {odd[0]}
    exchange.on_report(PEER, report, world.now_s)
    load, unsound = dispatch.set_aside_unsound(make_load(odd, *sound))
    assert load == make_load(*sound)
    world.fleet.on_region_load(load, world.now_s)
    exchange.on_region_load(load, world.now_s)
    for _ in range(10):
        world.now += _world.SECOND / 10
        for prompt in (None, _world.prompt()):
            decision = world.choose(world.make_request(prompt=prompt))
            assert isinstance(decision, dispatch.Serve)


def test_sound_report_is_taken_as_it_is():
    parts = [USE, PROMPT, READ, LIMIT, ORGANISATION, SPEED]
    parts.append(SPEED._replace(count=0.0, ratio_sum=0.0))
    parts.append(LIMIT._replace(is_named=False, per_s=0.0))
    report = make_report(*parts)
    assert dispatch.set_aside_unsound(report) == (report, [])
