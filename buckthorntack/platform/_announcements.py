"""What servers of the platform say of themselves."""

from typing import Literal
from typing import NotRequired
from typing import TypedDict

from expression import Error
from expression import Ok
import msgspec

from buckthorntack import errors
from buckthorntack.schema import messages


class UnreadableAnnouncementError(errors.GatewayError):
    """An announcement is not of the form that servers use."""

    number = 2301
    status = 400
    kind = "unreadable_announcement"
    remedy = "look for a sender of another version"


class _Announcement(TypedDict):
    service: str
    address: str
    zone: str
    #: Version of its software, not of its weights.
    version: str
    capacity: int
    state: Literal["ready", "draining"]
    #: Grows with each announcement of one start of the server.
    sequence: int
    #: Start of the server, in Unix milliseconds.
    born: NotRequired[int]
    warmup_left_ms: NotRequired[float]
    #: Time until a server that is reclaimed is gone.
    remaining_ms: NotRequired[float | None]


class _Leave(TypedDict):
    born: NotRequired[int]


_ANNOUNCEMENT = msgspec.json.Decoder(_Announcement)
_LEAVE = msgspec.json.Decoder(_Leave)


def read_announcement(server_id, content, regions):
    """Read the announcement of a server.

    :param server_id: its id, from the path.
    :param content: the body.
    :param regions: region of each failure domain.
    :returns: ``Result`` of an ``AnnouncedServer``.
    """
    try:
        document = _ANNOUNCEMENT.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _unreadable(server_id, error)
    region = regions.get(document["zone"])
    if region is None:
        return _unreadable(server_id, f"zone {document['zone']}")
    host, _, port = document["address"].rpartition(":")
    if not host or not port.isdigit():
        return _unreadable(server_id, f"address {document['address']}")
    remaining_ms = document.get("remaining_ms")
    record = messages.AnnouncedServer(
        server_id=server_id,
        born_ms=document.get("born", 0),
        sequence=document["sequence"],
        state=document["state"],
        service=document["service"],
        address=document["address"],
        failure_domain=document["zone"],
        region=region,
        slots=document["capacity"],
        cold_left_ms=int(document.get("warmup_left_ms", 0)),
        reclaim_left_ms=-1 if remaining_ms is None else int(remaining_ms),
        silent=False,
        software_version=document["version"],
    )
    return Ok(record)


def read_leave(content):
    """Incarnation of a server that leaves.

    :param content: the body of its last call; it may be empty.
    :returns: milliseconds; None if it is not told.
    """
    if not content:
        return None
    try:
        return _LEAVE.decode(content).get("born")
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def _unreadable(server_id, error):
    return Error(UnreadableAnnouncementError(f"{server_id}: {error}"))
