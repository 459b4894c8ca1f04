"""Control VMs to which backend servers announce themselves."""

import collections

from buckthorntack import discovery
from buckthorntack.discovery.tests import test_versions
from buckthorntack.schema import messages


def control(node_id, region, silent=False):
    return test_versions.presence(node_id, 1, role="control")._replace(
        region=region, failure_domain=f"{region}-a", silent=silent
    )


def server(number, domain="east-a"):
    return messages.AnnouncedServer(
        f"s{number}", 1, 2, "ready", "x", "a", domain, domain[:-2], 4, 0, -1,
        False, "v",
    )  # fmt: skip


def test_nearest_control_vm_takes_announcements():
    controls = [control("a", "west"), control("b", "east")]
    assert discovery.choose_registrar(server(1), controls).node_id == "b"
    other_domain = server(1, "east-b")
    assert discovery.choose_registrar(other_domain, controls).node_id == "b"
    assert discovery.choose_registrar(server(1), controls[:1]).node_id == "a"
    assert discovery.choose_registrar(server(1), []) is None


def test_servers_spread_and_few_move_when_one_is_lost():
    controls = [control(name, "east") for name in "abc"]
    before = [
        discovery.choose_registrar(server(n), controls).node_id
        for n in range(300)
    ]
    assert min(collections.Counter(before).values()) > 70
    after = [
        discovery.choose_registrar(server(n), controls[:2]).node_id
        for n in range(300)
    ]
    moved = [
        one for one, other in zip(before, after, strict=True) if one != other
    ]
    assert set(moved) == {"c"}


def test_control_vm_that_hears_less_than_half_is_cut_off():
    controls = [control(name, "east", name > "b") for name in "abcde"]
    assert discovery.is_cut_off("a", controls)
    assert not discovery.is_cut_off("c", controls)
    assert not discovery.is_cut_off("a", controls[:4])
    assert not discovery.is_cut_off("a", [])
