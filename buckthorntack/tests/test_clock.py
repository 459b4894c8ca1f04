"""Readings of the clock."""

import datetime

from buckthorntack import clock as clocks


# CLOCK_MONOTONIC was read, which stands still during a suspension.
def test_system_boot_time_counts_suspension(monkeypatch):
    readings = {clocks.time.CLOCK_MONOTONIC: 5.0, clocks._BOOTTIME: 65.0}
    monkeypatch.setattr(clocks.time, "clock_gettime", readings.__getitem__)
    assert clocks.SystemClock().boottime() == datetime.timedelta(seconds=65)


def test_platform_without_boot_time_gets_the_monotonic_one(monkeypatch):
    monkeypatch.setattr(clocks, "_BOOTTIME", None)
    monkeypatch.setattr(clocks.time, "monotonic", lambda: 5.0)
    assert clocks.SystemClock().boottime() == datetime.timedelta(seconds=5)
