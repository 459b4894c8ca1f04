"""Messages between our own processes; generated, do not edit."""

from buckthorntack.schema._generated.configuration import ChangeRecord
from buckthorntack.schema._generated.configuration import ConfigurationChunk
from buckthorntack.schema._generated.configuration import (
    ConfigurationChunkRequest,
)
from buckthorntack.schema._generated.configuration import ConfigurationCopy
from buckthorntack.schema._generated.configuration import ConfigurationDelta
from buckthorntack.schema._generated.configuration import ConfigurationDeltas
from buckthorntack.schema._generated.configuration import ConfigurationLeave
from buckthorntack.schema._generated.configuration import ConfigurationPoll
from buckthorntack.schema._generated.configuration import ConfigurationPresent
from buckthorntack.schema._generated.configuration import ConfigurationProposal
from buckthorntack.schema._generated.configuration import (
    ConfigurationRegistration,
)
from buckthorntack.schema._generated.configuration import ConfigurationReport
from buckthorntack.schema._generated.configuration import ConfigurationReports
from buckthorntack.schema._generated.configuration import (
    ConfigurationSettlement,
)
from buckthorntack.schema._generated.configuration import ConfigurationSnapshot
from buckthorntack.schema._generated.configuration import ConfigurationStep
from buckthorntack.schema._generated.configuration import PendingChange
from buckthorntack.schema._generated.forwarding import ForwardAlive
from buckthorntack.schema._generated.forwarding import ForwardBody
from buckthorntack.schema._generated.forwarding import ForwardCancel
from buckthorntack.schema._generated.forwarding import ForwardChunk
from buckthorntack.schema._generated.forwarding import ForwardCredit
from buckthorntack.schema._generated.forwarding import ForwardEnd
from buckthorntack.schema._generated.forwarding import ForwardHead
from buckthorntack.schema._generated.forwarding import ForwardHeader
from buckthorntack.schema._generated.forwarding import ForwardRequest
from buckthorntack.schema._generated.ledger import LedgerBatch
from buckthorntack.schema._generated.ledger import LedgerClaim
from buckthorntack.schema._generated.ledger import LedgerHeader
from buckthorntack.schema._generated.ledger import LedgerOperation
from buckthorntack.schema._generated.ledger import LedgerProbe
from buckthorntack.schema._generated.ledger import LedgerProbeReply
from buckthorntack.schema._generated.ledger import LedgerRecord
from buckthorntack.schema._generated.ledger import LedgerReply
from buckthorntack.schema._generated.ledger import LedgerSettle
from buckthorntack.schema._generated.ledger import LedgerSnapshot
from buckthorntack.schema._generated.ledger import LedgerStoredRecord
from buckthorntack.schema._generated.links import Ping
from buckthorntack.schema._generated.links import Pong
from buckthorntack.schema._generated.membership import DomainSummary
from buckthorntack.schema._generated.membership import EntryRecord
from buckthorntack.schema._generated.membership import ServerLoad
from buckthorntack.schema._generated.membership import ServerRecord
from buckthorntack.schema._generated.membership import ServiceSummary

__all__ = [
    "ChangeRecord",
    "ConfigurationChunk",
    "ConfigurationChunkRequest",
    "ConfigurationCopy",
    "ConfigurationDelta",
    "ConfigurationDeltas",
    "ConfigurationLeave",
    "ConfigurationPoll",
    "ConfigurationPresent",
    "ConfigurationProposal",
    "ConfigurationRegistration",
    "ConfigurationReport",
    "ConfigurationReports",
    "ConfigurationSettlement",
    "ConfigurationSnapshot",
    "ConfigurationStep",
    "DomainSummary",
    "EntryRecord",
    "ForwardAlive",
    "ForwardBody",
    "ForwardCancel",
    "ForwardChunk",
    "ForwardCredit",
    "ForwardEnd",
    "ForwardHead",
    "ForwardHeader",
    "ForwardRequest",
    "LedgerBatch",
    "LedgerClaim",
    "LedgerHeader",
    "LedgerOperation",
    "LedgerProbe",
    "LedgerProbeReply",
    "LedgerRecord",
    "LedgerReply",
    "LedgerSettle",
    "LedgerSnapshot",
    "LedgerStoredRecord",
    "PendingChange",
    "Ping",
    "Pong",
    "ServerLoad",
    "ServerRecord",
    "ServiceSummary",
]
