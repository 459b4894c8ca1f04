"""Adapter to the users' platform: its names, formats and calls.

Nothing here decides; nothing outside knows the platform's names.
"""

from buckthorntack.platform._dialect import PlatformDialect
from buckthorntack.platform._settings import load_settings

__all__ = ["PlatformDialect", "load_settings"]
