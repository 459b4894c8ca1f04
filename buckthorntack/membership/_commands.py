"""Commands that a view returns to its owner."""

import datetime
from typing import Any
from typing import NamedTuple

from buckthorntack.schema import messages


class SendMessage(NamedTuple):
    """Send a message to another node."""

    to: str
    message: Any


class ServerChanged(NamedTuple):
    """A backend server was added, changed or renewed."""

    record: messages.ServerRecord
    #: Monotonic time at which the lease ends; no new work after that time.
    expires_at: datetime.timedelta


class ServerRemoved(NamedTuple):
    """A backend server has withdrawn or its lease has expired."""

    server_id: str
    reason: str


class EntryChanged(NamedTuple):
    """An entry VM was added or changed."""

    record: messages.EntryRecord


class EntryRemoved(NamedTuple):
    """An entry VM has stopped or its lease has expired."""

    record: messages.EntryRecord


class SummaryChanged(NamedTuple):
    """A newer summary of a failure domain was received."""

    summary: messages.DomainSummary


class SummaryRemoved(NamedTuple):
    """The last summary of a failure domain has expired."""

    summary: messages.DomainSummary


class ItemChanged(NamedTuple):
    """A new item, or a higher version of one, was received."""

    item: messages.Item
