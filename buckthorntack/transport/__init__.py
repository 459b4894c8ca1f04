"""Links between our own processes, and HTTP listeners."""

from buckthorntack.transport._http import bind_listener
from buckthorntack.transport._http import HttpListener
from buckthorntack.transport._http import listener_url
from buckthorntack.transport._http import mounted_app
from buckthorntack.transport._links import LinkTask
from buckthorntack.transport._shaping import LinkShaper
from buckthorntack.transport._shaping import Unshaped
from buckthorntack.transport._streaming import StreamingTransport

__all__ = [
    "HttpListener",
    "LinkShaper",
    "LinkTask",
    "StreamingTransport",
    "Unshaped",
    "bind_listener",
    "listener_url",
    "mounted_app",
]
