"""The control role: administration API."""

from buckthorntack.control._admin import create_admin_app
from buckthorntack.control._admin import error_answer
from buckthorntack.control._administration import Administration
from buckthorntack.control._errors import AdministrationFault
from buckthorntack.control._errors import CallTooLargeError
from buckthorntack.control._errors import MalformedCallError
from buckthorntack.control._errors import UnknownCallError
from buckthorntack.control._errors import UnknownObjectError
from buckthorntack.control._role import ControlRole
from buckthorntack.control._role import ledger_group

__all__ = [
    "Administration",
    "AdministrationFault",
    "CallTooLargeError",
    "ControlRole",
    "MalformedCallError",
    "UnknownCallError",
    "UnknownObjectError",
    "create_admin_app",
    "error_answer",
    "ledger_group",
]
