"""Tests of configuration validation, route lookup and version order."""

import datetime

from hypothesis import given
from hypothesis import strategies as st
import pytest

from buckthorntack import directives
from buckthorntack import schema
from buckthorntack.directives.tests import _documents
from buckthorntack.schema import messages

ROUTE = _documents.route()


@pytest.mark.parametrize(
    ("route", "finding"),
    [
        (ROUTE._replace(splits=()), "names no service"),
        (
            ROUTE._replace(splits=(directives.Split("gone", 1.0),)),
            "unknown service gone",
        ),
        (
            ROUTE._replace(splits=(directives.Split("text", 0.0),)),
            "add up to 0",
        ),
        (
            ROUTE._replace(
                splits=(
                    directives.Split("text", 2.0),
                    directives.Split("desk", -1.0),
                )
            ),
            "below 0",
        ),
        (ROUTE._replace(timeout=datetime.timedelta()), "no timeout"),
        (ROUTE._replace(max_attempts=0), "no attempt"),
        (ROUTE._replace(path_prefix="/a"), "slashes"),
    ],
)
def test_faults_are_found(route, finding):
    checked = directives.validate(_documents.configuration(route))
    assert finding in checked.error.detail


def test_sound_configuration_passes():
    configuration = _documents.configuration()
    assert directives.validate(configuration).ok is configuration


def test_routes_that_share_a_place_are_refused():
    routes = [_documents.route("r1"), _documents.route("r2")]
    checked = directives.validate(_documents.configuration(*routes))
    assert "share a.example/a/" in checked.error.detail


def test_all_faults_are_told():
    bad = ROUTE._replace(timeout=datetime.timedelta(), max_attempts=0)
    detail = directives.validate(_documents.configuration(bad)).error.detail
    assert "no timeout" in detail
    assert "no attempt" in detail


def test_longest_prefix_wins():
    table = directives.RouteTable(
        _documents.configuration(
            _documents.route("short", "/a/"),
            _documents.route("long", "/a/b/"),
        )
    )
    assert table.find_route("a.example", "/a/b/c").name == "long"
    assert table.find_route("A.example:80", "/a/bc").name == "short"
    assert table.find_route("a.example", "/ab/") is None
    assert table.find_route("b.example", "/a/b/c") is None


def test_route_of_all_paths():
    table = directives.RouteTable(
        _documents.configuration(_documents.route("all", "/"))
    )
    assert table.find_route("a.example", "/x").name == "all"


def apply(machine, index, command):
    data = directives.encode_command(command)
    return machine.apply(index, data)


def publish(version, content=b"c"):
    return messages.PublishVersion(version, content)


def test_older_version_changes_nothing():
    machine = directives.DirectivesMachine()
    apply(machine, 1, publish(7, b"seven"))
    outcome = apply(machine, 2, publish(5, b"five"))
    assert (outcome.version, outcome.changed) == (7, False)
    assert machine.directives.content == b"seven"
    assert machine.directives.index == 1


def test_other_content_under_the_held_version_changes_nothing():
    machine = directives.DirectivesMachine()
    apply(machine, 1, publish(7, b"seven"))
    apply(machine, 2, publish(7, b"other"))
    assert machine.directives.content == b"seven"


def test_evacuation_and_its_end():
    machine = directives.DirectivesMachine()
    seen = []
    machine.on_change = seen.append
    apply(machine, 1, messages.EvacuateDomain("b", True))
    apply(machine, 2, messages.EvacuateDomain("a", True))
    apply(machine, 3, messages.EvacuateDomain("a", True))
    assert machine.directives.evacuated == ["a", "b"]
    apply(machine, 4, messages.EvacuateDomain("b", False))
    assert machine.directives.evacuated == ["a"]
    assert [directives.index for directives in seen] == [1, 2, 4]


# Guards against orders that are applied after newer ones, also after one that
# changed nothing, and after a snapshot.
def test_order_that_newer_ones_overtook_has_no_effect():
    machine = directives.DirectivesMachine()
    apply(machine, 4, messages.OrderEvacuation("a", True, 0))
    apply(machine, 5, messages.OrderEvacuation("b", True, 0))
    based_on = machine.last_order_index("a")
    apply(machine, 6, messages.OrderEvacuation("a", True, based_on))
    restored = directives.DirectivesMachine()
    restored.restore(machine.snapshot())
    for state in (machine, restored):
        late = messages.OrderEvacuation("a", False, based_on)
        outcome = apply(state, 7, late)
        assert outcome.overtaken and not outcome.changed
        assert state.directives.evacuated == ["a", "b"]
        based_on_newest = state.last_order_index("a")
        again = messages.OrderEvacuation("a", False, based_on_newest)
        outcome = apply(state, 8, again)
        assert outcome.changed and not outcome.overtaken
        assert state.directives.evacuated == ["b"]


# Guards against states that differ: a control VM may have restored a snapshot
# of a build that tracks no orders.
def test_orders_of_older_builds_are_tracked_once_all_can():
    machine = directives.DirectivesMachine()
    apply(machine, 1, messages.EvacuateDomain("a", True))
    assert machine.last_order_index("a") == 0
    name, _ = schema.split(machine.snapshot())
    assert bytes(name) == b"Directives"
    apply(machine, 2, messages.OrderEvacuation("b", True, 0))
    apply(machine, 3, messages.EvacuateDomain("a", False))
    assert machine.last_order_index("a") == 3
    assert apply(machine, 4, messages.OrderEvacuation("a", True, 0)).overtaken


@given(st.lists(st.tuples(st.integers(0, 5), st.binary(max_size=2))))
def test_highest_version_is_in_force_whatever_the_order(commands):
    machine = directives.DirectivesMachine()
    first = {}
    for index, (version, content) in enumerate(commands):
        first.setdefault(version, content)
        before = machine.directives.version
        apply(machine, index, publish(version, content))
        assert machine.directives.version >= before
    if commands:
        highest = max(version for version, _ in commands)
        assert machine.directives.version == highest
        assert machine.directives.content == first[highest]


def test_snapshot_restores_all():
    machine = directives.DirectivesMachine()
    apply(machine, 1, publish(7, b"seven"))
    apply(machine, 2, messages.EvacuateDomain("a", True))
    other = directives.DirectivesMachine()
    other.restore(machine.snapshot())
    assert other.directives == machine.directives


# Retries went on by the route of an older configuration and could reach
# regions that a newer one had taken from it.
@pytest.mark.parametrize(
    ("accepted", "current", "allowed"),
    [
        ("", "", ""),
        ("ab", "", "ab"),
        ("", "ab", "ab"),
        ("ab", "bc", "b"),
        ("a", "b", None),
    ],
)
def test_regions_that_a_newer_configuration_takes_are_not_used(
    accepted, current, allowed
):
    old = _documents.route(allowed_regions=frozenset(accepted))
    new = _documents.route(allowed_regions=frozenset(current))
    table = directives.RouteTable(_documents.configuration(new, version=2))
    narrowed = table.narrow_route(old)
    if allowed is None:
        assert narrowed is None
    else:
        assert narrowed == old._replace(allowed_regions=frozenset(allowed))


def test_route_that_was_removed_keeps_its_regions():
    old = _documents.route("gone", "/gone/", allowed_regions=frozenset("a"))
    table = directives.RouteTable(_documents.configuration(version=2))
    assert table.narrow_route(old) == old
