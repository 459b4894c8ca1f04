"""Truncated and corrupted durable copies."""

import errno
import io
import os

import logbook
import pytest

from buckthorntack.configuration import _copy_store
from buckthorntack.configuration import CopyStore

DELTAS = [b"first", b"second delta", b"third"]


def journal_of(folder):
    return next(folder.glob(f"{_copy_store.JOURNAL_PREFIX}*"))


@pytest.fixture
def folder(tmp_path):
    with CopyStore(tmp_path) as store:
        assert store.load() is None
        store.write_copy(b"an older copy")
        store.append(b"older delta")
        store.write_copy(b"copy")
        for delta in DELTAS:
            store.append(delta)
        store.write_registration(True, 7)
    return tmp_path


class _FileOnDisk(io.FileIO):
    """File on a disk that may be full."""

    def __init__(self, disk, path, mode):
        super().__init__(path, mode)
        self.disk = disk

    def write(self, data):
        size_bytes = os.fstat(self.fileno()).st_size
        room_bytes = self.disk.largest_file_bytes - size_bytes
        if room_bytes <= 0:
            raise OSError(errno.ENOSPC, "no space")
        return super().write(bytes(data)[:room_bytes])


class Disk:
    """Stands in for ``open`` of the store, with a limit to each file."""

    def __init__(self):
        self.largest_file_bytes = 1 << 40

    def open(self, path, mode, buffering=-1):
        file = _FileOnDisk(self, path, mode.replace("b", ""))
        return file if buffering == 0 else io.BufferedWriter(file)


@pytest.fixture
def disk(monkeypatch):
    disk = Disk()
    monkeypatch.setattr(_copy_store, "open", disk.open, raising=False)
    return disk


def write_until_done(disk, write, room_bytes):
    """Write to a full disk three times, then to one that has room again."""
    disk.largest_file_bytes = room_bytes
    for _ in range(3):
        with pytest.raises(OSError, match="no space"):
            write()
    disk.largest_file_bytes = 1 << 40
    write()


# Guards against a journal that holds a delta once for each time that it was
# refused by a full disk, which no start can apply.
@pytest.mark.parametrize("room_bytes", [0, 1, 15, 20])
def test_delta_refused_by_a_full_disk_is_kept_once(folder, disk, room_bytes):
    size_bytes = journal_of(folder).stat().st_size
    with CopyStore(folder) as store:
        store.load()
        write_until_done(
            disk,
            lambda: store.append(b"fourth delta"),
            size_bytes + room_bytes,
        )
        store.append(b"fifth")
        assert store.journal_bytes == journal_of(folder).stat().st_size
    assert load(folder).deltas == [*DELTAS, b"fourth delta", b"fifth"]


# Guards against deltas in the journal of a copy that a full disk refused: the
# next start would go back to an older configuration.
def test_copy_refused_by_a_full_disk_is_still_due(folder, disk):
    with CopyStore(folder) as store:
        store.load()
        disk.largest_file_bytes = 5
        with pytest.raises(OSError, match="no space"):
            store.write_copy(b"a newer copy")
        assert store.should_write_copy()
        disk.largest_file_bytes = 1 << 40
        assert load(folder) == (b"copy", DELTAS, True, 7)
        store.write_copy(b"a newer copy")
        store.append(b"later")
    assert load(folder) == (b"a newer copy", [b"later"], True, 7)


def load(folder):
    with CopyStore(folder) as store:
        return store.load()


def test_what_was_written_is_read(folder):
    assert load(folder) == (b"copy", DELTAS, True, 7)
    assert len(list(folder.glob(f"{_copy_store.JOURNAL_PREFIX}*"))) == 1


def test_leaving_is_remembered(folder):
    with CopyStore(folder) as store:
        store.write_registration(False, 7)
    assert load(folder)[2:] == (False, 7)


def test_each_cut_of_the_journal_keeps_whole_records(folder):
    data = journal_of(folder).read_bytes()
    ends = [0]
    for delta in DELTAS:
        ends.append(ends[-1] + _copy_store._HEADER.size + len(delta))
    for cut in range(len(data)):
        journal_of(folder).write_bytes(data[:cut])
        whole = sum(end <= cut for end in ends[1:])
        assert load(folder).deltas == DELTAS[:whole]
        assert journal_of(folder).stat().st_size == ends[whole]


def test_appending_goes_on_after_a_cut(folder):
    data = journal_of(folder).read_bytes()
    journal_of(folder).write_bytes(data[:-1])
    with CopyStore(folder) as store:
        store.load()
        store.append(b"again")
    assert load(folder).deltas == [*DELTAS[:2], b"again"]


def test_each_damaged_byte_is_found(folder):
    for path in (journal_of(folder), folder / _copy_store.COPY_NAME):
        data = path.read_bytes()
        for index in range(len(data)):
            damaged = bytearray(data)
            damaged[index] ^= 0x41
            path.write_bytes(damaged)
            assert load(folder) is None
        path.write_bytes(data)
    assert load(folder).deltas == DELTAS


def test_crash_before_the_copy_is_renamed(folder):
    (folder / f"{_copy_store.COPY_NAME}.new").write_bytes(b"half")
    (folder / f"{_copy_store.JOURNAL_PREFIX}00").write_bytes(b"")
    assert load(folder).copy == b"copy"


COPY_UNREADABLE = 508


def lines_of(log):
    return [
        record.extra
        for record in log.records
        if record.extra.get("event") == COPY_UNREADABLE
    ]


# An entry VM whose registration was damaged ended at each start.
@pytest.mark.parametrize(
    "content",
    [
        b"registered x",
        b"registered -3",
        b"registered 9999999999999999999999",
        b"registered " + b"9" * 5000,
        b"\xff\xfe",
        b"\0" * 20,
        b"",
    ],
)
def test_odd_registration_costs_itself_only(folder, content):
    (folder / _copy_store.REGISTERED_NAME).write_bytes(content)
    with logbook.TestHandler() as log:
        assert load(folder) == (b"copy", DELTAS, False, 0)
    [line] = lines_of(log)
    assert line["path"].endswith(_copy_store.REGISTERED_NAME)


def test_damage_is_logged(folder):
    (folder / _copy_store.COPY_NAME).write_bytes(b"x")
    with logbook.TestHandler() as log:
        assert load(folder) is None
    assert len(lines_of(log)) == 1


def test_copy_that_cannot_be_read_is_fetched_again(folder):
    (folder / _copy_store.COPY_NAME).unlink()
    (folder / _copy_store.COPY_NAME).mkdir()
    with logbook.TestHandler() as log:
        assert load(folder) is None
    assert len(lines_of(log)) == 1
