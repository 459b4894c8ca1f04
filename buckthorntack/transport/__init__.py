"""Links between our own processes, and HTTP listeners."""

from buckthorntack.transport._http import bind_listener
from buckthorntack.transport._http import HttpListener
from buckthorntack.transport._http import listener_url
from buckthorntack.transport._links import LinkKeys
from buckthorntack.transport._links import LinkTask
from buckthorntack.transport._links import new_link_keys
from buckthorntack.transport._shaping import LinkShaper
from buckthorntack.transport._shaping import Unshaped

__all__ = [
    "HttpListener",
    "LinkKeys",
    "LinkShaper",
    "LinkTask",
    "Unshaped",
    "bind_listener",
    "listener_url",
    "new_link_keys",
]
