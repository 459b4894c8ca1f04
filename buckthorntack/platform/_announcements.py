"""What servers of the platform say of themselves."""

import datetime
from typing import Annotated
from typing import Literal
from typing import NotRequired
from typing import TypedDict

from expression import Error
from expression import Ok
import msgspec

from buckthorntack import discovery
from buckthorntack import errors
from buckthorntack.schema import messages

#: Bytes of an announcement; true ones have a few hundred.
MAX_ANNOUNCEMENT_BYTES = 65_536
#: Time by which the clocks of a server and of a VM differ at most.
MAX_CLOCK_LEAD = datetime.timedelta(days=1)
#: Length of the error that is logged and answered.
MAX_DETAIL_LENGTH = 500
_MS = datetime.timedelta(milliseconds=1)

_Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=discovery.MAX_NAME_LENGTH)
]
# The highest count marks those that are gone.
_Count = Annotated[int, msgspec.Meta(ge=0, lt=discovery.MAX_COUNT)]
_Milliseconds = Annotated[float, msgspec.Meta(le=discovery.MAX_REMAINING_MS)]


class UnreadableAnnouncementError(errors.GatewayError):
    """An announcement is not of the form that servers use."""

    number = 2301
    status = 400
    kind = "unreadable_announcement"
    remedy = "look for a sender of another version"


class _Announcement(TypedDict):
    service: _Name
    address: _Name
    zone: _Name
    #: Version of its software, not of its weights.
    version: _Name
    capacity: Annotated[int, msgspec.Meta(ge=1, le=discovery.MAX_SLOTS)]
    state: Literal["ready", "draining"]
    #: Grows with each announcement of one start of the server.
    sequence: _Count
    #: Start of the server, in Unix milliseconds.
    born: NotRequired[_Count]
    warmup_left_ms: NotRequired[_Milliseconds]
    #: Time until a server that is reclaimed is gone.
    remaining_ms: NotRequired[_Milliseconds | None]


class _Leave(TypedDict):
    born: NotRequired[_Count]


_ANNOUNCEMENT = msgspec.json.Decoder(_Announcement)
_LEAVE = msgspec.json.Decoder(_Leave)


def read_start(content):
    """Read the start of a server from what it says of itself.

    :param content: a JSON object.
    :returns: Unix milliseconds; None if it can't be read or does not say.
    """
    return _decode(_LEAVE, content).map(_start_of).default_value(None)


def read_announcement(server_id, content, regions, unix_time):
    """Read the announcement of a server.

    :param server_id: its id, from the path.
    :param content: the body.
    :param regions: region of each failure domain.
    :param unix_time: time of day, as ``timedelta`` since 1970.
    :returns: ``Result`` of an ``AnnouncedServer``.
    """
    if not discovery.is_record_id(server_id):
        return _unreadable(server_id, "not the id of a server")
    decoded = _decode(_ANNOUNCEMENT, content)
    if decoded.is_error():
        return _unreadable(server_id, decoded.error)
    document = decoded.ok
    region = regions.get(document["zone"])
    if region is None:
        return _unreadable(server_id, f"zone {document['zone']}")
    if not discovery.is_address(document["address"]):
        return _unreadable(server_id, f"address {document['address']}")
    born_ms = document.get("born", 0)
    if born_ms * _MS > unix_time + MAX_CLOCK_LEAD:
        return _unreadable(server_id, f"born in the future, at {born_ms} ms")
    remaining_ms = document.get("remaining_ms")
    record = messages.AnnouncedServer(
        server_id=server_id,
        born_ms=born_ms,
        sequence=document["sequence"],
        state=document["state"],
        service=document["service"],
        address=document["address"],
        failure_domain=document["zone"],
        region=region,
        slots=document["capacity"],
        cold_left_ms=max(0, int(document.get("warmup_left_ms", 0))),
        reclaim_left_ms=(
            -1 if remaining_ms is None else max(0, int(remaining_ms))
        ),
        silent=False,
        software_version=document["version"],
    )
    return Ok(record)


def read_leave(content):
    """Read which incarnation of a server leaves.

    :param content: the body of its last call; it may be empty.
    :returns: ``Result`` of its start in milliseconds; None if it is not told.
    """
    if not content:
        return Ok(None)
    return _decode(_LEAVE, content).map(_start_of)


def _decode(decoder, content):
    """Decode a document; return a ``Result``."""
    if len(content) > MAX_ANNOUNCEMENT_BYTES:
        return Error(f"{len(content)} bytes")
    try:
        return Ok(decoder.decode(content))
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        return Error(error)


def _unreadable(server_id, error):
    text = f"{server_id}: {error}"
    return Error(UnreadableAnnouncementError(text[:MAX_DETAIL_LENGTH]))


def _start_of(document):
    return document.get("born")
