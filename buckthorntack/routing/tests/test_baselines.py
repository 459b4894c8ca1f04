"""Tests of the baseline routing policies."""

import inspect
import random

import pytest

from buckthorntack import routing
from buckthorntack.routing.tests import _records

POLICIES = (
    routing.RandomPolicy,
    routing.RoundRobinPolicy,
    routing.LeastLoadedPolicy,
)


def make_policy(kind):
    return kind("fukuoka", "fukuoka-a", random.Random(1))


@pytest.mark.parametrize("kind", POLICIES)
def test_has_the_routers_methods(kind):
    for name, method in inspect.getmembers(routing.Router, callable):
        if name.startswith("_"):
            continue
        other = inspect.signature(getattr(kind, name))
        assert list(other.parameters) == list(
            inspect.signature(method).parameters
        )


@pytest.mark.parametrize("kind", POLICIES)
def test_uses_all_servers_and_forwards_only_without_any(kind):
    policy = make_policy(kind)
    now = _records.seconds(0)
    policy.update_summary(_records.summary("kumamoto"), now)
    forwarded = policy.choose(_records.request(), now).ok
    assert forwarded.region == "kumamoto"
    for name in ("s1", "s2", "s3"):
        policy.update_server(_records.server(name, slots=64), now)
    policy.update_server(_records.server("s4", state="draining"), now)
    names = set()
    for number in range(30):
        name = policy.choose(_records.request(), now).ok.server_id
        policy.on_attempt_started(name, number, 100, now)
        names.add(name)
    assert names == {"s1", "s2", "s3"}
    later = _records.seconds(5)
    assert policy.choose(_records.request(), later).is_error()


def test_least_loaded_forwards_what_no_slot_here_can_take():
    policy = make_policy(routing.LeastLoadedPolicy)
    now = _records.seconds(0)
    policy.update_summary(_records.summary("kumamoto"), now)
    policy.update_server(_records.server("s1", slots=2), now)
    for number in range(2):
        assert policy.choose(_records.request(), now).ok.server_id == "s1"
        policy.on_attempt_started("s1", number, 100, now)
    assert policy.choose(_records.request(), now).ok.region == "kumamoto"
    policy.on_attempt_finished("s1", 0, "ok", now)
    assert policy.choose(_records.request(), now).ok.server_id == "s1"


def test_least_loaded_takes_the_least_loaded():
    policy = make_policy(routing.LeastLoadedPolicy)
    now = _records.seconds(0)
    policy.update_server(_records.server("s1", running=3), now)
    policy.update_server(_records.server("s2", running=2), now)
    assert policy.choose(_records.request(), now).ok.server_id == "s2"
