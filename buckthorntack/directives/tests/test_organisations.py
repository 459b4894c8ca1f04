"""Organisations of a configuration: checks, keys and homes."""

import pytest

from buckthorntack import directives
from buckthorntack.directives.tests import _documents


def organisation(name, *keys, **fields):
    return directives.Organisation(name, frozenset(keys), **fields)


def validated(*organisations):
    configuration = _documents.configuration()
    return directives.validate(
        configuration._replace(organisations=organisations)
    )


def test_shared_key_is_refused_without_naming_it():
    result = validated(
        organisation("a", "secret"), organisation("b", "secret")
    )
    assert "a and b share a key" in result.error.detail
    assert "secret" not in result.error.detail


def test_same_name_is_refused():
    result = validated(organisation("a", "1"), organisation("a", "2"))
    assert "2 organisations are named a" in result.error.detail


def test_quota_below_zero_is_refused():
    quota = directives.Quota(directives.QuotaUnit.TOKENS, -1.0, 0.0)
    result = validated(organisation("a", "1", quota=quota))
    assert "quota of a" in result.error.detail


def test_organisations_without_conflict_are_accepted():
    assert validated(organisation("a", "1", "2"), organisation("b")).is_ok()


@pytest.mark.parametrize(
    ("route_regions", "own_regions", "expected"),
    [
        ((), (), frozenset()),
        (("n", "s"), (), {"n", "s"}),
        ((), ("n",), {"n"}),
        (("n", "s"), ("n", "w"), {"n"}),
        (("n",), ("s",), None),
    ],
)
def test_homes_of_route_and_organisation_both_bind(
    route_regions, own_regions, expected
):
    route = _documents.route(allowed_regions=frozenset(route_regions))
    allowed = directives.restrict_to_organisation(
        route, organisation("a", allowed_regions=frozenset(own_regions))
    )
    found = None if allowed is None else allowed.allowed_regions
    assert found == expected
