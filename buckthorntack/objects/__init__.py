"""Reading, validation and lookup of the objects that operators publish."""

from buckthorntack.objects._check import check
from buckthorntack.objects._check import check_change
from buckthorntack.objects._check import rules
from buckthorntack.objects._findings import format_finding
from buckthorntack.objects._folder import check_folder
from buckthorntack.objects._folder import load_folder
from buckthorntack.objects._folder import LoadedFolder
from buckthorntack.objects._kinds import KINDS
from buckthorntack.objects._published import PublishedSet
from buckthorntack.objects._registry import Rule
from buckthorntack.objects._registry import rule_meanings

__all__ = [
    "KINDS",
    "LoadedFolder",
    "PublishedSet",
    "Rule",
    "check",
    "check_change",
    "check_folder",
    "format_finding",
    "load_folder",
    "rule_meanings",
    "rules",
]
