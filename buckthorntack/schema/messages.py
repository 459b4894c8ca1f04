"""Messages between our own processes; generated, do not edit."""

from buckthorntack.schema._generated.admission import QuotaGrant
from buckthorntack.schema._generated.admission import QuotaNeed
from buckthorntack.schema._generated.admission import UsageReport
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
from buckthorntack.schema._generated.consensus import AppendRequest
from buckthorntack.schema._generated.consensus import AppendResponse
from buckthorntack.schema._generated.consensus import EnrolRequest
from buckthorntack.schema._generated.consensus import EnrolResponse
from buckthorntack.schema._generated.consensus import ForwardedProposal
from buckthorntack.schema._generated.consensus import LogEntry
from buckthorntack.schema._generated.consensus import ProposalRefused
from buckthorntack.schema._generated.consensus import ReadRequest
from buckthorntack.schema._generated.consensus import ReadResponse
from buckthorntack.schema._generated.consensus import SnapshotChunk
from buckthorntack.schema._generated.consensus import SnapshotChunkResponse
from buckthorntack.schema._generated.consensus import TransferRequest
from buckthorntack.schema._generated.consensus import VoteRequest
from buckthorntack.schema._generated.consensus import VoteResponse
from buckthorntack.schema._generated.directives import Directives
from buckthorntack.schema._generated.directives import DirectivesCopy
from buckthorntack.schema._generated.directives import EvacuateDomain
from buckthorntack.schema._generated.directives import PublishVersion
from buckthorntack.schema._generated.discovery import AnnouncedServer
from buckthorntack.schema._generated.discovery import ControlIdentity
from buckthorntack.schema._generated.discovery import NodePresence
from buckthorntack.schema._generated.discovery import PresenceReply
from buckthorntack.schema._generated.discovery import PresenceReport
from buckthorntack.schema._generated.discovery import PromptSent
from buckthorntack.schema._generated.discovery import RegionLoad
from buckthorntack.schema._generated.discovery import RegistryChanges
from buckthorntack.schema._generated.discovery import ReplicaEnvelope
from buckthorntack.schema._generated.discovery import ServerLimit
from buckthorntack.schema._generated.discovery import ServerRead
from buckthorntack.schema._generated.discovery import ServerUse
from buckthorntack.schema._generated.discovery import UseReport
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
from buckthorntack.schema._generated.links import Ping
from buckthorntack.schema._generated.links import Pong
from buckthorntack.schema._generated.membership import DomainSummary
from buckthorntack.schema._generated.membership import EntryRecord
from buckthorntack.schema._generated.membership import Item
from buckthorntack.schema._generated.membership import MembershipDelta
from buckthorntack.schema._generated.membership import MembershipDigest
from buckthorntack.schema._generated.membership import MembershipDigestDetail
from buckthorntack.schema._generated.membership import MembershipEntries
from buckthorntack.schema._generated.membership import MembershipHello
from buckthorntack.schema._generated.membership import MembershipItems
from buckthorntack.schema._generated.membership import MembershipPull
from buckthorntack.schema._generated.membership import MembershipSummaries
from buckthorntack.schema._generated.membership import MessageStamp
from buckthorntack.schema._generated.membership import RecordKey
from buckthorntack.schema._generated.membership import ServerLoad
from buckthorntack.schema._generated.membership import ServerRecord
from buckthorntack.schema._generated.membership import ServerRenewal
from buckthorntack.schema._generated.membership import ServerUpdate
from buckthorntack.schema._generated.membership import ServiceSummary
from buckthorntack.schema._generated.placement import LeaseCommand
from buckthorntack.schema._generated.placement import LeaseGrant
from buckthorntack.schema._generated.placement import LeaseRequest
from buckthorntack.schema._generated.placement import LeaseRow
from buckthorntack.schema._generated.placement import LeaseSnapshot
from buckthorntack.schema._generated.quarantine import BlameRecord
from buckthorntack.schema._generated.quarantine import ClearRecord
from buckthorntack.schema._generated.quarantine import CrashRecord
from buckthorntack.schema._generated.quarantine import LostSubject
from buckthorntack.schema._generated.quarantine import QuarantineDigest
from buckthorntack.schema._generated.quarantine import QuarantineTable
from buckthorntack.schema._generated.quarantine import QuarantineUpdate
from buckthorntack.schema._generated.retries import Acquittal
from buckthorntack.schema._generated.retries import Conviction
from buckthorntack.schema._generated.retries import CrashEvidence
from buckthorntack.schema._generated.retries import FailedAttempts
from buckthorntack.schema._generated.retries import SuspectClaim
from buckthorntack.schema._generated.streams import OriginGroup
from buckthorntack.schema._generated.streams import OriginQuery
from buckthorntack.schema._generated.streams import OriginReply
from buckthorntack.schema._generated.streams import StreamOrigins

__all__ = [
    "Acquittal",
    "AnnouncedServer",
    "AppendRequest",
    "AppendResponse",
    "BlameRecord",
    "ChangeRecord",
    "ClearRecord",
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
    "ControlIdentity",
    "Conviction",
    "CrashEvidence",
    "CrashRecord",
    "Directives",
    "DirectivesCopy",
    "DomainSummary",
    "EnrolRequest",
    "EnrolResponse",
    "EntryRecord",
    "EvacuateDomain",
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
    "ForwardedProposal",
    "Item",
    "LeaseCommand",
    "LeaseGrant",
    "LeaseRequest",
    "LeaseRow",
    "LeaseSnapshot",
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
    "LogEntry",
    "LostSubject",
    "MembershipDelta",
    "MembershipDigest",
    "MembershipDigestDetail",
    "MembershipEntries",
    "MembershipHello",
    "MembershipItems",
    "MembershipPull",
    "MembershipSummaries",
    "MessageStamp",
    "NodePresence",
    "OriginGroup",
    "OriginQuery",
    "OriginReply",
    "PendingChange",
    "Ping",
    "Pong",
    "PresenceReply",
    "PresenceReport",
    "PromptSent",
    "ProposalRefused",
    "PublishVersion",
    "QuarantineDigest",
    "QuarantineTable",
    "QuarantineUpdate",
    "QuotaGrant",
    "QuotaNeed",
    "ReadRequest",
    "ReadResponse",
    "RecordKey",
    "RegionLoad",
    "RegistryChanges",
    "ReplicaEnvelope",
    "ServerLimit",
    "ServerLoad",
    "ServerRead",
    "ServerRecord",
    "ServerRenewal",
    "ServerUpdate",
    "ServerUse",
    "ServiceSummary",
    "SnapshotChunk",
    "SnapshotChunkResponse",
    "StreamOrigins",
    "SuspectClaim",
    "TransferRequest",
    "UsageReport",
    "UseReport",
    "VoteRequest",
    "VoteResponse",
]
