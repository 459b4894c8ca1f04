"""What a view asks its owner to do."""

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
    #: Monotonic time after which it gets no new work unless renewed.
    expires_at: datetime.timedelta


class ServerRemoved(NamedTuple):
    """A backend server has withdrawn or its lease has lapsed."""

    server_id: str
    reason: str


class EntryChanged(NamedTuple):
    """An entry VM was added or changed."""

    record: messages.EntryRecord


class EntryRemoved(NamedTuple):
    """An entry VM has stopped or gone silent."""

    record: messages.EntryRecord


class SummaryChanged(NamedTuple):
    """There is a newer summary of a failure domain."""

    summary: messages.DomainSummary


class SummaryRemoved(NamedTuple):
    """Nothing was heard of a failure domain for long."""

    summary: messages.DomainSummary


class ItemChanged(NamedTuple):
    """There is a new item, or a higher version of one."""

    item: messages.Item
