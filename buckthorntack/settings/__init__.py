"""Settings files and secrets of one process."""

from buckthorntack.settings import _events  # noqa: F401
from buckthorntack.settings._addresses import Address
from buckthorntack.settings._addresses import parse_address
from buckthorntack.settings._defaults import default_limits
from buckthorntack.settings._defaults import default_log
from buckthorntack.settings._defaults import default_timing
from buckthorntack.settings._defaults import with_defaults
from buckthorntack.settings._errors import SecretFileError
from buckthorntack.settings._errors import SettingsError
from buckthorntack.settings._errors import SettingsFinding
from buckthorntack.settings._secrets import read_secret
from buckthorntack.settings._secrets import Secret
from buckthorntack.settings._secrets import write_secret
from buckthorntack.settings._settings import check_settings
from buckthorntack.settings._settings import from_document
from buckthorntack.settings._settings import load

__all__ = [
    "Address",
    "Secret",
    "SecretFileError",
    "SettingsError",
    "SettingsFinding",
    "check_settings",
    "default_limits",
    "default_log",
    "default_timing",
    "from_document",
    "load",
    "parse_address",
    "read_secret",
    "with_defaults",
    "write_secret",
]
