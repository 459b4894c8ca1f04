"""Small stand-ins for what surrounds the gateway, with faults to switch on."""

from buckthorntack.standins._announcer import Announcer
from buckthorntack.standins._caller import Answer
from buckthorntack.standins._caller import Caller
from buckthorntack.standins._demo import Demonstration
from buckthorntack.standins._demo import format_steps
from buckthorntack.standins._demo import Step
from buckthorntack.standins._deployment import Deployment
from buckthorntack.standins._deployment import Layout
from buckthorntack.standins._deployment import OPERATOR_TOKEN
from buckthorntack.standins._engine import CRASH_MARK
from buckthorntack.standins._engine import EngineFaults
from buckthorntack.standins._engine import EngineProfile
from buckthorntack.standins._engine import FakeEngine
from buckthorntack.standins._service import FakeService
from buckthorntack.standins._service import ServiceFaults

__all__ = [
    "Announcer",
    "Answer",
    "CRASH_MARK",
    "Caller",
    "Demonstration",
    "Deployment",
    "EngineFaults",
    "EngineProfile",
    "FakeEngine",
    "FakeService",
    "Layout",
    "OPERATOR_TOKEN",
    "ServiceFaults",
    "Step",
    "format_steps",
]
