"""Durable copy of the configuration on an entry VM with a disk."""

import os
import pathlib
import struct
from typing import NamedTuple
import zlib

from buckthorntack.configuration import _content

COPY_NAME = "copy"
REGISTERED_NAME = "registration"
REGISTERED_STATE = "registered"
LEFT_STATE = "left"
JOURNAL_PREFIX = "deltas-"
#: Size from which the journal is replaced by a new copy.
MAX_JOURNAL_BYTES = 4 << 20

_HEADER = struct.Struct(">III")
_LENGTH = struct.Struct(">I")


class StoredCopy(NamedTuple):
    """What was read from the folder."""

    copy: bytes
    deltas: list[bytes]
    registered: bool
    registration: int


class CopyStore:
    """A copy, replaced as a whole, and a journal of the deltas after it.

    Both last once a method that wrote them has returned.  The store owns its
    folder while it is entered.

    :param folder: folder that holds the files.
    """

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.journal_bytes = 0
        self._journal = None

    def __enter__(self):
        self.folder.mkdir(parents=True, exist_ok=True)
        return self

    def __exit__(self, *exc_info):
        self._close_journal()

    def _close_journal(self):
        if self._journal is not None:
            self._journal.close()
            self._journal = None

    def load(self):
        """Read the copy and the deltas after it.

        What fails its checksum is not used: this node then holds nothing
        and fetches a copy that a quorum confirmed.  A last record that was
        cut short was never in force and is dropped.

        :returns: a :class:`StoredCopy`, or ``None``.
        """
        path = self.folder / COPY_NAME
        if not path.exists():
            return None
        data = path.read_bytes()
        checksum = data[: _content.DIGEST_BYTES]
        copy = data[_content.DIGEST_BYTES :]
        if _content.digest(copy) != checksum:
            return None
        deltas = self._load_journal(checksum)
        if deltas is None:
            return None
        return StoredCopy(copy, deltas, *self._load_registration())

    def _load_registration(self):
        path = self.folder / REGISTERED_NAME
        if not path.exists():
            return False, 0
        state, _, number = path.read_text().partition(" ")
        return state == REGISTERED_STATE, int(number or 0)

    def _journal_path(self, checksum):
        return self.folder / f"{JOURNAL_PREFIX}{checksum.hex()}"

    def _load_journal(self, checksum):
        path = self._journal_path(checksum)
        data = path.read_bytes() if path.exists() else b""
        deltas, end = _records(data)
        if deltas is None:
            return None
        self._open_journal(path, end)
        return deltas

    def _open_journal(self, path, end):
        self._close_journal()
        self._journal = open(path, "ab")  # noqa: SIM115
        self._journal.truncate(end)
        self._journal.seek(0, os.SEEK_END)
        os.fsync(self._journal.fileno())
        self._sync_folder()
        self.journal_bytes = end

    def needs_copy(self):
        """Whether a copy must be written before the next delta."""
        return self._journal is None or self.journal_bytes > MAX_JOURNAL_BYTES

    def write_copy(self, copy):
        """Replace everything by a copy.

        :param copy: an encoded ``ConfigurationCopy``.
        """
        checksum = _content.digest(copy)
        self._open_journal(self._journal_path(checksum), 0)
        self._replace(COPY_NAME, checksum + copy)
        for path in self.folder.glob(f"{JOURNAL_PREFIX}*"):
            if path != self._journal_path(checksum):
                path.unlink()

    def _replace(self, name, data):
        temporary = self.folder / f"{name}.new"
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self.folder / name)
        self._sync_folder()

    def append(self, delta):
        """Add a delta to the journal; a copy must have been written.

        :param delta: an encoded ``ConfigurationDelta``.
        """
        length = _LENGTH.pack(len(delta))
        header = _HEADER.pack(
            len(delta), zlib.crc32(length), zlib.crc32(delta)
        )
        try:
            self._journal.write(header + delta)
            self._journal.flush()
            os.fsync(self._journal.fileno())
        except OSError:
            self._journal.truncate(self.journal_bytes)
            raise
        self.journal_bytes += len(header) + len(delta)

    def set_registered(self, registered, registration):
        """Remember whether this entry VM is registered.

        :param registered: whether it is.
        :param registration: number of its last registration.
        """
        state = REGISTERED_STATE if registered else LEFT_STATE
        self._replace(REGISTERED_NAME, f"{state} {registration}".encode())

    def _sync_folder(self):
        handle = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


def _records(data):
    """Deltas of a journal and where they end; no deltas if one is bad."""
    deltas, place = [], 0
    while place + _HEADER.size <= len(data):
        length, length_crc, data_crc = _HEADER.unpack_from(data, place)
        start = place + _HEADER.size
        delta = data[start : start + length]
        if zlib.crc32(_LENGTH.pack(length)) != length_crc:
            return None, 0
        if len(delta) < length:
            break
        if zlib.crc32(delta) != data_crc:
            return None, 0
        deltas.append(delta)
        place = start + length
    return deltas, place
