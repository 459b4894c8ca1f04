"""Mutation tests: the fault tests must fail for broken membership code."""

import hypothesis
from hypothesis import stateful
import pytest

from buckthorntack.membership import _antientropy
from buckthorntack.membership import _deltas
from buckthorntack.membership import _servers
from buckthorntack.membership import _tombstones
from buckthorntack.membership import _view
from buckthorntack.membership.tests import test_faults
from buckthorntack.membership.tests import test_machine
from buckthorntack.membership.tests import test_view


def age_ignored(lease_ms, age_ms):
    return lease_ms


def announcement_age_ignored(view, document):
    return 0


def always_newer(tombstones, key, incarnation, sequence):
    return True


def order_ignored(held):
    return (0, 0)


def expired_listed(table, now_ms):
    return [held.record_at(now_ms) for held in table.held_servers()]


def nothing(*_):
    return False


def late_announcement():
    test_faults.test_late_announcement_brings_nothing_back("e5")


def server_crash():
    test_faults.test_crashed_server_gets_no_new_work(0)


def renewals():
    test_view.test_renewed_server_stays()


@pytest.mark.parametrize(
    ("owner", "name", "variant", "scenario"),
    [
        (
            _deltas,
            "lease_left_ms",
            age_ignored,
            test_faults.test_messages_held_up_do_not_extend_the_lease,
        ),
        (
            _view.MembershipView,
            "_announcement_age_ms",
            announcement_age_ignored,
            test_faults.test_late_announcement_with_echo_gets_no_lease,
        ),
        (
            _tombstones.TombstoneTable,
            "is_newer",
            always_newer,
            late_announcement,
        ),
        (
            _servers.HeldServer,
            "version",
            property(order_ignored),
            test_faults.test_server_with_lower_incarnation_is_refused,
        ),
        (
            _servers.ServerTable,
            "live_records",
            expired_listed,
            server_crash,
        ),
        (
            _deltas.DeltaGossip,
            "_is_renewable",
            nothing,
            renewals,
        ),
        (
            _antientropy.AntiEntropy,
            "_pull_expiring",
            nothing,
            test_faults.test_one_way_cut_is_healed_through_others,
        ),
    ],
)
def test_broken_variant_is_caught(owner, name, variant, scenario, monkeypatch):
    scenario()
    monkeypatch.setattr(owner, name, variant)
    with pytest.raises(AssertionError):
        scenario()


MACHINE_SETTINGS = hypothesis.settings(
    test_machine.TestMembershipMachine.settings,
    max_examples=60,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)


@pytest.mark.parametrize(
    ("owner", "name", "variant"),
    [
        (_servers.ServerTable, "live_records", expired_listed),
        (_deltas.DeltaGossip, "_is_renewable", nothing),
    ],
)
def test_state_machine_catches_variant(owner, name, variant, monkeypatch):
    monkeypatch.setattr(owner, name, variant)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            test_machine.MembershipMachine, settings=MACHINE_SETTINGS
        )
