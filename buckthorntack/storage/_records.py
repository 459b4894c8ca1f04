"""Records of the log and of snapshots, with their codecs."""

from typing import NamedTuple

import msgspec

from buckthorntack.schema import messages


class HardState(NamedTuple):
    """Raft state that a replica stores besides its log entries."""

    term: int = 0
    vote: str = ""
    peers: dict[str, str] = {}
    enrolled: bool = False
    replaced: bool = False


class SnapshotInfo(NamedTuple):
    """Metadata of a snapshot: its last entry and the members at that entry."""

    index: int = 0
    term: int = 0
    configuration: bytes = b""


class Snapshot(NamedTuple):
    """A snapshot of the replicated state machine."""

    info: SnapshotInfo
    data: bytes


class Batch(NamedTuple):
    """Contents of one write to the log.

    The entries replace all stored entries from their first index on.  A reset
    removes all stored entries, as a received snapshot replaces them.
    """

    hard_state: HardState | None = None
    reset: SnapshotInfo | None = None
    entries: list[messages.LogEntry] = []


class RecoveredState(NamedTuple):
    """Durable state that a replica reads at its start."""

    identity: str
    hard_state: HardState
    snapshot: Snapshot | None
    entries: list[messages.LogEntry]


class FolderOwner(NamedTuple):
    """Replica that a data folder belongs to, with its disk identity."""

    group: str
    node_id: str
    identity: str


_ENCODER = msgspec.msgpack.Encoder()
_BATCH_DECODER = msgspec.msgpack.Decoder(Batch)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)
_OWNER_DECODER = msgspec.msgpack.Decoder(FolderOwner)


def encode(record):
    """Encode a record.

    :param record: record of one of the types in this module.
    :returns: the encoded bytes.
    """
    return _ENCODER.encode(record)


def decode_batch(payload):
    """Decode a :class:`Batch`.

    :param payload: the encoded bytes.
    """
    return _BATCH_DECODER.decode(payload)


def decode_snapshot(payload):
    """Decode a :class:`Snapshot`.

    :param payload: the encoded bytes.
    """
    return _SNAPSHOT_DECODER.decode(payload)


def decode_owner(payload):
    """Decode a :class:`FolderOwner`.

    :param payload: the encoded bytes.
    """
    return _OWNER_DECODER.decode(payload)
