"""Servers that fall over if they have to reject requests."""

import itertools

import pytest

from buckthorntack import dispatch
from buckthorntack.dispatch import _shared_room
from buckthorntack.dispatch.tests import _world

SERVER = "s1"


def make_rooms(count):
    names = [f"e{number}" for number in range(count)]
    return {name: _shared_room.SharedRoom(name, 0.1) for name in names}


# Guards against entry VMs that each find the same free slots: none knows of
# the others' requests before the next report.
@pytest.mark.parametrize("entries", [1, 3, 8, 20])
@pytest.mark.parametrize("slots", [4, 12, 64])
@pytest.mark.parametrize("rounds", [1, 3])
def test_requests_that_cross_find_room(entries, slots, rounds):
    rooms = make_rooms(entries)
    sent = dict.fromkeys(rooms, 0)
    for _ in range(rounds):
        present = sum(sent.values())
        before = dict(sent)
        for name in itertools.chain(*[rooms] * slots):
            own = sent[name]
            room = _shared_room.Room(
                slots, present + own - before[name], own, False
            )
            if rooms[name].may_send(SERVER, room, list(rooms), 1.0):
                rooms[name].on_request_sent(SERVER, 1.0)
                sent[name] += 1
        for room in rooms.values():
            room.remove_server(SERVER)
    assert sum(sent.values()) <= slots
    assert sum(sent.values()) >= slots / 3


def test_server_that_rejected_a_request_gets_none():
    room = _shared_room.Room(12, 0, 0, True)
    assert not make_rooms(1)["e0"].may_send(SERVER, room, ["e0"], 1.0)


def test_rejection_holds_at_all_entry_vms_for_a_while():
    here, there = dispatch.ServerLimits(), dispatch.ServerLimits()
    here.on_answer(SERVER, 5, None, 1.0, 2.0, rejections_per_s=3.0)
    there.merge(here.list_statements(), 2.1)
    assert there.is_brittle(SERVER)
    assert not there.is_held(SERVER, 2.2)
    assert here.on_rejection(SERVER, 3.0)
    assert there.merge(here.list_statements(), 3.1)
    assert there.is_held(SERVER, 3.2)
    assert not there.is_held(SERVER, 4.2)


def test_rejection_of_a_sound_server_is_no_news():
    limits = dispatch.ServerLimits()
    assert not limits.on_rejection(SERVER, 1.0)
    assert limits.list_statements() == []


@pytest.mark.parametrize("most", [0.0, 0.5, 4.0])
def test_brittleness_ends_with_an_answer_that_does_not_name_it(most):
    limits = dispatch.ServerLimits()
    limits.on_answer(SERVER, 5, None, 1.0, 2.0, rejections_per_s=most)
    limits.on_answer(SERVER, 5, None, 1.9, 2.5)
    assert limits.is_brittle(SERVER)
    limits.on_answer(SERVER, 5, None, 2.1, 2.6)
    assert not limits.is_brittle(SERVER)


# Guards against a server that falls over again as soon as it is back.
def test_server_that_is_back_is_brittle_until_it_says_otherwise():
    limits = dispatch.ServerLimits()
    limits.on_answer(SERVER, 5, 1.0, 1.0, 2.0, rejections_per_s=3.0)
    assert limits.is_brittle(SERVER)
    assert limits.per_s(SERVER, 6) is None
    limits.on_answer(SERVER, 6, None, 9.0, 9.1)
    assert not limits.is_brittle(SERVER)


# Guards against a limit that ends as the server says that it is brittle.
def test_limit_and_brittleness_hold_side_by_side():
    limits = dispatch.ServerLimits()
    limits.on_answer(SERVER, 5, 2.0, 1.0, 2.0)
    limits.on_answer(SERVER, 5, 2.0, 3.0, 4.0, rejections_per_s=1.0)
    assert limits.per_s(SERVER, 5) == 2.0
    assert limits.rejections_per_s(SERVER) == 1.0


# Guards against a retry that wanders over all brittle servers.
def test_request_is_refused_if_no_brittle_server_has_known_room():
    world = _world.World()
    for name in ("a", "b"):
        world.add_server(name, slots=2)
        world.fleet.limits.on_answer(
            name, 1000, None, 1.0, world.now_s, rejections_per_s=1.0
        )
    request = world.make_request()
    for _ in range(4):
        world.send(request)
    decision = world.choose(request)
    assert isinstance(decision, dispatch.Refuse)
    assert decision.reason == "none takes more"
