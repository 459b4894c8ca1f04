"""Snapshots, each a file that is whole or absent."""

import os
import re

import msgspec

from buckthorntack.storage import _errors
from buckthorntack.storage import _frames
from buckthorntack.storage import _records

_NAME = re.compile(r"snapshot-(\d{20})")
_PARTIAL = ".partial"


def write_whole(files, folder, name, payload):
    """Write a file so that it is either whole or absent.

    :param files: file operations.
    :param folder: path of its folder.
    :param name: name of the file.
    :param payload: what it shall hold.
    :raises StorageError: it may not last.
    """
    path = os.path.join(folder, name)
    partial = path + _PARTIAL
    with _errors.typed(path):
        file = files.append(partial)
        try:
            file.truncate(0)
            file.write(_frames.frame(payload, 0, 0))
            file.sync()
        finally:
            file.close()
        files.rename(partial, path)
        files.sync_folder(folder)


def read_whole(files, folder, name):
    """Read a file that :func:`write_whole` wrote.

    :param files: file operations.
    :param folder: path of its folder.
    :param name: name of the file.
    :returns: its payload.
    :raises CorruptFileError: the contents were lost.
    """
    path = os.path.join(folder, name)
    with _errors.typed(path):
        data = files.read(path)
    payload = _frames.payload_at(data, 0, 0)
    whole = payload is not None
    if not whole or len(data) != _frames.HEADER_BYTES + len(payload):
        raise _errors.CorruptFileError(path)
    return payload


class Snapshots:
    """The snapshots of one replica.

    :param files: file operations.
    :param folder: path of the folder.
    """

    def __init__(self, files, folder):
        self.files = files
        self.folder = folder

    def save(self, snapshot):
        """Write a snapshot; older ones stay.

        :param snapshot: a ``Snapshot``.
        :raises StorageError: it may not last.
        """
        name = f"snapshot-{snapshot.info.index:020}"
        payload = _records.encode(snapshot)
        write_whole(self.files, self.folder, name, payload)

    def load(self):
        """Newest snapshot.

        :returns: it, or None.
        :raises CorruptFileError: its contents were lost.
        """
        names = [name for name in self._names() if _NAME.fullmatch(name)]
        if not names:
            return None
        name = max(names)
        payload = read_whole(self.files, self.folder, name)
        try:
            return _records.decode_snapshot(payload)
        except msgspec.MsgspecError as error:
            path = os.path.join(self.folder, name)
            raise _errors.CorruptFileError(f"{path}: {error}") from error

    def remove_older(self):
        """Remove all but the newest snapshot, and unfinished ones.

        :raises StorageError: the folder can't be changed.
        """
        names = [name for name in self._names() if _NAME.fullmatch(name)]
        kept = max(names, default="")
        for name in self._names():
            stem = name.removesuffix(_PARTIAL)
            if name == kept or not _NAME.fullmatch(stem):
                continue
            path = os.path.join(self.folder, name)
            with _errors.typed(path):
                self.files.remove(path)

    def _names(self):
        with _errors.typed(self.folder):
            return self.files.names(self.folder)
