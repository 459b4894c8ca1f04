"""Leases of quota at an entry VM whose machine is suspended."""

import datetime
import random

from buckthorntack import admission
from buckthorntack import clock as clocks
from buckthorntack.entry import _admission_task
from buckthorntack.schema import messages

SETTINGS = admission.AdmissionSettings()


# A suspended borrower used a share that its lender used again.
def test_suspension_counts_towards_borrowed_quota():
    clock = clocks.ManualClock()
    clock.advance(datetime.timedelta(seconds=1))
    controller = admission.AdmissionController(
        "e0", 1, SETTINGS, random.Random(1)
    )
    controller.set_entry_count(2)
    task = _admission_task.AdmissionTask(controller, list, None, clock)
    grant = messages.QuotaGrant(
        "e0", 1, 1000, "o", 0.25, SETTINGS.quota_lease_ms
    )
    task.deliver("e1", messages.UsageReport("e1", 1, 5, [], [grant]))
    assert controller.quota_share("o", clock.boottime()) == 0.75
    clock.suspend(datetime.timedelta(milliseconds=SETTINGS.quota_lease_ms))
    assert clock.monotonic() == datetime.timedelta(seconds=1)
    request = admission.AdmissionRequest(
        "r", "o", "s", 1, 1.0, admission.QuotaLimits(1, 1, 60), 1, 1000
    )
    controller.offer(request, task.now())
    assert controller.quota_share("o", task.now()) == 0.5
