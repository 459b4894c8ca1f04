"""Adapter to the users' platform: its names, formats and calls.

Nothing here decides; nothing outside knows the platform's names.
"""

from buckthorntack import _lazy_imports

__getattr__, __dir__, __all__ = _lazy_imports.attach(
    __name__,
    {
        "buckthorntack.platform._dialect": ("PlatformDialect",),
        "buckthorntack.platform._settings": ("load_settings",),
    },
)
