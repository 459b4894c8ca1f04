"""Records of the log and of snapshots, and their codecs."""

from typing import NamedTuple

import msgspec

from buckthorntack.schema import messages


class HardState(NamedTuple):
    """What a replica must remember besides its log."""

    term: int = 0
    vote: str = ""
    peers: dict[str, str] = {}
    enrolled: bool = False
    replaced: bool = False


class SnapshotInfo(NamedTuple):
    """Place of a snapshot in the log, with the members at that place."""

    index: int = 0
    term: int = 0
    configuration: bytes = b""


class Snapshot(NamedTuple):
    """A snapshot with its data."""

    info: SnapshotInfo
    data: bytes


class Batch(NamedTuple):
    """What one write to the log adds.

    Entries replace all stored ones from their first index on.  A reset drops
    all stored entries.
    """

    hard_state: HardState | None = None
    reset: SnapshotInfo | None = None
    entries: list[messages.LogEntry] = []


class Recovered(NamedTuple):
    """What a replica finds on its disk."""

    identity: str
    hard_state: HardState
    snapshot: Snapshot | None
    entries: list[messages.LogEntry]


class FolderOwner(NamedTuple):
    """Whose a data folder is."""

    group: str
    node_id: str
    identity: str


_ENCODER = msgspec.msgpack.Encoder()
_BATCH = msgspec.msgpack.Decoder(Batch)
_SNAPSHOT = msgspec.msgpack.Decoder(Snapshot)
_OWNER = msgspec.msgpack.Decoder(FolderOwner)


def encode(record):
    """Encode a record.

    :param record: one of the types of this module.
    """
    return _ENCODER.encode(record)


def decode_batch(payload):
    """Decode a :class:`Batch`.

    :param payload: its bytes.
    """
    return _BATCH.decode(payload)


def decode_snapshot(payload):
    """Decode a :class:`Snapshot`.

    :param payload: its bytes.
    """
    return _SNAPSHOT.decode(payload)


def decode_owner(payload):
    """Decode a :class:`FolderOwner`.

    :param payload: its bytes.
    """
    return _OWNER.decode(payload)
