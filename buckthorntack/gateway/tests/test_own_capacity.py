"""Capacity that an entry VM reports of itself."""

from buckthorntack.gateway import _own_capacity


def observe(meter, lateness_s, seconds, start_s=0.0):
    """Feed equal samples; return the number of changes."""
    changes = 0
    for number in range(int(seconds / _own_capacity.SAMPLE_PERIOD_S)):
        now_s = start_s + number * _own_capacity.SAMPLE_PERIOD_S
        changes += meter.observe(lateness_s, now_s)
    return changes


def test_scarcer_means_decide():
    strong = _own_capacity.CapacityMeter(1.29, 12.5)
    weak = _own_capacity.CapacityMeter(0.387, 12.5)
    narrow = _own_capacity.CapacityMeter(1.29, 3.75)
    assert strong.reported > 2.5 * weak.reported
    assert narrow.reported == weak.reported


def test_slowed_vm_reports_less_within_seconds_and_recovers():
    meter = _own_capacity.CapacityMeter(0.5, 5.0)
    observe(meter, 0.2, 3.0)
    assert meter.reported <= 0.4
    observe(meter, 0.0, 10.0, 3.0)
    assert meter.reported == 1.0


# A VM that is given nothing would never be seen to recover.
def test_busy_vm_keeps_a_share():
    meter = _own_capacity.CapacityMeter(0.5, 5.0)
    observe(meter, 5.0, 20.0)
    assert meter.reported >= 0.2


# Each change is sent to all nodes.
def test_noise_changes_nothing():
    meter = _own_capacity.CapacityMeter(0.5, 5.0)
    changes = sum(
        meter.observe(0.02 if number % 2 else 0.0, number * 0.05)
        for number in range(1000)
    )
    assert changes == 0
