"""Load: requests of organisations, as summed over all entry VMs."""

from buckthorntack import directives
from buckthorntack import dispatch
from buckthorntack.dispatch import _organisation_shares
from buckthorntack.schema import messages

ORGANISATIONS = [
    directives.Organisation(
        name,
        frozenset(),
        quota=directives.Quota(directives.QuotaUnit.TOKENS, rate, 0.0),
    )
    for name, rate in (("a", 100.0), ("b", 10.0), ("c", 1000.0))
]


def _shares(amounts, now_s=5.0):
    shares = dispatch.OrganisationShares()
    shares.set_organisations(ORGANISATIONS)
    shares.on_local_updates(
        [
            messages.OrganisationUse(name, 0.0, amount)
            for name, amount in amounts.items()
        ],
        now_s,
    )
    return shares


def test_shares_follow_the_quotas():
    shares = _shares({"a": 200.0, "b": 20.0, "c": 2000.0})
    assert [shares.fair_share(name, 5.0) for name in "abc"] == [1.0] * 3


def test_a_flood_has_its_share_and_no_other_one():
    shares = _shares({"a": 700.0, "b": 10.0, "c": 1000.0})
    share = shares.fair_share("a", 5.0)
    assert _organisation_shares.LEAST_SHARE <= share < 0.5
    assert shares.fair_share("b", 5.0) == 1.0


# Guards against limits that outlast the reports they came from.
def test_nothing_is_limited_without_reports():
    shares = _shares({"a": 700.0, "b": 10.0, "c": 1000.0})
    assert shares.fair_share("a", 8.0) == 1.0


def test_unknown_organisations_take_no_memory():
    shares = _shares({f"x{number}": 1.0 for number in range(1000)})
    assert not shares._sums
    shares = _shares({"a": 1.0})
    shares.set_organisations([])
    assert not shares._sums


# Guards against organisations that count as a flood beside many idle ones.
def test_idle_organisations_do_not_count():
    shares = _shares({"a": 1.0, "b": 0.1, "c": 10.0})
    later = [
        messages.OrganisationUse("a", 0.0, 100.0),
        messages.OrganisationUse("b", 0.0, 10.0),
    ]
    shares.on_local_updates(later, 15.0)
    assert shares.fair_share("a", 15.0) == 1.0
    assert len(shares._sums) == 2


def test_sums_decay():
    shares = _shares({"a": 700.0, "b": 10.0, "c": 1000.0})
    share = shares.fair_share("a", 5.0)
    for step in range(1, 40):
        now_s = 5.0 + step * 0.25
        updates = [
            messages.OrganisationUse(name, 0.0, rate / 4)
            for name, rate in (("a", 100.0), ("b", 10.0), ("c", 1000.0))
        ]
        shares.on_local_updates(updates, now_s)
        assert shares.fair_share("a", now_s) >= share
        share = shares.fair_share("a", now_s)
    assert share == 1.0
