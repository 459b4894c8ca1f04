"""Admission: quotas, priorities, fair queues and shedding."""

from buckthorntack.admission._controller import AdmissionController
from buckthorntack.admission._errors import DeadlineError
from buckthorntack.admission._errors import QueueFullError
from buckthorntack.admission._errors import QuotaExceededError
from buckthorntack.admission._events import ADMITTED
from buckthorntack.admission._events import OVER_QUOTA
from buckthorntack.admission._events import QUEUED
from buckthorntack.admission._events import SHED
from buckthorntack.admission._roster import EntryRoster
from buckthorntack.admission._shared_quota import OrganisationQuotas
from buckthorntack.admission._shared_quota import QuotaTolerance
from buckthorntack.admission._types import AdmissionRequest
from buckthorntack.admission._types import AdmissionSettings
from buckthorntack.admission._types import Admitted
from buckthorntack.admission._types import Queued
from buckthorntack.admission._types import quota_limits
from buckthorntack.admission._types import QuotaLimits
from buckthorntack.admission._types import Refused

__all__ = [
    "ADMITTED",
    "AdmissionController",
    "AdmissionRequest",
    "AdmissionSettings",
    "Admitted",
    "DeadlineError",
    "EntryRoster",
    "OVER_QUOTA",
    "OrganisationQuotas",
    "QUEUED",
    "QueueFullError",
    "Queued",
    "QuotaExceededError",
    "QuotaLimits",
    "QuotaTolerance",
    "Refused",
    "SHED",
    "quota_limits",
]
