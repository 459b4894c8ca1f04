"""Replication of configuration objects and their distribution."""

from buckthorntack.configuration._administration import Administration
from buckthorntack.configuration._administration import make_proposal
from buckthorntack.configuration._changes import ChangeHistory
from buckthorntack.configuration._commands import Activate
from buckthorntack.configuration._commands import ConfirmRevision
from buckthorntack.configuration._commands import ProposeRegistration
from buckthorntack.configuration._commands import Send
from buckthorntack.configuration._commands import StoreRegistration
from buckthorntack.configuration._copy_store import CopyStore
from buckthorntack.configuration._errors import ChangeIdReusedError
from buckthorntack.configuration._errors import ChangeOutcomeUnknownError
from buckthorntack.configuration._errors import InvalidChangeError
from buckthorntack.configuration._errors import RevisionNotReachedError
from buckthorntack.configuration._follow_task import ConfigurationFollowerTask
from buckthorntack.configuration._follower import ConfigurationFollower
from buckthorntack.configuration._log import PublishedLog
from buckthorntack.configuration._machine import ChangePending
from buckthorntack.configuration._machine import ConfigurationMachine
from buckthorntack.configuration._settlement import SettlementPlanner
from buckthorntack.configuration._source import ConfigurationSource
from buckthorntack.configuration._source import EntryVmReport
from buckthorntack.configuration._source_task import ConfigurationSourceTask

__all__ = [
    "Activate",
    "Administration",
    "ChangeHistory",
    "ChangeIdReusedError",
    "ChangeOutcomeUnknownError",
    "ChangePending",
    "ConfigurationFollower",
    "ConfigurationFollowerTask",
    "ConfigurationMachine",
    "ConfigurationSource",
    "ConfigurationSourceTask",
    "ConfirmRevision",
    "CopyStore",
    "EntryVmReport",
    "InvalidChangeError",
    "ProposeRegistration",
    "PublishedLog",
    "RevisionNotReachedError",
    "Send",
    "SettlementPlanner",
    "StoreRegistration",
    "make_proposal",
]
