"""Segmented write-ahead log with one sync for each batch."""

import contextlib
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
    """Contents of the log."""

    hard_state: _records.HardState
    reset: _records.SnapshotInfo
    entries: list


class _Replay:
    """Log contents built up from batches in the order of the log."""

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
    """Write-ahead log of one replica; a context manager.

    :param files: ``Files`` to use.
    :param folder: path of the data folder.
    :param segment_bytes: size at which a new segment is started.
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
        return bool(self._list_segment_numbers())

    def create(self):
        """Create an empty log."""
        self._create_segment(1)

    def open(self, allow_empty=False):
        """Read the log and truncate an incomplete last write.

        :param allow_empty: whether to accept a log whose creation was
            interrupted.
        :returns: :class:`LogContents`.
        :raises CorruptFileError: synced contents were lost.
        """
        replay = _Replay()
        numbers = self._list_segment_numbers()
        self._check_for_gaps(numbers)
        for number in numbers:
            self._read_segment(number, number == numbers[-1], replay)
        self._hard_state = replay.hard_state
        if self._file is None and len(numbers) == 1 and not allow_empty:
            raise _errors.CorruptFileError(f"{self.folder} has an empty log")
        if self._file is None:
            self._create_segment(numbers[-1])
        return LogContents(replay.hard_state, replay.reset, replay.entries)

    def append(self, batch):
        """Write a batch durably.

        After a write without room the log is as before it, and the call can
        be repeated.  After any other failure the contents of the disk are
        unknown, so every later call fails too.

        :param batch: a ``Batch``.
        :raises DiskFullError: nothing of the batch was written.
        :raises StorageError: the batch may not be durable.
        """
        if self._failed is not None:
            raise self._failed
        try:
            self._append(batch)
        except _errors.DiskFullError:
            raise
        except _errors.StorageError as error:
            self._failed = error
            raise

    def compact(self, index):
        """Remove segments that have no entry after an index.

        A new segment is started first if the current one is more than an
        eighth full, so that a later call can remove it.

        :param index: index of the newest durable snapshot.
        :raises StorageError: the folder can't be changed.
        """
        if self._last_index and self._size_bytes > self.segment_bytes // 8:
            self._try_next_segment()
        while self._segments and self._segments[0].last_index <= index:
            path = self._segment_path(self._segments.pop(0).number)
            with _errors.translate_os_errors(path):
                self.files.remove(path)
                # A loss of power may undo the removals before a sync in any
                # order, which would leave a gap.
                self.files.sync_folder(self.folder)

    def _append(self, batch):
        if self._file is None or self._size_bytes >= self.segment_bytes:
            self._start_next_segment()
        self._write(batch)
        self._sync()
        if batch.hard_state is not None:
            self._hard_state = batch.hard_state

    def _write(self, batch):
        payload = _records.encode(batch)
        data = _frames.encode_frame(payload, self._number, self._size_bytes)
        try:
            with _errors.translate_os_errors(self._segment_path(self._number)):
                self._file.write(data)
        except _errors.DiskFullError:
            self._remove_partial_write()
            raise
        self._size_bytes += len(data)
        self._update_last_index(batch)

    def _remove_partial_write(self):
        """Restore the segment to its size before a write without room.

        It is synced, as a loss of power could otherwise mix the bytes of this
        write with those of the next one.
        """
        path = self._segment_path(self._number)
        with _errors.translate_os_errors(path, full_is_failure=True):
            self._file.truncate(self._size_bytes)
            self._file.sync()

    def _sync(self):
        path = self._segment_path(self._number)
        with _errors.translate_os_errors(path, full_is_failure=True):
            self._file.sync()

    def _update_last_index(self, batch):
        indexes = [entry.index for entry in batch.entries]
        self._last_index = max(self._last_index, *indexes, 0)

    def _try_next_segment(self):
        """Start the next segment; without room, the next append does it."""
        try:
            self._start_next_segment()
        except _errors.DiskFullError as error:
            self._events.write(_events.SEGMENT_DELAYED, error=error)
        except _errors.StorageError as error:
            self._failed = error
            raise

    def _start_next_segment(self):
        self.close()
        last = _Segment(self._number, self._last_index)
        self._create_segment(self._number + 1)
        # The last one may be removed only when its hard state is kept.
        self._segments.append(last)

    def _create_segment(self, number):
        path = self._segment_path(number)
        prefix = _PREFIX.pack(_MAGIC, number)
        payload = _records.encode(_records.Batch(hard_state=self._hard_state))
        frame = _frames.encode_frame(payload, number, len(prefix))
        with contextlib.ExitStack() as resources:
            with _errors.translate_os_errors(path):
                file = self.files.open_for_append(path)
                resources.callback(file.close)
                file.truncate(0)
                # Of two writes the first might be torn and the second kept.
                file.write(prefix + frame)
            with _errors.translate_os_errors(path, full_is_failure=True):
                file.sync()
                self.files.sync_folder(self.folder)
            resources.pop_all()
        self._file = file
        self._number = number
        self._size_bytes = len(prefix) + len(frame)
        self._last_index = 0

    def _read_segment(self, number, is_last, replay):
        path = self._segment_path(number)
        with _errors.translate_os_errors(path):
            data = self.files.read(path)
        scan = self._scan(data, number, path)
        if scan.fault is _frames.Fault.CORRUPT:
            raise _errors.CorruptFileError(f"{path} at byte {scan.end_offset}")
        if not is_last and (scan.fault or not scan.payloads):
            raise _errors.CorruptFileError(f"{path} is truncated")
        self._last_index = 0
        for payload in scan.payloads:
            batch = self._decode(payload, path)
            replay.add(batch, path)
            self._update_last_index(batch)
        if not is_last:
            self._segments.append(_Segment(number, self._last_index))
        elif scan.payloads:
            self._reopen(number, scan)

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

    def _reopen(self, number, scan):
        path = self._segment_path(number)
        self._number = number
        self._size_bytes = scan.end_offset
        with _errors.translate_os_errors(path):
            self._file = self.files.open_for_append(path)
            if scan.fault is not None:
                self._file.truncate(scan.end_offset)
                self._events.write(
                    _events.TAIL_REPAIRED,
                    path=path,
                    kept_bytes=scan.end_offset,
                )
            self._file.sync()

    def _check_for_gaps(self, numbers):
        if not numbers:
            raise _errors.CorruptFileError(f"{self.folder} has no log")
        if len(numbers) != numbers[-1] - numbers[0] + 1:
            raise _errors.CorruptFileError(f"{self.folder} lacks a segment")

    def _list_segment_numbers(self):
        with _errors.translate_os_errors(self.folder):
            names = self.files.list_names(self.folder)
        matches = [_NAME.fullmatch(name) for name in names]
        return sorted(int(match[1]) for match in matches if match)

    def _segment_path(self, number):
        return os.path.join(self.folder, f"log-{number:016}")
