"""Messages between our own processes; generated, do not edit."""

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

__all__ = [
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
    "Item",
    "MembershipDelta",
    "MembershipDigest",
    "MembershipDigestDetail",
    "MembershipEntries",
    "MembershipHello",
    "MembershipItems",
    "MembershipPull",
    "MembershipSummaries",
    "MessageStamp",
    "Ping",
    "Pong",
    "RecordKey",
    "ServerLoad",
    "ServerRecord",
    "ServerRenewal",
    "ServerUpdate",
    "ServiceSummary",
]
