"""Links between our own processes, and HTTP listeners.

What needs uvicorn, litestar, httpx or pyzmq is imported on first use, as some
programs use links alone.
"""

import importlib

from buckthorntack.transport._plain_links import PlainLinks
from buckthorntack.transport._sockets import bind_listener
from buckthorntack.transport._sockets import listener_url
from buckthorntack.transport._sockets import set_liveness

__all__ = [
    "HttpListener",
    "LinkShaper",
    "LinkTask",
    "PlainLinks",
    "StreamingTransport",
    "Unshaped",
    "bind_listener",
    "listener_url",
    "mounted_app",
    "set_liveness",
]

_ON_FIRST_USE = {
    "HttpListener": "_http",
    "LinkShaper": "_shaping",
    "LinkTask": "_links",
    "StreamingTransport": "_streaming",
    "Unshaped": "_shaping",
    "mounted_app": "_http",
}


def __getattr__(name):
    module = _ON_FIRST_USE.get(name)
    if module is None:
        raise AttributeError(f"module {__name__} has no attribute {name}")
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)
