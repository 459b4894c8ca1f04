"""Snapshot files, written atomically."""

import contextlib
import os
import re

import msgspec

from buckthorntack.storage import _errors
from buckthorntack.storage import _frames
from buckthorntack.storage import _records

_NAME = re.compile(r"snapshot-(\d{20})")
_PARTIAL = ".partial"


def write_file_atomically(files, folder, name, payload):
    """Write a checksummed file atomically and durably.

    The contents are synced under a temporary name before the rename.

    :param files: ``Files`` to use.
    :param folder: path of the folder.
    :param name: name of the file.
    :param payload: contents of the file.
    :raises DiskFullError: the file is as before, and the call can be
        repeated.
    :raises StorageError: the file may not be durable.
    """
    path = os.path.join(folder, name)
    partial = path + _PARTIAL
    try:
        _write_synced(files, partial, _frames.encode_frame(payload, 0, 0))
        with _errors.translate_os_errors(path):
            files.rename(partial, path)
    except _errors.DiskFullError:
        _release_partial(files, folder, partial)
        raise
    with _errors.translate_os_errors(path, full_is_failure=True):
        files.sync_folder(folder)


def _write_synced(files, path, data):
    with contextlib.ExitStack() as resources:
        with _errors.translate_os_errors(path):
            file = files.open_for_append(path)
            resources.callback(file.close)
            file.truncate(0)
            file.write(data)
        with _errors.translate_os_errors(path, full_is_failure=True):
            file.sync()


def _release_partial(files, folder, partial):
    """Remove a file that was not completed, as it takes space."""
    with _errors.translate_os_errors(partial, full_is_failure=True):
        if os.path.basename(partial) in files.list_names(folder):
            files.remove(partial)


def read_checked_file(files, folder, name):
    """Read a file written by :func:`write_file_atomically`.

    :param files: ``Files`` to use.
    :param folder: path of the folder.
    :param name: name of the file.
    :returns: the contents that were written.
    :raises CorruptFileError: the contents are damaged.
    """
    path = os.path.join(folder, name)
    with _errors.translate_os_errors(path):
        data = files.read(path)
    payload = _frames.read_payload(data, 0, 0)
    is_valid = payload is not None
    if not is_valid or len(data) != _frames.HEADER_BYTES + len(payload):
        raise _errors.CorruptFileError(path)
    return payload


class Snapshots:
    """Snapshot files of one replica.

    :param files: ``Files`` to use.
    :param folder: path of the data folder.
    """

    def __init__(self, files, folder):
        self.files = files
        self.folder = folder

    def save(self, snapshot):
        """Write a snapshot durably; older ones are kept.

        :param snapshot: a ``Snapshot``.
        :raises StorageError: the snapshot may not be durable.
        """
        name = f"snapshot-{snapshot.info.index:020}"
        payload = _records.encode(snapshot)
        write_file_atomically(self.files, self.folder, name, payload)

    def load(self):
        """Load the newest snapshot.

        :returns: a ``Snapshot``, or None if there is none.
        :raises CorruptFileError: its contents are damaged.
        """
        names = [name for name in self._list_names() if _NAME.fullmatch(name)]
        if not names:
            return None
        name = max(names)
        payload = read_checked_file(self.files, self.folder, name)
        try:
            return _records.decode_snapshot(payload)
        except msgspec.MsgspecError as error:
            path = os.path.join(self.folder, name)
            raise _errors.CorruptFileError(f"{path}: {error}") from error

    def remove_older(self):
        """Remove all but the newest snapshot, and incomplete files.

        :raises StorageError: the folder can't be changed.
        """
        names = [name for name in self._list_names() if _NAME.fullmatch(name)]
        kept = max(names, default="")
        for name in self._list_names():
            stem = name.removesuffix(_PARTIAL)
            if name == kept or not _NAME.fullmatch(stem):
                continue
            path = os.path.join(self.folder, name)
            with _errors.translate_os_errors(path):
                self.files.remove(path)

    def _list_names(self):
        with _errors.translate_os_errors(self.folder):
            return self.files.list_names(self.folder)
