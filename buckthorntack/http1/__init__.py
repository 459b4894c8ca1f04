"""HTTP/1.1 server for callers and HTTP/1.1 client for backend servers."""

from buckthorntack.http1._client import Connection
from buckthorntack.http1._connection_limit import ConnectionLimit
from buckthorntack.http1._errors import ConnectError
from buckthorntack.http1._errors import ConnectRefusedError
from buckthorntack.http1._errors import IncompleteResponseError
from buckthorntack.http1._errors import UnexpectedResponseError
from buckthorntack.http1._errors import UnreadResponseError
from buckthorntack.http1._event_boundary import EventBoundary
from buckthorntack.http1._event_boundary import find_last_event_end
from buckthorntack.http1._event_boundary import MAX_EVENT_BYTES
from buckthorntack.http1._event_boundary import MAX_EVENT_END_BYTES
from buckthorntack.http1._memory import Account
from buckthorntack.http1._memory import compute_bounds
from buckthorntack.http1._memory import MemoryBudget
from buckthorntack.http1._memory import Purpose
from buckthorntack.http1._memory import READ_BYTES
from buckthorntack.http1._memory_watch import MemoryWatch
from buckthorntack.http1._messages import BodyFraming
from buckthorntack.http1._messages import count_header_bytes
from buckthorntack.http1._messages import encode_request
from buckthorntack.http1._messages import exclude_headers
from buckthorntack.http1._messages import find_body_framing
from buckthorntack.http1._messages import find_header
from buckthorntack.http1._messages import MAX_FRAMING_BYTES
from buckthorntack.http1._messages import Request
from buckthorntack.http1._messages import ResponseHead
from buckthorntack.http1._messages import strip_hop_by_hop_headers
from buckthorntack.http1._pool import ConnectionPool
from buckthorntack.http1._server import EndReason
from buckthorntack.http1._server import Limits
from buckthorntack.http1._server import Listener
from buckthorntack.http1._server import ListenerMemory
from buckthorntack.http1._server import ResponseWriter

__all__ = [
    "BodyFraming",
    "EventBoundary",
    "MAX_EVENT_BYTES",
    "MAX_EVENT_END_BYTES",
    "find_last_event_end",
    "MAX_FRAMING_BYTES",
    "IncompleteResponseError",
    "ResponseHead",
    "ConnectError",
    "ConnectRefusedError",
    "Connection",
    "ConnectionLimit",
    "ConnectionPool",
    "UnexpectedResponseError",
    "UnreadResponseError",
    "Account",
    "MemoryBudget",
    "MemoryWatch",
    "Purpose",
    "READ_BYTES",
    "compute_bounds",
    "EndReason",
    "ListenerMemory",
    "Limits",
    "Listener",
    "ResponseWriter",
    "Request",
    "count_header_bytes",
    "encode_request",
    "strip_hop_by_hop_headers",
    "find_body_framing",
    "find_header",
    "exclude_headers",
]
