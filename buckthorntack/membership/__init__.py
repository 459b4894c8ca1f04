"""Membership of backend servers and entry VMs, by leases and gossip."""

from buckthorntack.membership._commands import EntryChanged
from buckthorntack.membership._commands import EntryRemoved
from buckthorntack.membership._commands import ItemChanged
from buckthorntack.membership._commands import SendMessage
from buckthorntack.membership._commands import ServerChanged
from buckthorntack.membership._commands import ServerRemoved
from buckthorntack.membership._commands import SummaryChanged
from buckthorntack.membership._commands import SummaryRemoved
from buckthorntack.membership._errors import ForeignAnnouncementError
from buckthorntack.membership._errors import ItemRefusedError
from buckthorntack.membership._errors import StaleAnnouncementError
from buckthorntack.membership._errors import TableFullError
from buckthorntack.membership._errors import UnknownAgeError
from buckthorntack.membership._task import build_timing
from buckthorntack.membership._task import MembershipTask
from buckthorntack.membership._timing import MembershipTiming
from buckthorntack.membership._view import MembershipView

__all__ = [
    "EntryChanged",
    "EntryRemoved",
    "ForeignAnnouncementError",
    "ItemChanged",
    "ItemRefusedError",
    "MembershipTask",
    "MembershipTiming",
    "MembershipView",
    "SendMessage",
    "ServerChanged",
    "ServerRemoved",
    "StaleAnnouncementError",
    "SummaryChanged",
    "SummaryRemoved",
    "TableFullError",
    "UnknownAgeError",
    "build_timing",
]
