"""Nodes that find each other and serve routes of a published version.

The formats that callers, servers and operators speak are a ``Dialect``; see
``buckthorntack.platform`` for one.
"""

from buckthorntack.gateway._control import ControlNode
from buckthorntack.gateway._dialect import AnswerFacts
from buckthorntack.gateway._dialect import Dialect
from buckthorntack.gateway._dialect import RequestFacts
from buckthorntack.gateway._entry import EntryNode
from buckthorntack.gateway._errors import SettingsError
from buckthorntack.gateway._run import run
from buckthorntack.gateway._settings import NodeSettings

__all__ = [
    "AnswerFacts",
    "ControlNode",
    "Dialect",
    "EntryNode",
    "NodeSettings",
    "RequestFacts",
    "SettingsError",
    "run",
]
