"""Entry VMs that proxy requests, and control VMs that coordinate them.

A ``Dialect`` defines the formats of requests, responses and configurations;
``buckthorntack.platform`` implements one.
"""

from buckthorntack import _lazy_imports

__getattr__, __dir__, __all__ = _lazy_imports.attach(
    __name__,
    {
        "buckthorntack.gateway._authorisation": ("Caller",),
        "buckthorntack.gateway._control": ("ControlNode",),
        "buckthorntack.gateway._dialect": (
            "Dialect",
            "NO_LIMIT",
            "RequestMetadata",
            "ResponseMetadata",
            "StatedRate",
        ),
        "buckthorntack.gateway._entry": ("EntryNode",),
        "buckthorntack.gateway._errors": ("SettingsError",),
        "buckthorntack.gateway._operators": ("Operator",),
        "buckthorntack.gateway._run": ("run",),
        "buckthorntack.gateway._settings": ("NodeSettings",),
    },
)
