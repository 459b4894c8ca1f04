"""Durable storage of replicas: write-ahead log, snapshots, checksums."""

from buckthorntack.storage._errors import CorruptFileError
from buckthorntack.storage._errors import DiskFailedError
from buckthorntack.storage._errors import DiskFullError
from buckthorntack.storage._errors import FolderInUseError
from buckthorntack.storage._errors import ForeignFolderError
from buckthorntack.storage._errors import StorageError
from buckthorntack.storage._files import Files
from buckthorntack.storage._files import SystemFiles
from buckthorntack.storage._files import WritableFile
from buckthorntack.storage._records import Batch
from buckthorntack.storage._records import HardState
from buckthorntack.storage._records import RecoveredState
from buckthorntack.storage._records import Snapshot
from buckthorntack.storage._records import SnapshotInfo
from buckthorntack.storage._snapshots import read_checked_file
from buckthorntack.storage._snapshots import write_file_atomically
from buckthorntack.storage._store import ReplicaStore

__all__ = [
    "Batch",
    "CorruptFileError",
    "DiskFailedError",
    "DiskFullError",
    "Files",
    "FolderInUseError",
    "ForeignFolderError",
    "HardState",
    "RecoveredState",
    "ReplicaStore",
    "Snapshot",
    "SnapshotInfo",
    "StorageError",
    "SystemFiles",
    "WritableFile",
    "read_checked_file",
    "write_file_atomically",
]
