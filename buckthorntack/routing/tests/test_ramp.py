"""Tests of the slow start of servers and failure domains."""

import random

import pytest

from buckthorntack import routing
from buckthorntack.routing.tests import _records

at = _records.seconds


@pytest.fixture
def router():
    settings = routing.RouterSettings()
    return routing.Router("fukuoka", "fukuoka-a", settings, random.Random(1))


def ramp_share(router, now):
    decision = router.choose(_records.request(), at(now)).ok
    return decision.reasons.ramp_share


def test_a_server_is_ramped_when_first_seen_until_it_is_warm(router):
    for second in range(100, 121):
        record = _records.server("s1", sequence=second)
        router.update_server(record, at(second))
        if second == 100:
            assert ramp_share(router, 100.1) < 1.0
    assert ramp_share(router, 120.1) == 1.0


def test_a_server_whose_lease_ran_out_is_ramped_also_at_the_start(router):
    router.update_server(_records.server("s1"), at(100))
    router.update_server(_records.server("s1", sequence=2), at(105))
    assert ramp_share(router, 105.1) < 1.0


def test_a_restarted_server_is_ramped_also_at_the_start(router):
    router.update_server(_records.server("s1"), at(100))
    router.update_server(_records.server("s1", incarnation=2), at(100.5))
    assert ramp_share(router, 100.6) < 1.0


def test_a_new_domain_is_not_ramped_and_one_that_returns_is(router):
    router.update_summary(_records.summary("kumamoto"), at(100))
    assert ramp_share(router, 100.1) == 1.0
    router.update_summary(_records.summary("kumamoto", sequence=2), at(110))
    assert ramp_share(router, 110.1) < 1.0
