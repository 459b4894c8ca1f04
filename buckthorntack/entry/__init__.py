"""Entry role: serves callers and backend servers, forwards requests."""

from buckthorntack.entry._attempt import AttemptClient
from buckthorntack.entry._relay import EventRelay
from buckthorntack.entry._role import EntryRole

__all__ = ["AttemptClient", "EntryRole", "EventRelay"]
