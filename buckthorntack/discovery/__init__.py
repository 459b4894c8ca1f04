"""How nodes find each other and the backend servers, from a few seeds.

Control VMs gather announcements of backend servers and reports of nodes in
registries, which they exchange.  Each entry VM follows the registry of one
control VM.
"""

from buckthorntack.discovery._directory import directory
from buckthorntack.discovery._followers import Followers
from buckthorntack.discovery._formation import AddLearner
from buckthorntack.discovery._formation import address_of
from buckthorntack.discovery._formation import DISK_MARK
from buckthorntack.discovery._formation import Formation
from buckthorntack.discovery._formation import Promote
from buckthorntack.discovery._formation import Remove
from buckthorntack.discovery._formation import REPLACE_AFTER
from buckthorntack.discovery._guides import Guides
from buckthorntack.discovery._registry import Registry
from buckthorntack.discovery._registry import ServerView
from buckthorntack.discovery._timing import Timing

__all__ = [
    "DISK_MARK",
    "REPLACE_AFTER",
    "AddLearner",
    "Followers",
    "Formation",
    "Guides",
    "Promote",
    "Registry",
    "Remove",
    "ServerView",
    "Timing",
    "address_of",
    "directory",
]
