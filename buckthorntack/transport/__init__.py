"""Links between our own processes, and HTTP listeners.

What needs uvicorn, litestar or httpx is imported on first use, as some
programs use links alone.
"""

import importlib

from buckthorntack.transport._links import LinkTask
from buckthorntack.transport._shaping import LinkShaper
from buckthorntack.transport._shaping import Unshaped
from buckthorntack.transport._sockets import bind_listener
from buckthorntack.transport._sockets import listener_url

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

_ON_FIRST_USE = {
    "HttpListener": "_http",
    "StreamingTransport": "_streaming",
    "mounted_app": "_http",
}


def __getattr__(name):
    module = _ON_FIRST_USE.get(name)
    if module is None:
        raise AttributeError(f"module {__name__} has no attribute {name}")
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)
