"""Where streams began, so that a client can resume one anywhere."""

from buckthorntack.resumption._events import INCARNATION_UNCONFIRMED
from buckthorntack.resumption._events import ORIGIN_REFUSED
from buckthorntack.resumption._events import ORIGIN_UNKNOWN
from buckthorntack.resumption._events import ORIGINS_CUT
from buckthorntack.resumption._holders import choose_holders
from buckthorntack.resumption._incarnations import compare_incarnation
from buckthorntack.resumption._incarnations import IncarnationCheck
from buckthorntack.resumption._incarnations import IncarnationState
from buckthorntack.resumption._lookups import OriginLookups
from buckthorntack.resumption._origins import Beginning
from buckthorntack.resumption._origins import derive_key
from buckthorntack.resumption._origins import group_beginnings
from buckthorntack.resumption._origins import group_origins
from buckthorntack.resumption._origins import is_credible
from buckthorntack.resumption._origins import OriginStore
from buckthorntack.resumption._origins import split_keys
from buckthorntack.resumption._origins import StreamOrigin
from buckthorntack.resumption._origins import ungroup_origins

__all__ = [
    "INCARNATION_UNCONFIRMED",
    "ORIGIN_REFUSED",
    "ORIGIN_UNKNOWN",
    "ORIGINS_CUT",
    "Beginning",
    "IncarnationCheck",
    "IncarnationState",
    "OriginLookups",
    "OriginStore",
    "StreamOrigin",
    "choose_holders",
    "compare_incarnation",
    "derive_key",
    "group_beginnings",
    "group_origins",
    "is_credible",
    "split_keys",
    "ungroup_origins",
]
