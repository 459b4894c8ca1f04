"""Limits that servers name in their announcements, over all entry VMs."""

import random

import pytest

from buckthorntack import routing
from buckthorntack.entry import _server_limiter
from buckthorntack.membership import _deltas
from buckthorntack.routing.tests import _records

WINDOW_S = 4.0
STEP_S = 0.05
LENGTH_S = 30.0
#: Longer than a test.
LEASE_MS = 100_000


def _make_router(name, names):
    limiter = _server_limiter.ServerLimiter(name)
    limiter.set_entry_vms(names)
    return routing.Router(
        "fukuoka",
        "fukuoka-a",
        routing.RouterSettings(),
        random.Random(name),
        limiter,
    )


def _server(name, **fields):
    return _records.server(name, lease_ms=LEASE_MS, **fields)


def _send_all(routers):
    """Let each entry VM send a request at each step.

    :returns: times of the requests, by server.
    """
    sent = {}
    for step in range(int(LENGTH_S / STEP_S)):
        now = _records.seconds(100.0 + step * STEP_S)
        for number, router in enumerate(routers):
            request = _records.request(allowed_regions=frozenset({"fukuoka"}))
            chosen = router.choose(request, now)
            if chosen.is_error():
                sent.setdefault("refused", []).append(now)
                continue
            server_id = chosen.ok.server_id
            attempt = f"a{number}-{step}"
            router.on_attempt_started(server_id, attempt, 100, now)
            router.on_attempt_finished(
                server_id, attempt, routing.AttemptOutcome.OK, now
            )
            sent.setdefault(server_id, []).append(now.total_seconds())
    return sent


# Guards against entry VMs of the own interface that each keep a limit for
# themselves.
@pytest.mark.parametrize("count", [1, 3, 8])
def test_entry_vms_keep_the_limit_of_a_server_together(count):
    names = [f"e{number}" for number in range(count)]
    routers = [_make_router(name, names) for name in names]
    for router in routers:
        for record in (_server("s1", limit_per_s=1.1), _server("s2")):
            router.update_server(record, _records.seconds(99))
    sent = _send_all(routers)
    times = sent["s1"]
    most = max(
        sum(start <= time < start + WINDOW_S for time in times)
        for start in times
    )
    assert most <= 1.5 * 1.1 * WINDOW_S + 5
    assert "refused" not in sent


def test_limit_ends_with_an_announcement_without_one():
    router = _make_router("e0", ["e0"])
    limited = _server("s1", limit_per_s=0.1)
    router.update_server(limited, _records.seconds(99))
    assert len(_send_all([router])["refused"]) > 500
    router.update_server(_server("s1", sequence=2), _records.seconds(140))
    assert "refused" not in _send_all([router])


def test_record_holds_the_limit_of_an_announcement():
    announcement = {
        "server_id": "s1",
        "incarnation": 1,
        "sequence": 1,
        "state": "ready",
        "pool": "writers",
        "failure_domain": "fukuoka-a",
        "url": "http://127.0.0.1:9",
        "slots": 4,
    }
    record = _deltas.build_record(announcement, "pitchwriter", "fukuoka", 2000)
    assert record.limit_per_s == _deltas.NO_LIMIT
    limited = {**announcement, "limit_per_s": 1.5}
    record = _deltas.build_record(limited, "pitchwriter", "fukuoka", 2000)
    assert record.limit_per_s == 1.5
    assert record.rejections_per_s == _deltas.NO_LIMIT
    brittle = {**announcement, "rejections_per_s": 0}
    record = _deltas.build_record(brittle, "pitchwriter", "fukuoka", 2000)
    assert record.rejections_per_s == 0.0


# Guards against entry VMs of the own interface that each fill a server which
# falls over if it has to reject requests.
@pytest.mark.parametrize("count", [1, 3, 8])
@pytest.mark.parametrize("slots", [4, 12])
def test_requests_to_a_brittle_server_find_room(count, slots):
    names = [f"e{number}" for number in range(count)]
    routers = [_make_router(name, names) for name in names]
    brittle = _server("s1", slots=slots, rejections_per_s=1.0)
    sent = 0
    for number in range(slots + 5):
        for name, router in zip(names, routers, strict=True):
            now = _records.seconds(100)
            router.update_server(brittle, now)
            request = _records.request(allowed_regions=frozenset({"fukuoka"}))
            if router.choose(request, now).is_ok():
                router.on_attempt_started("s1", f"{name}-{number}", 100, now)
                sent += 1
    assert slots / 3 <= sent <= slots


def test_brittle_server_that_rejected_a_request_gets_none_for_a_while():
    router = _make_router("e0", ["e0"])
    router.update_server(
        _server("s1", rejections_per_s=1.0), _records.seconds(99)
    )
    request = _records.request(allowed_regions=frozenset({"fukuoka"}))
    router.on_attempt_started("s1", "a", 100, _records.seconds(100))
    router.on_attempt_finished(
        "s1", "a", routing.AttemptOutcome.BUSY, _records.seconds(100)
    )
    assert router.choose(request, _records.seconds(100.5)).is_error()
    assert router.choose(request, _records.seconds(101.5)).is_ok()
