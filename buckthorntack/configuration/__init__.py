"""Configuration: replicated objects, changes and their spread."""

from buckthorntack.configuration._administration import Administration
from buckthorntack.configuration._administration import make_proposal
from buckthorntack.configuration._changes import ChangeAnswers
from buckthorntack.configuration._commands import Adopt
from buckthorntack.configuration._commands import ConfirmFresh
from buckthorntack.configuration._commands import MarkRegistered
from buckthorntack.configuration._commands import Register
from buckthorntack.configuration._commands import Send
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
from buckthorntack.configuration._settling import Settling
from buckthorntack.configuration._source import ConfigurationSource
from buckthorntack.configuration._source import Report
from buckthorntack.configuration._source_task import ConfigurationSourceTask

__all__ = [
    "Administration",
    "Adopt",
    "ChangeAnswers",
    "ChangeIdReusedError",
    "ChangeOutcomeUnknownError",
    "ChangePending",
    "ConfigurationFollower",
    "ConfigurationFollowerTask",
    "ConfigurationMachine",
    "ConfigurationSource",
    "ConfigurationSourceTask",
    "ConfirmFresh",
    "CopyStore",
    "InvalidChangeError",
    "MarkRegistered",
    "PublishedLog",
    "Register",
    "Report",
    "RevisionNotReachedError",
    "Send",
    "Settling",
    "make_proposal",
]
