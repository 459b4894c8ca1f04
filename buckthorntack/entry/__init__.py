"""The entry role: callers, backend servers, forwarding."""

from buckthorntack.entry._attempt import AttemptClient
from buckthorntack.entry._relay import EventRelay
from buckthorntack.entry._role import EntryRole

__all__ = ["AttemptClient", "EntryRole", "EventRelay"]
