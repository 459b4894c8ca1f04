"""Durable copy of the configuration on an entry VM with a disk."""

import os
import pathlib
import re
import struct
from typing import NamedTuple
import zlib

from buckthorntack import events
from buckthorntack.configuration import _content
from buckthorntack.configuration import _events

COPY_NAME = "copy"
REGISTERED_NAME = "registration"
REGISTERED_STATE = "registered"
LEFT_STATE = "left"
JOURNAL_PREFIX = "deltas-"
#: Size beyond which the journal is replaced by a new copy, in bytes.
MAX_JOURNAL_BYTES = 4 << 20

#: Length of the content of a damaged file that is logged.
MAX_LOGGED_BYTES = 64

#: Journal record header: length, CRC-32 of the length, CRC-32 of the delta.
_HEADER = struct.Struct(">III")
_LENGTH = struct.Struct(">I")
_REGISTRATION = re.compile(
    rf"({REGISTERED_STATE}|{LEFT_STATE})(?: (\d{{1,18}}))?", re.ASCII
)
_LOG = events.EventLog("configuration")


class StoredCopy(NamedTuple):
    """Copy, deltas and registration read from the folder."""

    copy: bytes
    deltas: list[bytes]
    registered: bool
    registration: int


class CopyStore:
    """Copy of a set and an append-only journal of the deltas after it.

    Writes are durable when the method returns.  No other process may use the
    folder while the store is entered.

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

        If a checksum fails, nothing is loaded and the node fetches a copy that
        a quorum has confirmed.  A truncated last record is dropped; its
        revision was never active.

        :returns: a :class:`StoredCopy`, or ``None``.
        """
        path = self.folder / COPY_NAME
        if not path.exists():
            return None
        try:
            data = path.read_bytes()
        except OSError as error:
            log_unreadable(path, error)
            return None
        checksum = data[: _content.DIGEST_BYTES]
        copy = data[_content.DIGEST_BYTES :]
        if _content.digest(copy) != checksum:
            log_unreadable(path, "its checksum fails")
            return None
        deltas = self._load_journal(checksum)
        if deltas is None:
            log_unreadable(self._journal_path(checksum), "a checksum fails")
            return None
        return StoredCopy(copy, deltas, *self._load_registration())

    def discard(self):
        """Forget what was loaded; the next write is a copy."""
        self._close_journal()

    def _load_registration(self):
        """Read the registration; a node that has lost it registers again."""
        path = self.folder / REGISTERED_NAME
        if not path.exists():
            return False, 0
        try:
            content = path.read_bytes()
        except OSError as error:
            log_unreadable(path, error)
            return False, 0
        match = _REGISTRATION.fullmatch(content.decode(errors="replace"))
        if match is None:
            log_unreadable(path, repr(content[:MAX_LOGGED_BYTES]))
            return False, 0
        state, number = match.groups()
        return state == REGISTERED_STATE, int(number or 0)

    def _journal_path(self, checksum):
        return self.folder / f"{JOURNAL_PREFIX}{checksum.hex()}"

    def _load_journal(self, checksum):
        path = self._journal_path(checksum)
        data = path.read_bytes() if path.exists() else b""
        deltas, end_offset = _parse_journal(data)
        if deltas is None:
            return None
        self._open_journal(path, end_offset)
        return deltas

    def _open_journal(self, path, end_offset):
        self._close_journal()
        # A buffer would keep what a full disk refused and write it later.
        self._journal = open(path, "ab", buffering=0)  # noqa: SIM115
        self._journal.truncate(end_offset)
        self._journal.seek(0, os.SEEK_END)
        os.fsync(self._journal.fileno())
        self._sync_folder()
        self.journal_bytes = end_offset

    def should_write_copy(self):
        """Return whether a copy must be written before the next delta."""
        return self._journal is None or self.journal_bytes > MAX_JOURNAL_BYTES

    def write_copy(self, copy):
        """Replace the copy and start an empty journal.

        :param copy: an encoded ``ConfigurationCopy``.
        """
        checksum = _content.digest(copy)
        try:
            self._open_journal(self._journal_path(checksum), 0)
            self._write_atomically(COPY_NAME, checksum + copy)
        except OSError:
            # No start reads the journal of a copy that was not written.
            self._close_journal()
            raise
        for path in self.folder.glob(f"{JOURNAL_PREFIX}*"):
            if path != self._journal_path(checksum):
                path.unlink()

    def _write_atomically(self, name, data):
        temporary = self.folder / f"{name}.new"
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self.folder / name)
        self._sync_folder()

    def append(self, delta):
        """Append a delta to the journal; a copy must have been written.

        :param delta: an encoded ``ConfigurationDelta``.
        """
        length = _LENGTH.pack(len(delta))
        header = _HEADER.pack(
            len(delta), zlib.crc32(length), zlib.crc32(delta)
        )
        try:
            self._write_record(header + delta)
        except OSError:
            self._remove_partial_record()
            raise
        self.journal_bytes += len(header) + len(delta)

    def _write_record(self, record):
        view = memoryview(record)
        while view:
            view = view[self._journal.write(view) :]
        os.fsync(self._journal.fileno())

    def _remove_partial_record(self):
        """Restore the journal; if that fails, a copy is due."""
        try:
            self._journal.truncate(self.journal_bytes)
            os.fsync(self._journal.fileno())
        except OSError:
            self._close_journal()
            raise

    def write_registration(self, registered, registration):
        """Record whether this entry VM is registered.

        :param registered: whether it is.
        :param registration: number of its last registration.
        """
        state = REGISTERED_STATE if registered else LEFT_STATE
        self._write_atomically(
            REGISTERED_NAME, f"{state} {registration}".encode()
        )

    def _sync_folder(self):
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def log_unreadable(path, error):
    """Log a file whose contents cannot be read.

    :param path: path of the file.
    :param error: why.
    """
    _LOG.write(_events.COPY_UNREADABLE, path=str(path), error=error)


def _parse_journal(data):
    """Return the deltas of a journal and the offset after the last one.

    The deltas are ``None`` if a checksum fails.
    """
    deltas, offset = [], 0
    while offset + _HEADER.size <= len(data):
        length, length_crc, data_crc = _HEADER.unpack_from(data, offset)
        start = offset + _HEADER.size
        delta = data[start : start + length]
        if zlib.crc32(_LENGTH.pack(length)) != length_crc:
            return None, 0
        if len(delta) < length:
            break
        if zlib.crc32(delta) != data_crc:
            return None, 0
        deltas.append(delta)
        offset = start + length
    return deltas, offset
