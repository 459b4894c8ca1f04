"""Write-ahead log in segments, one sync for each batch."""

import os
import re
import struct
from typing import NamedTuple

import msgspec

from buckthorntack import events
from buckthorntack.storage import _errors
from buckthorntack.storage import _events
from buckthorntack.storage import _frames
from buckthorntack.storage import _records

SEGMENT_BYTES = 4 * 1024 * 1024

_NAME = re.compile(r"log-(\d{16})")
_PREFIX = struct.Struct("<8sQ")
_MAGIC = b"BtLog\x00\x00\x01"


class _Segment(NamedTuple):
    number: int
    last_index: int


class LogContents(NamedTuple):
    """What the log holds."""

    hard_state: _records.HardState
    reset: _records.SnapshotInfo
    entries: list


class _Replay:
    """State while batches are read in order."""

    def __init__(self):
        self.hard_state = _records.HardState()
        self.reset = _records.SnapshotInfo()
        self.entries = []

    def add(self, batch, path):
        if batch.hard_state is not None:
            self.hard_state = batch.hard_state
        if batch.reset is not None:
            self.reset = batch.reset
            self.entries = []
        for entry in batch.entries:
            self._add_entry(entry, path)

    def _add_entry(self, entry, path):
        if self.entries:
            kept = entry.index - self.entries[0].index
            if not 0 <= kept <= len(self.entries):
                raise _errors.CorruptFileError(f"{path}: entries are missing")
            del self.entries[kept:]
        self.entries.append(entry)


class WriteAheadLog:
    """The log of one replica; a context manager.

    :param files: file operations.
    :param folder: path of its folder.
    :param segment_bytes: size from which a new segment is begun.
    """

    def __init__(self, files, folder, segment_bytes=SEGMENT_BYTES):
        self.files = files
        self.folder = folder
        self.segment_bytes = segment_bytes
        self._events = events.EventLog("storage")
        self._segments = []
        self._file = None
        self._number = 0
        self._size_bytes = 0
        self._last_index = 0
        self._hard_state = _records.HardState()
        self._failed = None

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.close()

    def close(self):
        """Close the open segment."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def exists(self):
        """Whether the folder holds a log."""
        return bool(self._numbers())

    def create(self):
        """Begin an empty log."""
        self._begin_segment(1)

    def open(self, is_new=False):
        """Read the log and repair an unfinished last write.

        :param is_new: whether making the log may not have been finished.
        :returns: :class:`LogContents`.
        :raises CorruptFileError: synced contents were lost.
        """
        replay = _Replay()
        numbers = self._numbers()
        self._refuse_gaps(numbers)
        for number in numbers:
            self._read_segment(number, number == numbers[-1], replay)
        self._hard_state = replay.hard_state
        if self._file is None and len(numbers) == 1 and not is_new:
            raise _errors.CorruptFileError(f"{self.folder} has an empty log")
        if self._file is None:
            self._begin_segment(numbers[-1])
        return LogContents(replay.hard_state, replay.reset, replay.entries)

    def append(self, batch):
        """Write a batch and wait until it lasts.

        After a failure the contents of the disk are unknown, and so every
        later call fails too.

        :param batch: a ``Batch``.
        :raises StorageError: it may not last.
        """
        if self._failed is not None:
            raise self._failed
        try:
            self._append(batch)
        except _errors.StorageError as error:
            self._failed = error
            raise

    def release(self, index):
        """Remove segments that hold nothing after an index.

        :param index: index of the newest durable snapshot.
        """
        if self._last_index and self._size_bytes > self.segment_bytes // 8:
            self._roll()
        removed = False
        while self._segments and self._segments[0].last_index <= index:
            path = self._path(self._segments.pop(0).number)
            with _errors.typed(path):
                self.files.remove(path)
            removed = True
        if removed:
            with _errors.typed(self.folder):
                self.files.sync_folder(self.folder)

    def _append(self, batch):
        if self._size_bytes >= self.segment_bytes:
            self._roll()
        if batch.hard_state is not None:
            self._hard_state = batch.hard_state
        self._write(batch)
        with _errors.typed(self._path(self._number)):
            self._file.sync()

    def _write(self, batch):
        payload = _records.encode(batch)
        data = _frames.frame(payload, self._number, self._size_bytes)
        with _errors.typed(self._path(self._number)):
            self._file.write(data)
        self._size_bytes += len(data)
        self._note_entries(batch)

    def _note_entries(self, batch):
        indexes = [entry.index for entry in batch.entries]
        self._last_index = max(self._last_index, *indexes, 0)

    def _roll(self):
        self.close()
        self._segments.append(_Segment(self._number, self._last_index))
        self._begin_segment(self._number + 1)

    def _begin_segment(self, number):
        path = self._path(number)
        prefix = _PREFIX.pack(_MAGIC, number)
        with _errors.typed(path):
            self._file = self.files.append(path)
            self._file.truncate(0)
            self._file.write(prefix)
        self._number = number
        self._size_bytes = len(prefix)
        self._last_index = 0
        self._write(_records.Batch(hard_state=self._hard_state))
        with _errors.typed(path):
            self._file.sync()
            self.files.sync_folder(self.folder)

    def _read_segment(self, number, is_last, replay):
        path = self._path(number)
        with _errors.typed(path):
            data = self.files.read(path)
        found = self._scan(data, number, path)
        if found.fault is _frames.Fault.CORRUPT:
            raise _errors.CorruptFileError(f"{path} at byte {found.end}")
        if not is_last and (found.fault or not found.payloads):
            raise _errors.CorruptFileError(f"{path} ends too early")
        self._last_index = 0
        for payload in found.payloads:
            batch = self._decode(payload, path)
            replay.add(batch, path)
            self._note_entries(batch)
        if not is_last:
            self._segments.append(_Segment(number, self._last_index))
        elif found.payloads:
            self._reopen(number, found)

    def _scan(self, data, number, path):
        prefix = _PREFIX.pack(_MAGIC, number)
        if data.startswith(prefix):
            return _frames.scan(data, number, len(prefix))
        if len(data) < len(prefix) or not any(data[: len(prefix)]):
            return _frames.Scan([], 0, _frames.Fault.TORN)
        raise _errors.CorruptFileError(f"{path} at byte 0")

    def _decode(self, payload, path):
        try:
            return _records.decode_batch(payload)
        except msgspec.MsgspecError as error:
            raise _errors.CorruptFileError(f"{path}: {error}") from error

    def _reopen(self, number, found):
        path = self._path(number)
        self._number = number
        self._size_bytes = found.end
        with _errors.typed(path):
            self._file = self.files.append(path)
            if found.fault is not None:
                self._file.truncate(found.end)
                self._events.write(
                    _events.TAIL_REPAIRED, path=path, kept_bytes=found.end
                )
            self._file.sync()

    def _refuse_gaps(self, numbers):
        if not numbers:
            raise _errors.CorruptFileError(f"{self.folder} has no log")
        if len(numbers) != numbers[-1] - numbers[0] + 1:
            raise _errors.CorruptFileError(f"{self.folder} lacks a segment")

    def _numbers(self):
        with _errors.typed(self.folder):
            names = self.files.names(self.folder)
        found = [_NAME.fullmatch(name) for name in names]
        return sorted(int(match[1]) for match in found if match)

    def _path(self, number):
        return os.path.join(self.folder, f"log-{number:016}")
