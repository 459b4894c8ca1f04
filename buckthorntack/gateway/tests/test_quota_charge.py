"""Cost of requests, and charges that are shared with other entry VMs."""

import random
from types import SimpleNamespace

import pytest

from buckthorntack import admission
from buckthorntack import directives
from buckthorntack import dispatch
from buckthorntack.gateway import _authorisation
from buckthorntack.gateway import _quota_charge
from buckthorntack.schema import messages

TOKENS = directives.Quota(directives.QuotaUnit.TOKENS, 1_000.0, 500.0, 70.0)
REQUESTS = directives.Quota(directives.QuotaUnit.REQUESTS, 2.0, 5.0, 70.0)


def prompt(tokens, output_tokens):
    return dispatch.Prompt((), tokens, output_tokens)


@pytest.mark.parametrize(
    ("quota", "counted", "cost"),
    [
        (TOKENS, prompt(100, 20), 120.0),
        (TOKENS, None, 70.0),
        # Guards against a forged count that gives tokens back.
        (TOKENS, prompt(-1_000, 20), 70.0),
        (TOKENS, prompt(0, 0), 70.0),
        (REQUESTS, prompt(100, 20), 1.0),
        (REQUESTS, None, 1.0),
    ],
)
def test_cost_of_a_request(quota, counted, cost):
    assert _quota_charge.compute_cost(quota, counted) == cost


class _EntryVM:
    def __init__(self, quota):
        self.organisation = directives.Organisation(
            "depot", frozenset("k"), quota=quota
        )
        self.sums = dispatch.UsageExchange(
            dispatch.Fleet(dispatch.DispatchSettings()), "vm", "a"
        ).organisations
        settings = SimpleNamespace(
            region="north",
            regions={"a": "north"},
            quota_tolerance=admission.QuotaTolerance(8.0, 0.0, 0.0),
        )
        self.charger = _quota_charge.QuotaCharger(
            settings,
            {"depot": self.organisation}.get,
            self.sums,
            random.Random(1),
            0.0,
        )

    def charge(self, counted=None):
        caller = _authorisation.Caller(self.organisation)
        return self.charger.charge(caller, counted, 100.0)


@pytest.mark.parametrize("caller", [None, _authorisation.Caller(None)])
def test_caller_without_organisation_is_not_charged(caller):
    vm = _EntryVM(TOKENS)
    assert vm.charger.charge(caller, None, 100.0).ok is None
    assert vm.sums.take_own_updates() == []


def test_organisation_without_quota_is_not_charged():
    vm = _EntryVM(None)
    assert vm.charge().ok is None
    assert vm.sums.take_own_updates() == []


def test_charges_and_refusals_are_told_to_others():
    vm = _EntryVM(TOKENS)
    assert vm.charge(prompt(400, 50)).is_ok()
    refused = [vm.charge(prompt(400, 50)) for _ in range(20)][-1].error
    assert refused.status == 429
    assert refused.retry_after_ms > 0
    [use] = vm.sums.take_own_updates()
    assert use.requested == 21 * 450.0
    assert use.admitted < use.requested


def test_refund_is_told_to_others():
    vm = _EntryVM(TOKENS)
    vm.charger.refund(vm.charge(prompt(400, 50)).ok, 100.0)
    assert vm.sums.take_own_updates() == [
        messages.OrganisationUse("depot", 0.0, 450.0)
    ]
