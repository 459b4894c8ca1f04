"""Service discovery: how nodes find each other and the backend servers.

Nodes start from a few seed addresses.  Each control VM keeps a registry of
the backend servers and nodes that announce themselves, and exchanges changes
with the other control VMs.  Each entry VM follows the registry of one control
VM.
"""

from buckthorntack.discovery._control_selector import ControlVmSelector
from buckthorntack.discovery._directory import AddressScope
from buckthorntack.discovery._directory import DirectoryAnswer
from buckthorntack.discovery._directory import select_entry_vms
from buckthorntack.discovery._followers import Followers
from buckthorntack.discovery._member_changes import AddLearner
from buckthorntack.discovery._member_changes import address_of
from buckthorntack.discovery._member_changes import ControlVms
from buckthorntack.discovery._member_changes import DISK_ID_SEPARATOR
from buckthorntack.discovery._member_changes import MemberChangePlanner
from buckthorntack.discovery._member_changes import Promote
from buckthorntack.discovery._member_changes import Remove
from buckthorntack.discovery._member_changes import Replace
from buckthorntack.discovery._ranges import find_node_fault
from buckthorntack.discovery._ranges import is_address
from buckthorntack.discovery._ranges import is_incarnation
from buckthorntack.discovery._ranges import is_record_id
from buckthorntack.discovery._ranges import MAX_COUNT
from buckthorntack.discovery._ranges import MAX_NAME_LENGTH
from buckthorntack.discovery._ranges import MAX_REMAINING_MS
from buckthorntack.discovery._ranges import MAX_SLOTS
from buckthorntack.discovery._ranges import set_aside_unsound
from buckthorntack.discovery._ranges import UnsoundRecord
from buckthorntack.discovery._registrars import choose_registrar
from buckthorntack.discovery._registrars import is_cut_off
from buckthorntack.discovery._registry import Registry
from buckthorntack.discovery._registry import select_returned
from buckthorntack.discovery._registry import ServerView
from buckthorntack.discovery._timing import Timing
from buckthorntack.discovery._versions import can_all_follow
from buckthorntack.discovery._versions import can_members_follow
from buckthorntack.discovery._versions import count_protocol_versions
from buckthorntack.discovery._versions import PROTOCOL_VERSION

__all__ = [
    "AddressScope",
    "DirectoryAnswer",
    "DISK_ID_SEPARATOR",
    "AddLearner",
    "ControlVmSelector",
    "ControlVms",
    "Followers",
    "MAX_COUNT",
    "MAX_NAME_LENGTH",
    "MAX_REMAINING_MS",
    "MAX_SLOTS",
    "MemberChangePlanner",
    "PROTOCOL_VERSION",
    "Promote",
    "Registry",
    "Remove",
    "Replace",
    "ServerView",
    "Timing",
    "UnsoundRecord",
    "address_of",
    "can_all_follow",
    "can_members_follow",
    "choose_registrar",
    "count_protocol_versions",
    "find_node_fault",
    "is_address",
    "is_cut_off",
    "is_incarnation",
    "is_record_id",
    "select_entry_vms",
    "select_returned",
    "set_aside_unsound",
]
