"""HTTP/1.1 connections: to callers on one side, to servers on the other."""

from buckthorntack.http1._client import Connection
from buckthorntack.http1._errors import AnswerBrokenError
from buckthorntack.http1._errors import ConnectError
from buckthorntack.http1._errors import ForeignAnswerError
from buckthorntack.http1._messages import AnswerHead
from buckthorntack.http1._messages import encode_request
from buckthorntack.http1._messages import end_to_end
from buckthorntack.http1._messages import find_header
from buckthorntack.http1._messages import Request
from buckthorntack.http1._messages import without
from buckthorntack.http1._pool import ConnectionPool
from buckthorntack.http1._server import Limits
from buckthorntack.http1._server import Listener
from buckthorntack.http1._server import Reply

__all__ = [
    "AnswerBrokenError",
    "AnswerHead",
    "ConnectError",
    "Connection",
    "ConnectionPool",
    "ForeignAnswerError",
    "Limits",
    "Listener",
    "Reply",
    "Request",
    "encode_request",
    "end_to_end",
    "find_header",
    "without",
]
