"""Durable state of one replica: owner, log and snapshot."""

import contextlib

import msgspec

from buckthorntack import events
from buckthorntack.storage import _errors
from buckthorntack.storage import _events
from buckthorntack.storage import _log
from buckthorntack.storage import _records
from buckthorntack.storage import _snapshots

_OWNER = "owner"
_LOCK = "lock"


class ReplicaStore:
    """The data folder of one replica; a context manager.

    :param files: file operations.
    :param folder: path of the folder.
    :param group: replicated group that it belongs to.
    :param node_id: node that it belongs to.
    :param segment_bytes: size of a segment of the log.
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
            self._take_folder()
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
        """Place of the newest durable snapshot, or None."""
        return self._snapshot

    def load_snapshot(self):
        """Read the newest snapshot.

        :returns: a ``Snapshot``, or None.
        :raises StorageError: it can't be read.
        """
        return self._snapshots.load()

    def recover(self, new_identity):
        """Read what the folder holds, or prepare an empty one.

        :param new_identity: identity to take if the folder is empty.
        :returns: :class:`Recovered`.
        :raises StorageError: the folder can't be used.
        """
        owner = self._owner(new_identity)
        self._snapshots.remove_older()
        snapshot = self._snapshots.load()
        self._snapshot = snapshot and snapshot.info
        contents = self._log.open()
        entries = self._matching_entries(contents)
        self._events.write(
            _events.FOLDER_OPENED,
            folder=self.folder,
            term=contents.hard_state.term,
            entries=len(entries),
        )
        return _records.Recovered(
            owner.identity, contents.hard_state, snapshot, entries
        )

    def append(self, batch):
        """Write a batch to the log and wait until it lasts.

        :param batch: a ``Batch``.
        :raises StorageError: it may not last.
        """
        self._log.append(batch)

    def write_snapshot(self, snapshot):
        """Write a snapshot of applied state; the log may be used meanwhile.

        :param snapshot: a ``Snapshot``.
        :raises StorageError: it may not last.
        """
        self._snapshots.save(snapshot)

    def release(self, info):
        """Release what a written snapshot covers.

        :param info: place of the snapshot.
        :raises StorageError: the folder can't be changed.
        """
        self._snapshot = info
        self._snapshots.remove_older()
        self._log.release(info.index)
        self._events.write(_events.SNAPSHOT_SAVED, index=info.index)

    def replace(self, snapshot):
        """Save a snapshot received from the leader in place of the log.

        :param snapshot: a ``Snapshot``.
        :raises StorageError: it may not last.
        """
        self._snapshots.save(snapshot)
        self._log.append(_records.Batch(reset=snapshot.info))
        self.release(snapshot.info)

    def _take_folder(self):
        path = f"{self.folder}/{_LOCK}"
        with _errors.typed(self.folder):
            self.files.make_folder(self.folder)
            held = self.files.lock(path)
        if held is None:
            raise _errors.FolderInUseError(self.folder)
        self._resources.enter_context(held)

    def _owner(self, new_identity):
        with _errors.typed(self.folder):
            names = self.files.names(self.folder)
        if _OWNER not in names:
            self._prepare(new_identity)
        payload = _snapshots.read_whole(self.files, self.folder, _OWNER)
        try:
            owner = _records.decode_owner(payload)
        except msgspec.MsgspecError as error:
            raise _errors.CorruptFileError(f"{self.folder}: {error}") from None
        if (owner.group, owner.node_id) != (self.group, self.node_id):
            raise _errors.ForeignFolderError(
                f"{self.folder} is of {owner.node_id} in {owner.group}, "
                f"not of {self.node_id} in {self.group}"
            )
        return owner

    def _prepare(self, new_identity):
        if self._log.exists():
            self._refuse_used_log()
        self._log.create()
        self._log.close()
        owner = _records.FolderOwner(self.group, self.node_id, new_identity)
        payload = _records.encode(owner)
        _snapshots.write_whole(self.files, self.folder, _OWNER, payload)

    def _refuse_used_log(self):
        contents = self._log.open(is_new=True)
        self._log.close()
        used = contents.hard_state != _records.HardState()
        if used or contents.entries:
            raise _errors.CorruptFileError(f"{self.folder} lost its owner")

    def _matching_entries(self, contents):
        if self._snapshot is None:
            self._refuse_missing(contents, 0)
            return contents.entries
        info = self._snapshot
        kept = [e for e in contents.entries if e.index > info.index]
        if self._replaced(contents, info):
            self._log.append(_records.Batch(reset=info))
            return []
        self._refuse_missing(contents, info.index)
        return kept

    def _replaced(self, contents, info):
        """Whether a received snapshot is saved but its reset is not."""
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

    def _refuse_missing(self, contents, index):
        needed = max(index, 0) + 1
        if contents.reset.index > index:
            raise _errors.CorruptFileError(f"{self.folder} lost a snapshot")
        if contents.entries and contents.entries[0].index > needed:
            raise _errors.CorruptFileError(f"{self.folder} lost entries")
