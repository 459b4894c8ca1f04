"""Messages between our own processes; generated, do not edit."""

from buckthorntack.schema._generated.admission import QuotaGrant
from buckthorntack.schema._generated.admission import QuotaNeed
from buckthorntack.schema._generated.admission import UsageReport
from buckthorntack.schema._generated.forwarding import ForwardAlive
from buckthorntack.schema._generated.forwarding import ForwardBody
from buckthorntack.schema._generated.forwarding import ForwardCancel
from buckthorntack.schema._generated.forwarding import ForwardChunk
from buckthorntack.schema._generated.forwarding import ForwardCredit
from buckthorntack.schema._generated.forwarding import ForwardEnd
from buckthorntack.schema._generated.forwarding import ForwardHead
from buckthorntack.schema._generated.forwarding import ForwardHeader
from buckthorntack.schema._generated.forwarding import ForwardRequest
from buckthorntack.schema._generated.links import Ping
from buckthorntack.schema._generated.links import Pong
from buckthorntack.schema._generated.membership import DomainSummary
from buckthorntack.schema._generated.membership import EntryRecord
from buckthorntack.schema._generated.membership import ServerLoad
from buckthorntack.schema._generated.membership import ServerRecord
from buckthorntack.schema._generated.membership import ServiceSummary
from buckthorntack.schema._generated.retries import Acquittal
from buckthorntack.schema._generated.retries import Conviction
from buckthorntack.schema._generated.retries import CrashEvidence
from buckthorntack.schema._generated.retries import FailedAttempts
from buckthorntack.schema._generated.retries import SuspectClaim

__all__ = [
    "Acquittal",
    "Conviction",
    "CrashEvidence",
    "DomainSummary",
    "EntryRecord",
    "FailedAttempts",
    "ForwardAlive",
    "ForwardBody",
    "ForwardCancel",
    "ForwardChunk",
    "ForwardCredit",
    "ForwardEnd",
    "ForwardHead",
    "ForwardHeader",
    "ForwardRequest",
    "Ping",
    "Pong",
    "QuotaGrant",
    "QuotaNeed",
    "ServerLoad",
    "ServerRecord",
    "ServiceSummary",
    "SuspectClaim",
    "UsageReport",
]
