"""Links between the nodes of a deployment, HTTP listeners and transports.

Modules that need uvicorn, litestar, httpx or pyzmq are imported on first use,
as some programs use links only.
"""

import importlib

from buckthorntack.transport._plain_links import PlainLinks
from buckthorntack.transport._sockets import bind_listener
from buckthorntack.transport._sockets import configure_dead_peer_detection
from buckthorntack.transport._sockets import count_unacknowledged
from buckthorntack.transport._sockets import count_unread
from buckthorntack.transport._sockets import has_peer_closed
from buckthorntack.transport._sockets import listener_url
from buckthorntack.transport._sockets import measure_silence_ms
from buckthorntack.transport._sockets import raise_send_buffer
from buckthorntack.transport._sockets import set_reset_on_close
from buckthorntack.transport._sockets import set_user_timeout

__all__ = [
    "HttpListener",
    "LinkShaper",
    "LinkTask",
    "PlainLinks",
    "StreamingTransport",
    "Unshaped",
    "bind_listener",
    "count_unacknowledged",
    "count_unread",
    "set_user_timeout",
    "listener_url",
    "mounted_app",
    "has_peer_closed",
    "measure_silence_ms",
    "raise_send_buffer",
    "set_reset_on_close",
    "configure_dead_peer_detection",
]

_LAZY_MODULES = {
    "HttpListener": "_http",
    "LinkShaper": "_shaping",
    "LinkTask": "_links",
    "StreamingTransport": "_streaming",
    "Unshaped": "_shaping",
    "mounted_app": "_http",
}


def __getattr__(name):
    module = _LAZY_MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__} has no attribute {name}")
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)
