"""Messages between our own processes; generated, do not edit."""

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

__all__ = [
    "AppendRequest",
    "AppendResponse",
    "DomainSummary",
    "EnrolRequest",
    "EnrolResponse",
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
    "ForwardedProposal",
    "LogEntry",
    "Ping",
    "Pong",
    "ProposalRefused",
    "ReadRequest",
    "ReadResponse",
    "ServerLoad",
    "ServerRecord",
    "ServiceSummary",
    "SnapshotChunk",
    "SnapshotChunkResponse",
    "TransferRequest",
    "VoteRequest",
    "VoteResponse",
]
