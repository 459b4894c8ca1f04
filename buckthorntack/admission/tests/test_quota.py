"""Quotas over many entry VMs: bound, lending, partitions and memory."""

import datetime
import random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import pytest

from buckthorntack import admission
from buckthorntack.admission import _shares

LIMITS = admission.QuotaLimits(10.0, 20, 60_000)


def at(seconds):
    return datetime.timedelta(seconds=seconds)


def make_controllers(count):
    controllers = []
    for number in range(count):
        controller = admission.AdmissionController(
            f"entry-{number}",
            number + 1,
            admission.AdmissionSettings(),
            random.Random(number),
        )
        controller.set_entry_count(count)
        controller.set_capacity("pitchwriter", 10**6, at(0))
        controllers.append(controller)
    return controllers


def offer(controller, name, now_s, **fields):
    request = admission.AdmissionRequest(
        name, "shops", "pitchwriter", 1, 1.0, LIMITS, 10, 1000
    )._replace(**fields)
    return controller.offer(request, at(now_s)).is_ok()


class Network:
    """Fake network that delays, duplicates, loses or partitions reports."""

    def __init__(self, controllers, rng, loss=0.0, max_delay_s=1.0):
        self.controllers = controllers
        self.rng = rng
        self.loss = loss
        self.max_delay_s = max_delay_s
        self.groups = None
        self._in_transit = []

    def exchange(self, now_s):
        for number, controller in enumerate(self.controllers):
            report = controller.build_usage_report(at(now_s))
            for other in range(len(self.controllers)):
                self._send(number, other, report, now_s)

    def deliver_due(self, now_s):
        due = [item for item in self._in_transit if item[0] <= now_s]
        self._in_transit = [
            item for item in self._in_transit if item[0] > now_s
        ]
        for _, other, report in due:
            self.controllers[other].on_usage_report(report, at(now_s))

    def _send(self, sender, receiver, report, now_s):
        cut = self.groups and self.groups[sender] != self.groups[receiver]
        if sender == receiver or cut:
            return
        for _ in range(2):
            if self.rng.random() >= self.loss:
                delay_s = self.rng.uniform(0.0, self.max_delay_s)
                self._in_transit.append((now_s + delay_s, receiver, report))


def run(demands, network, seconds=40, step_s=0.05, start_s=0.0):
    """Offer requests at a rate per entry VM and count those admitted.

    At each step the shares in use must add up to at most the whole quota.
    """
    admitted = [0] * len(demands)
    for step in range(int(seconds / step_s)):
        now_s = start_s + step * step_s
        network.deliver_due(now_s)
        if step % 10 == 0:
            network.exchange(now_s)
        for number, demand in enumerate(demands):
            for _ in range(demand):
                name = f"{number}-{now_s}"
                admitted[number] += offer(
                    network.controllers[number], name, now_s
                )
        shares = [
            controller.quota_share("shops", at(now_s))
            for controller in network.controllers
        ]
        assert sum(shares) <= 1.0 + 1e-9
    return admitted


def max_admitted(seconds, count, limits=LIMITS):
    """Return the documented bound on requests admitted in a period."""
    return limits.requests_per_second * seconds + limits.burst_requests + count


def test_refusal_says_when_to_come_back():
    (controller,) = make_controllers(1)
    for number in range(20):
        assert offer(controller, f"r{number}", 0.0)
    request = admission.AdmissionRequest(
        "r", "shops", "pitchwriter", 1, 1.0, LIMITS, 10, 1000
    )
    error = controller.offer(request, at(0)).error
    assert isinstance(error, admission.QuotaExceededError)
    assert 100 <= error.retry_after_ms <= 125


def test_generated_tokens_count():
    (controller,) = make_controllers(1)
    assert offer(controller, "a", 0.0)
    controller.on_request_finished("a", 70_000, at(1))
    assert not offer(controller, "b", 1.0)
    assert offer(controller, "c", 12.0)


def test_one_busy_entry_vm_gets_most_of_the_whole():
    controllers = make_controllers(6)
    network = Network(controllers, random.Random(1))
    (busy, *_) = run([2, 0, 0, 0, 0, 0], network)
    assert busy > 0.8 * LIMITS.requests_per_second * 40


def test_a_partition_leaves_each_side_its_own_shares():
    controllers = make_controllers(6)
    network = Network(controllers, random.Random(1))
    run([2, 0, 0, 0, 0, 0], network)
    network.groups = [0, 0, 1, 1, 1, 1]
    run([2, 0, 2, 0, 0, 0], network, start_s=40.0, seconds=10)
    admitted = run([2, 0, 2, 0, 0, 0], network, start_s=50.0)
    assert admitted[0] == pytest.approx(400 * 2 / 6, rel=0.15)
    assert admitted[2] == pytest.approx(400 * 4 / 6, rel=0.15)


def run_phases(phases, network, seconds=4):
    """Offer requests in phases of different rates and count all admitted."""
    admitted = 0
    for number, demands in enumerate(phases):
        start_s = float(number * seconds)
        admitted += sum(run(demands, network, seconds, start_s=start_s))
    return admitted


@hypothesis_settings(
    max_examples=30, deadline=None, derandomize=True, database=None
)
@given(
    phases=strategies.lists(
        strategies.lists(strategies.integers(0, 3), min_size=4, max_size=4),
        min_size=2,
        max_size=10,
    ),
    cut_at=strategies.integers(0, 9),
    loss=strategies.sampled_from([0.0, 0.3, 0.9]),
    max_delay_s=strategies.sampled_from([0.1, 1.0, 6.0]),
    seed=strategies.integers(0, 1000),
)
def test_the_whole_is_never_exceeded_beyond_the_bound(
    phases, cut_at, loss, max_delay_s, seed
):
    controllers = make_controllers(4)
    network = Network(controllers, random.Random(seed), loss, max_delay_s)
    admitted = run_phases(phases[:cut_at], network)
    network.groups = [0, 1, 0, 1]
    rest = phases[cut_at:]
    start_s = 4.0 * len(phases[:cut_at])
    for number, demands in enumerate(rest):
        step_s = start_s + 4.0 * number
        admitted += sum(run(demands, network, 4, start_s=step_s))
    assert admitted <= max_admitted(4 * len(phases), 4)


def test_a_lender_that_goes_on_using_its_share_is_caught(monkeypatch):
    monkeypatch.setattr(
        _shares.Shares, "lent", lambda self, excluded_node_id=None: 0.0
    )
    network = Network(make_controllers(4), random.Random(1))
    with pytest.raises(AssertionError):
        run([3, 0, 0, 0], network, seconds=10)


def test_a_borrower_that_counts_from_receipt_is_caught(monkeypatch):
    borrow = _shares.Shares.borrow

    def borrow_longer(self, node_id, share, until_s):
        borrow(self, node_id, share, until_s + 2.0)

    monkeypatch.setattr(_shares.Shares, "borrow", borrow_longer)
    network = Network(make_controllers(4), random.Random(1), loss=0.5)
    with pytest.raises(AssertionError):
        run_phases([[3, 0, 0, 0], [0, 3, 3, 3]] * 5, network)


def test_state_only_for_active_organisations():
    (controller,) = make_controllers(1)
    for number in range(18_000):
        offer(
            controller, f"r{number}", number / 100, organisation=f"o{number}"
        )
    assert controller.active_organisations() < 9_000
    for number in range(18_000):
        offer(controller, f"s{number}", 400 + number / 100, organisation="one")
    assert controller.active_organisations() == 1


def test_an_entry_vm_that_is_cut_off_keeps_its_share():
    roster = admission.EntryRoster()
    for name in ("e1", "e2", "e3"):
        roster.record_member(name, at(0))
    for now_s in range(0, 3600, 60):
        roster.record_member("e1", at(now_s))
    assert roster.count(at(3600)) == 3
    assert roster.count(at(3601)) == 1
