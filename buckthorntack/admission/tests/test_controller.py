"""Queueing, priority, fairness and load shedding in virtual time."""

import datetime
import heapq
import random

import pytest

from buckthorntack import admission
from buckthorntack import errors

AMPLE = admission.QuotaLimits(1e6, 1_000_000, 10**9)


def at(seconds):
    return datetime.timedelta(seconds=seconds)


def make_controller(slots=2, **fields):
    settings = admission.AdmissionSettings(**fields)
    controller = admission.AdmissionController(
        "entry-1", 1, settings, random.Random(5)
    )
    controller.set_capacity("pitchwriter", slots, at(0))
    return controller


def make_request(name, organisation="shops", **fields):
    request = admission.AdmissionRequest(
        request_id=name,
        organisation=organisation,
        service="pitchwriter",
        rank=1,
        weight=1.0,
        quota=AMPLE,
        prompt_tokens=100,
        deadline_ms=10_000,
    )
    return request._replace(**fields)


def test_admits_up_to_the_capacity_then_queues():
    controller = make_controller(slots=1)
    first = controller.offer(make_request("a"), at(0)).ok
    second = controller.offer(make_request("b"), at(0)).ok
    assert first == admission.Admitted("a")
    assert second == admission.Queued("b", 1)
    controller.on_request_finished("a", 10, at(1))
    assert controller.tick(at(1)) == [admission.Admitted("b")]


def test_better_rank_goes_first():
    controller = make_controller(slots=0)
    controller.offer(make_request("low", rank=5), at(0))
    controller.offer(make_request("high", rank=0), at(0))
    controller.set_capacity("pitchwriter", 1, at(1))
    assert controller.tick(at(1)) == [admission.Admitted("high")]


def test_weights_share_the_capacity():
    controller = make_controller(slots=0)
    for number in range(60):
        heavy = make_request(f"h{number}", "heavy", weight=3.0)
        controller.offer(heavy, at(0))
        controller.offer(make_request(f"l{number}", "light"), at(0))
    controller.set_capacity("pitchwriter", 40, at(1))
    admitted = [command.request_id for command in controller.tick(at(1))]
    assert sum(name[0] == "h" for name in admitted) in (29, 30, 31)


def test_sheds_the_lowest_rank_and_the_longest_backlog_first():
    controller = make_controller(slots=0, queue_requests=3)
    controller.offer(make_request("a1", "flood"), at(0))
    controller.offer(make_request("a2", "flood"), at(0))
    controller.offer(make_request("b1", "shops"), at(0))
    assert controller.offer(make_request("c1", "quiet"), at(0)).is_ok()
    shed = controller.tick(at(0))
    assert [command.request_id for command in shed] == ["a2"]
    low = controller.offer(make_request("d1", "late", rank=9), at(0))
    assert isinstance(low.error, admission.QueueFullError)
    assert low.error.run_state is errors.RunState.NOT_RUN
    assert low.error.retry_after_ms > 0


def test_deadline_ends_the_wait():
    controller = make_controller(slots=0)
    controller.offer(make_request("a", deadline_ms=500), at(0))
    assert controller.tick(at(0.4)) == []
    (refused,) = controller.tick(at(0.5))
    assert refused.request_id == "a"
    assert isinstance(refused.error, admission.DeadlineError)
    assert "did not start by its deadline of 500 ms" in refused.error.detail
    assert controller.tick(at(1)) == []


def test_refuses_at_once_what_cannot_start_in_time():
    controller = make_controller(slots=1)
    for number in range(20):
        controller.offer(make_request(f"r{number}"), at(0))
    for number in range(5):
        controller.on_request_finished(f"r{number}", 1, at(number + 1))
        controller.tick(at(number + 1))
    late = controller.offer(make_request("late", deadline_ms=2000), at(5))
    assert isinstance(late.error, admission.DeadlineError)


def test_an_idle_time_does_not_count_as_slowness():
    controller = make_controller(slots=1)
    controller.offer(make_request("a"), at(0))
    controller.on_request_finished("a", 1, at(1))
    controller.offer(make_request("b"), at(3000))
    controller.offer(make_request("c"), at(3000))
    controller.on_request_finished("b", 1, at(3001))
    controller.tick(at(3001))
    assert controller.offer(make_request("d"), at(3001)).is_ok()


@pytest.mark.parametrize("name", ["a", "b"])
def test_cancel_frees_a_slot_or_a_place(name):
    controller = make_controller(slots=1)
    controller.offer(make_request("a"), at(0))
    controller.offer(make_request("b"), at(0))
    controller.cancel_request(name)
    commands = controller.tick(at(1))
    assert commands == ([admission.Admitted("b")] if name == "a" else [])
    assert controller.queue_length("pitchwriter") == 0


def quiet_waits_s(flood_per_second, seconds=60):
    """Return the sorted waits, in seconds, of requests during a flood.

    Only the requests of the organisations with little traffic are included.
    """
    rng = random.Random(7)
    controller = make_controller(slots=20, queue_requests=200)
    arrivals = []
    for number in range(int(flood_per_second * seconds)):
        name = f"flood-{number}"
        arrivals.append((number / flood_per_second, name, "flood"))
    for number in range(10 * seconds):
        name = f"quiet-{number}"
        time_s = rng.uniform(0, seconds)
        arrivals.append((time_s, name, f"org-{number % 5}"))
    arrivals.sort()
    ends, offered, waits = [], {}, []

    def start(name, now_s):
        heapq.heappush(ends, (now_s + rng.uniform(0.5, 1.5), name))
        if name.startswith("quiet"):
            waits.append(now_s - offered[name])

    def carry_out(now_s):
        for command in controller.tick(at(now_s)):
            if isinstance(command, admission.Admitted):
                start(command.request_id, now_s)
            else:
                assert command.request_id.startswith("flood")

    for now_s, name, organisation in arrivals:
        while ends and ends[0][0] <= now_s:
            end_s, ended = heapq.heappop(ends)
            controller.on_request_finished(ended, 10, at(end_s))
            carry_out(end_s)
        offered[name] = now_s
        result = controller.offer(make_request(name, organisation), at(now_s))
        if result.is_ok() and isinstance(result.ok, admission.Admitted):
            start(name, now_s)
        if result.is_error():
            assert organisation == "flood"
        carry_out(now_s)
    return sorted(waits)


def test_a_flood_leaves_the_others_latency_in_place():
    calm = quiet_waits_s(flood_per_second=1)
    flooded = quiet_waits_s(flood_per_second=500)
    assert len(flooded) == len(calm)
    assert calm[int(0.99 * len(calm))] < 0.1
    assert flooded[int(0.5 * len(flooded))] == 0.0
    assert flooded[int(0.95 * len(flooded))] < 0.2
    assert flooded[int(0.99 * len(flooded))] < 0.5
