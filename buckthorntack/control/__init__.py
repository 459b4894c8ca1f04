"""Control role: replicas and administration API of a control VM."""

from buckthorntack.control._admin import build_error_body
from buckthorntack.control._admin import create_admin_app
from buckthorntack.control._administration import Administration
from buckthorntack.control._errors import CallTooLargeError
from buckthorntack.control._errors import InternalError
from buckthorntack.control._errors import MalformedCallError
from buckthorntack.control._errors import UnknownCallError
from buckthorntack.control._errors import UnknownObjectError
from buckthorntack.control._role import ControlRole
from buckthorntack.control._role import ledger_group_id

__all__ = [
    "Administration",
    "CallTooLargeError",
    "ControlRole",
    "InternalError",
    "MalformedCallError",
    "UnknownCallError",
    "UnknownObjectError",
    "build_error_body",
    "create_admin_app",
    "ledger_group_id",
]
