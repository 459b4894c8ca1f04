"""Requests that crash servers, at many entry VMs in virtual time."""

import functools

import pytest

from buckthorntack.quarantine.tests import _simulation

#: Requests with a crashing part that may reach servers later than the contact
#: time after the fifth crash.
MAX_LATE_ARRIVALS = 3
#: Share of the usual share of sound requests that begin at once.
MIN_USUAL_SHARE = 0.5
ONSET_S = 10.0
END_S = 60.0
CULPRIT_RATE = 4.0
SOUND_RATE = 30.0
SEEDS = range(4)
MORE_SEEDS = range(8)
#: When the mended part no longer crashes servers.
REPAIRED_S = 25.0


def draw_sound_parts(rng):
    """Parts of a sound request; the first is that of all requests."""
    return (
        _simulation.FIRST_PART,
        f"tools{rng.randrange(6)}",
        f"file{rng.randrange(40)}",
    )


def draw_distinct_parts(rng):
    """Parts of a sound request, of which others share only the first."""
    return (
        _simulation.FIRST_PART,
        f"file{rng.getrandbits(64)}",
        f"note{rng.getrandbits(64)}",
    )


def draw_culprit_parts(part, place, draw_parts, rng):
    """Parts of a sound request with another one put in."""
    parts = list(draw_parts(rng))
    parts.insert(place, part)
    return tuple(parts)


def start(
    seed,
    culprits,
    sound_rate=SOUND_RATE,
    draw_parts=draw_sound_parts,
    culprits_from_s=ONSET_S,
    **options,
):
    """Start a simulation.

    :param culprits: place by part that crashes servers.
    :param draw_parts: function that draws the parts of a sound request.
    :param culprits_from_s: when requests with these parts begin to come.
    """
    world = _simulation.Simulation(seed, **options)
    world.add_traffic(sound_rate, 0.0, END_S, draw_parts)
    for part, place in culprits.items():
        world.at(ONSET_S, world.start_crashing, part)
        draw = functools.partial(draw_culprit_parts, part, place, draw_parts)
        world.add_traffic(CULPRIT_RATE, culprits_from_s, END_S, draw)
    return world


def assert_few_late_arrivals(world, until_s=END_S):
    """Check the bound on requests that reach servers late."""
    for part in world.culprits:
        late = world.count_late_arrivals(part, until_s)
        assert late <= MAX_LATE_ARRIVALS


def assert_bounds(world):
    """Check the bounds on late arrivals and on sound requests."""
    assert_few_late_arrivals(world)
    usual = world.begun_share(0.0, ONSET_S)
    settled_s = 2 * _simulation.CONTACT_S + max(
        crashes[:5][-1] for crashes in world.crashes.values()
    )
    share = world.begun_share(settled_s, END_S)
    assert share >= MIN_USUAL_SHARE * usual


# Guards against a prompt part that crashes servers and is not refused, as no
# two requests with it are equal.
@pytest.mark.parametrize("place", [1, 2, 3])
def test_part_that_crashes_servers_is_refused_at_all_entry_vms(place):
    for seed in SEEDS:
        world = start(seed, {"culprit": place})
        world.run(END_S)
        assert_bounds(world)


# Guards against one of two crashing parts that explains the crashes of both.
def test_two_crashing_parts_are_both_refused():
    for seed in SEEDS:
        world = start(seed, {"culprit1": 1, "culprit2": 2})
        world.run(END_S)
        assert_bounds(world)


# Guards against blame for sound requests, many of which each crash ends.
def test_part_beside_many_sound_requests_is_refused():
    for seed in SEEDS:
        world = start(seed, {"culprit": 2}, sound_rate=250.0, servers=3)
        world.run(END_S)
        assert_bounds(world)


# Guards against blame for parts that no other request has, 20,000 a minute,
# which hides the part that all crashes share.
@pytest.mark.parametrize("place", [1, 3])
def test_part_beside_distinct_parts_is_refused(place):
    for seed in SEEDS:
        world = start(
            seed,
            {"culprit": place},
            sound_rate=333.0,
            draw_parts=draw_distinct_parts,
            servers=20,
        )
        world.run(END_S)
        assert_bounds(world)


# Guards against a part that was answered before it began to crash servers,
# while parts that happen to run beside it are blamed.
@pytest.mark.parametrize("servers", [6, 3])
@pytest.mark.parametrize("count", [1, 2])
def test_part_that_was_sound_before_is_refused(count, servers):
    for seed in MORE_SEEDS:
        culprits = {f"culprit{number}": 1 for number in range(count)}
        world = start(seed, culprits, culprits_from_s=0.0, servers=servers)
        world.run(END_S)
        assert_bounds(world)


# Guards against a part whose broken answers look complete, as they end with
# their connections.
def test_part_whose_broken_answers_look_complete_is_refused():
    for seed in SEEDS:
        world = start(seed, {"culprit": 2}, is_unframed=True)
        world.run(END_S)
        assert_bounds(world)


# Guards against crash reports that count only if they come in order and once.
def test_late_doubled_and_lost_reports_do_not_matter():
    for seed in SEEDS:
        world = start(
            seed, {"culprit": 1}, loss=0.3, doubling=0.3, lateness=0.3
        )
        world.run(END_S)
        assert_bounds(world)


# Guards against an entry VM that restarts or was cut off and never learns
# which part is refused.
def test_entry_vm_learns_after_a_restart_or_partition():
    for seed in SEEDS:
        world = start(seed, {"culprit": 1})
        world.at(ONSET_S, world.cut_off, world.entries["e1"], 15.0)
        world.at(20.0, world.stop_entry, world.entries["e2"], 2.0)
        world.run(END_S)
        assert_bounds(world)


# Guards against a part that stays refused after its fault was repaired.
def test_part_that_no_longer_crashes_servers_is_served_again():
    for seed in SEEDS:
        world = start(seed, {"culprit": 1})
        world.at(REPAIRED_S, world.crashing.discard, "culprit")
        world.run(END_S)
        served = [
            request
            for request in world.requests
            if request.has_any({"culprit"})
            and END_S - 5.0 < request.sent_s < END_S - 1.0
        ]
        assert served
        assert all(request.has_begun_first for request in served)
        assert_few_late_arrivals(world, REPAIRED_S)


def crash_all(world):
    """End all servers at once."""
    for server in world.servers:
        world.crash(server)


def crash_half(world):
    """End every other server at once."""
    for server in world.servers[::2]:
        world.crash(server)


def release(world):
    """End one server after the other."""
    for number, server in enumerate(world.servers):
        world.at(world.now_s + 1.0 * number, world.crash, server)


def reset_all(world):
    """Reset the connections of one server after the other."""
    for number, server in enumerate(world.servers * 2):
        world.at(world.now_s + 0.7 * number, world.reset, server)


# Guards against blame for requests that run when servers crash for other
# reasons.
@pytest.mark.parametrize(
    "disrupt", [crash_all, crash_half, release, reset_all]
)
def test_other_crashes_leave_nothing_refused(disrupt):
    for seed in SEEDS:
        world = start(seed, {})
        for time_s in (12.0, 24.0):
            world.at(time_s, disrupt, world)
        world.run(END_S)
        refused = [r for r in world.requests if r.outcome == "refused"]
        assert [r for r in refused if r.sent_s > 50.0] == []
        assert len(refused) <= 0.01 * len(world.requests)
