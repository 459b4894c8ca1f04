"""Tests of the directory of entry VMs and of residency in its answers."""

import datetime
import itertools
import random

import logbook
import pytest

from buckthorntack import clock
from buckthorntack import gateway
from buckthorntack.directives.tests import _documents
from buckthorntack.discovery.tests import _records
from buckthorntack.gateway import _following
from buckthorntack.platform import _dialect

REGION_OF_DOMAIN = {"a1": "alpha", "b1": "beta", "c1": "gamma"}
HOME_HOST = "home.example"
OPEN_HOST = "open.example"
SPLIT_HOST = "split.example"
HOMES = frozenset({"alpha", "beta"})
#: States of another entry VM; None if it is not known.
STATES = ("ready", "starting", "stopping", "gone", "silent", None)


class _NoLinks:
    """Links that drop all messages."""

    def set_address(self, node_id, address):
        pass

    def send(self, node_id, message):
        pass


def _route(name, host, *regions):
    return _documents.route(
        name, f"/{name}/", host=host, allowed_regions=frozenset(regions)
    )


def _configuration():
    return _documents.configuration(
        _route("home", HOME_HOST, *HOMES),
        _route("plain", HOME_HOST),
        _route("open", OPEN_HOST),
        _route("both", SPLIT_HOST, *HOMES),
        _route("one", SPLIT_HOST, "alpha"),
        _route("other", SPLIT_HOST, "beta"),
    )


def _entry_node(state, configuration):
    """Entry VM of region alpha that has not opened any socket."""
    settings = gateway.NodeSettings(
        role="entry",
        node_name="alpha-1",
        region="alpha",
        failure_domain="a1",
        regions=REGION_OF_DOMAIN,
        ip_address="10.1.0.1",
        service_address="10.1.0.1:80",
        readiness_address="",
        directory_address="",
        link_port=7300,
        forward_port=7301,
        metrics_port=0,
        seeds=(),
        is_first_start=False,
        data_folder="",
        announcement_period=datetime.timedelta(seconds=1.2),
        tolerated_losses=1,
        repeat_ratio=0.2,
        repeat_slack=50.0,
        directory_ttl=datetime.timedelta(seconds=5),
        stop_grace=datetime.timedelta(seconds=8),
    )
    node = gateway.EntryNode(
        settings,
        _dialect.PlatformDialect(),
        clock.ManualClock(),
        random.Random(4),
        lambda node: {},
    )
    node.following = _following.FollowingTask(
        settings,
        node.shared_state,
        _NoLinks(),
        node.timing,
        node.clock,
        node.rng,
    )
    node.following.set_state(state)
    if configuration is not None:
        node.shared_state.apply_directives(1, configuration, ())
    return node


def _add_peer(node, address, domain, state):
    if state is None:
        return
    record = _records.node(
        address,
        state="ready" if state == "silent" else state,
        silent=state == "silent",
        failure_domain=domain,
        region=REGION_OF_DOMAIN[domain],
    )
    node.registry.merge_node(record, node.clock.monotonic())


def _add_remote_peers(node):
    _add_peer(node, "10.2.0.1:80", "b1", "ready")
    _add_peer(node, "10.3.0.1:80", "c1", "ready")


# Callers were led to regions outside their homes by an entry VM that had just
# started and read its missing configuration as one without homes.
def test_unknown_home_regions_are_not_taken_for_all_regions():
    node = _entry_node("starting", None)
    _add_remote_peers(node)
    assert node.directory(HOME_HOST, "alpha", "a1") == []


def test_entry_vm_without_configuration_names_those_of_the_region():
    node = _entry_node("starting", None)
    _add_remote_peers(node)
    _add_peer(node, "10.1.0.2:80", "a1", "ready")
    assert node.directory(HOME_HOST, "alpha", "a1") == ["10.1.0.2:80"]


# Callers of a host that only a newer configuration has were led to any region,
# as their homes are not known either.
def test_host_without_routes_is_not_taken_for_one_without_homes():
    node = _entry_node("stopping", _configuration())
    _add_remote_peers(node)
    assert node.directory("new.example", "alpha", "a1") == []


# Callers were led to regions that are home to none of their routes, as routes
# of one host without a common home region were read as routes without homes.
def test_routes_without_a_common_home_region_are_not_taken_for_unrestricted():
    node = _entry_node("stopping", _configuration())
    _add_remote_peers(node)
    assert node.directory(SPLIT_HOST, "alpha", "a1") == ["10.2.0.1:80"]


def test_host_without_home_regions_may_be_served_anywhere():
    node = _entry_node("stopping", _configuration())
    _add_remote_peers(node)
    named = node.directory(OPEN_HOST, "alpha", "a1")
    assert sorted(named) == ["10.2.0.1:80", "10.3.0.1:80"]


def test_home_regions_serve_if_the_region_has_no_ready_entry_vm():
    node = _entry_node("stopping", _configuration())
    _add_remote_peers(node)
    assert node.directory(HOME_HOST, "alpha", "a1") == ["10.2.0.1:80"]


# Planned stops that follow each other faster than a start takes left a region
# without a ready entry VM, whatever the others of it and of the homes did.
@pytest.mark.parametrize("own_state", ["ready", "starting", "stopping"])
@pytest.mark.parametrize("is_configured", [False, True])
@pytest.mark.parametrize("host", [HOME_HOST, SPLIT_HOST])
def test_no_state_of_the_entry_vms_leads_callers_out_of_their_homes(
    own_state, is_configured, host
):
    outside = {"10.3.0.1:80", "10.3.0.2:80"}
    led_outside = []
    for states in itertools.product(STATES, repeat=3):
        node = _entry_node(
            own_state, _configuration() if is_configured else None
        )
        _add_peer(node, "10.1.0.2:80", "a1", states[0])
        _add_peer(node, "10.2.0.1:80", "b1", states[1])
        _add_peer(node, "10.2.0.2:80", "b1", states[2])
        for address in outside:
            _add_peer(node, address, "c1", "ready")
        if outside & set(node.directory(host, "alpha", "a1")):
            led_outside.append(states)
    assert led_outside == []


# Operators could not see that the directory led callers to other regions, nor
# what the answering entry VM knew.
def test_answers_beyond_the_region_are_logged_once_for_each_host():
    node = _entry_node("stopping", _configuration())
    _add_remote_peers(node)
    with logbook.TestHandler().applicationbound() as written:
        for host in (HOME_HOST, OPEN_HOST, HOME_HOST, OPEN_HOST):
            node.directory(host, "alpha", "a1")
    widened = [
        record.extra
        for record in written.records
        if record.extra["name"] == "directory_widened"
    ]
    assert [(e["host"], e["scope"], e["version"]) for e in widened] == [
        (HOME_HOST, "home_regions", 1),
        (OPEN_HOST, "all_regions", 1),
    ]
    assert widened[0]["home_regions"] == ["alpha", "beta"]
    answers = node.metrics_registry.get_sample_value(
        "gateway_directory_answers_total", {"scope": "home_regions"}
    )
    assert answers == 2
