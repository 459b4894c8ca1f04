"""Durable state of one replica: owner file, log and snapshots."""

import contextlib

import msgspec

from buckthorntack import events
from buckthorntack.storage import _errors
from buckthorntack.storage import _events
from buckthorntack.storage import _log
from buckthorntack.storage import _records
from buckthorntack.storage import _snapshots

_OWNER_FILE = "owner"
_LOCK_FILE = "lock"


class ReplicaStore:
    """Data folder of one replica; a context manager.

    :param files: ``Files`` to use.
    :param folder: path of the data folder.
    :param group: id of the replica's group.
    :param node_id: node id of the replica.
    :param segment_bytes: size at which a new log segment is started.
    """

    def __init__(
        self, files, folder, group, node_id, segment_bytes=_log.SEGMENT_BYTES
    ):
        self.files = files
        self.folder = folder
        self.group = group
        self.node_id = node_id
        self.segment_bytes = segment_bytes
        self._resources = contextlib.ExitStack()
        self._events = events.EventLog("storage")
        self._log = None
        self._snapshots = None
        self._snapshot = None

    def __enter__(self):
        with self._resources:
            self._lock_folder()
            self._log = self._resources.enter_context(
                _log.WriteAheadLog(self.files, self.folder, self.segment_bytes)
            )
            self._snapshots = _snapshots.Snapshots(self.files, self.folder)
            self._resources = self._resources.pop_all()
        return self

    def __exit__(self, *exception):
        self._resources.close()

    @property
    def snapshot(self):
        """``SnapshotInfo`` of the newest durable snapshot, or None."""
        return self._snapshot

    def recover(self, new_identity):
        """Read the data folder, or initialize an empty one.

        :param new_identity: disk identity to store if the folder is empty.
        :returns: ``RecoveredState``.
        :raises StorageError: the folder can't be used.
        """
        owner = self._load_owner(new_identity)
        self._snapshots.remove_older()
        snapshot = self._snapshots.load()
        self._snapshot = snapshot and snapshot.info
        contents = self._log.open()
        entries = self._load_entries(contents)
        self._events.write(
            _events.FOLDER_OPENED,
            folder=self.folder,
            term=contents.hard_state.term,
            entries=len(entries),
        )
        return _records.RecoveredState(
            owner.identity, contents.hard_state, snapshot, entries
        )

    def append(self, batch):
        """Write a batch to the log durably.

        :param batch: a ``Batch``.
        :raises StorageError: the batch may not be durable.
        """
        self._log.append(batch)

    def write_snapshot(self, snapshot):
        """Write a snapshot of applied state.

        Other threads may append to the log at the same time.

        :param snapshot: a ``Snapshot``.
        :raises StorageError: the snapshot may not be durable.
        """
        self._snapshots.save(snapshot)

    def compact(self, info):
        """Remove log segments and older snapshots that a snapshot covers.

        :param info: ``SnapshotInfo`` of a durable snapshot.
        :raises StorageError: the folder can't be changed.
        """
        self._snapshot = info
        self._snapshots.remove_older()
        self._log.compact(info.index)
        self._events.write(_events.SNAPSHOT_SAVED, index=info.index)

    def install_snapshot(self, snapshot):
        """Replace the log by a snapshot received from the leader.

        :param snapshot: a ``Snapshot``.
        :raises StorageError: the snapshot may not be durable.
        """
        self._snapshots.save(snapshot)
        self._log.append(_records.Batch(reset=snapshot.info))
        self.compact(snapshot.info)

    def _lock_folder(self):
        path = f"{self.folder}/{_LOCK_FILE}"
        with _errors.translate_os_errors(self.folder):
            self.files.create_folder(self.folder)
            lock = self.files.lock(path)
        if lock is None:
            raise _errors.FolderInUseError(self.folder)
        self._resources.enter_context(lock)

    def _load_owner(self, new_identity):
        with _errors.translate_os_errors(self.folder):
            names = self.files.list_names(self.folder)
        if _OWNER_FILE not in names:
            self._initialize_folder(new_identity)
        payload = _snapshots.read_checked_file(
            self.files, self.folder, _OWNER_FILE
        )
        try:
            owner = _records.decode_owner(payload)
        except msgspec.MsgspecError as error:
            raise _errors.CorruptFileError(f"{self.folder}: {error}") from None
        if (owner.group, owner.node_id) != (self.group, self.node_id):
            raise _errors.ForeignFolderError(
                f"{self.folder} belongs to {owner.node_id} in {owner.group}, "
                f"not to {self.node_id} in {self.group}"
            )
        return owner

    def _initialize_folder(self, new_identity):
        if self._log.exists():
            self._check_log_is_unused()
        self._log.create()
        self._log.close()
        owner = _records.FolderOwner(self.group, self.node_id, new_identity)
        payload = _records.encode(owner)
        _snapshots.write_file_atomically(
            self.files, self.folder, _OWNER_FILE, payload
        )

    def _check_log_is_unused(self):
        contents = self._log.open(allow_empty=True)
        self._log.close()
        is_used = contents.hard_state != _records.HardState()
        if is_used or contents.entries:
            raise _errors.CorruptFileError(f"{self.folder} has no owner file")

    def _load_entries(self, contents):
        if self._snapshot is None:
            self._check_continuity(contents, 0)
            return contents.entries
        info = self._snapshot
        kept = [e for e in contents.entries if e.index > info.index]
        if self._is_reset_missing(contents, info):
            self._log.append(_records.Batch(reset=info))
            return []
        self._check_continuity(contents, info.index)
        return kept

    def _is_reset_missing(self, contents, info):
        """Whether a crash came between saving a snapshot and the log's reset.

        Only a snapshot received from the leader resets the log.
        """
        if contents.reset.index == info.index:
            return False
        if not contents.entries:
            return contents.reset.index < info.index
        first = contents.entries[0].index
        if contents.entries[-1].index < info.index:
            return True
        if first > info.index:
            return False
        return contents.entries[info.index - first].term != info.term

    def _check_continuity(self, contents, index):
        next_index = max(index, 0) + 1
        if contents.reset.index > index:
            raise _errors.CorruptFileError(f"{self.folder} lacks a snapshot")
        if contents.entries and contents.entries[0].index > next_index:
            raise _errors.CorruptFileError(f"{self.folder} lacks log entries")
