"""Quarantine of requests and prompt parts that crash backend servers."""

from buckthorntack.quarantine._events import write_change
from buckthorntack.quarantine._quarantine import Quarantine
from buckthorntack.quarantine._types import Admitted
from buckthorntack.quarantine._types import Change
from buckthorntack.quarantine._types import CONTINUED_ANSWER
from buckthorntack.quarantine._types import CrashId
from buckthorntack.quarantine._types import Incarnation
from buckthorntack.quarantine._types import list_subjects
from buckthorntack.quarantine._types import QuarantineSettings
from buckthorntack.quarantine._types import Refused
from buckthorntack.quarantine._types import Subject
from buckthorntack.quarantine._types import SubjectBlamed
from buckthorntack.quarantine._types import SubjectCleared
from buckthorntack.quarantine._types import SubjectsCut
from buckthorntack.quarantine._types import Trial
from buckthorntack.quarantine._types import TrialStarted
from buckthorntack.quarantine._types import Verdict

__all__ = [
    "CONTINUED_ANSWER",
    "Admitted",
    "Change",
    "CrashId",
    "Incarnation",
    "Quarantine",
    "QuarantineSettings",
    "Refused",
    "Subject",
    "SubjectBlamed",
    "SubjectCleared",
    "SubjectsCut",
    "Trial",
    "TrialStarted",
    "Verdict",
    "list_subjects",
    "write_change",
]
