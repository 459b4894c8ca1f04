"""Faults at every step of the changes of the durable state."""

import contextlib
import itertools
import random
from typing import NamedTuple

import pytest

from buckthorntack import storage
from buckthorntack.schema import messages
from buckthorntack.storage.tests import memory_files


class DurableState(NamedTuple):
    """Durable state that the store has acknowledged."""

    hard_state: storage.HardState
    snapshot_index: int
    entries: tuple


EMPTY = DurableState(storage.HardState(), 0, ())


def entry(index, term):
    return messages.LogEntry(index, term, "command", "", b"%d" % index * 9)


def batch(term, *indexes):
    hard_state = storage.HardState(term, f"n{term}")
    entries = [entry(index, term) for index in indexes]
    return storage.Batch(hard_state=hard_state, entries=entries)


def snapshot(index, term):
    info = storage.SnapshotInfo(index, term, b"members")
    return storage.Snapshot(info, b"state" * 20)


#: Appends, an overwritten suffix, and snapshots that were taken or received.
ACTIONS = (
    ("append", batch(1, 1, 2, 3)),
    ("append", batch(2, 3, 4)),
    ("append", storage.Batch(hard_state=storage.HardState(3, "n3"))),
    ("save", snapshot(3, 2)),
    ("append", batch(3, 5, 6)),
    ("append", batch(3, 7)),
    ("install_snapshot", snapshot(6, 4)),
    ("append", batch(4, 7, 8)),
    ("install_snapshot", snapshot(20, 4)),
    ("append", batch(5, 21, 22)),
    ("save", snapshot(22, 5)),
    ("append", batch(5, 23)),
)

#: Snapshots that cover several segments, as entries came while one was taken.
LATE_SNAPSHOTS = (
    *(("append", batch(1, index, index + 1)) for index in range(1, 17, 2)),
    ("save", snapshot(14, 1)),
    ("append", batch(2, 17, 18)),
)
POWER_LOSS_SEEDS = 40


def state_after(known, name, argument):
    """Durable state after an action has ended."""
    if name == "append":
        kept = [
            e
            for e in known.entries
            if not argument.entries or e.index < argument.entries[0].index
        ]
        hard_state = argument.hard_state or known.hard_state
        return known._replace(
            hard_state=hard_state, entries=(*kept, *argument.entries)
        )
    index = argument.info.index
    kept = [e for e in known.entries if e.index > index]
    if name == "install_snapshot":
        kept = []
    return known._replace(snapshot_index=index, entries=tuple(kept))


def new_store(files):
    return storage.ReplicaStore(files, "/f", "g", "n", segment_bytes=300)


def recover(files):
    with new_store(files) as store:
        found = store.recover("id")
    index = found.snapshot.info.index if found.snapshot else 0
    return DurableState(found.hard_state, index, tuple(found.entries))


def run(files, actions=ACTIONS):
    """Run actions until a fault.

    :returns: the acknowledged state, and the state that would follow the
        interrupted action.
    """
    known = following = EMPTY
    ending = (memory_files.CrashError, storage.StorageError)
    with contextlib.suppress(*ending), new_store(files) as store:
        store.recover("id")
        for name, argument in actions:
            following = state_after(known, name, argument)
            apply_action(store, name, argument)
            known = following
    return known, following


def apply_action(store, name, argument):
    if name == "save":
        store.write_snapshot(argument)
        store.compact(argument.info)
    else:
        getattr(store, name)(argument)


def count_steps(actions=ACTIONS):
    files = memory_files.MemoryFiles()
    assert run(files, actions)[0] == recover(files.after_crash())
    return files.steps


@pytest.mark.parametrize("tail", memory_files.TAILS)
@pytest.mark.parametrize("names", ["synced", "now"])
def test_crash_at_every_step_keeps_what_was_acknowledged(tail, names):
    kinds = ("crash_before", "crash_after")
    for kind, number in itertools.product(kinds, range(count_steps())):
        faults = memory_files.Faults(**{kind: number})
        files = memory_files.MemoryFiles(faults)
        possible = run(files)
        left = files.after_crash(tail, names)
        found = recover(left)
        assert found in possible, (kind, number)
        check_store_is_usable(left, found)


# Guards against a VM that refuses its own disk after a loss of power, so that
# the loss of another's disk leaves no majority.
@pytest.mark.parametrize("actions", [ACTIONS, LATE_SNAPSHOTS], ids=len)
@pytest.mark.parametrize("seed", range(POWER_LOSS_SEEDS))
def test_power_loss_at_every_step_keeps_what_was_acknowledged(seed, actions):
    rng = random.Random(seed)
    for number in range(count_steps(actions)):
        faults = memory_files.Faults(crash_after=number)
        files = memory_files.MemoryFiles(faults)
        possible = run(files, actions)
        left = files.after_power_loss(rng)
        found = recover(left)
        assert found in possible, number
        check_store_is_usable(left, found)


def check_store_is_usable(files, known):
    last = known.snapshot_index
    if known.entries:
        last = known.entries[-1].index
    more = batch(9, last + 1)
    with new_store(files) as store:
        store.recover("other")
        store.append(more)
    expected = state_after(known, "append", more)
    assert recover(files.after_crash()) == expected


def test_second_crash_while_recovering():
    for first in range(count_steps()):
        files = memory_files.MemoryFiles(memory_files.Faults(first))
        possible = run(files)
        left = files.after_crash("half", "now")
        for second in range(8):
            again = left.copy()
            again.faults = memory_files.Faults(crash_before=second)
            with contextlib.suppress(memory_files.CrashError):
                recover(again)
            found = recover(again.after_crash("half", "now"))
            assert found in possible, (first, second)


def test_failing_disk_stops_the_store_at_every_step():
    for number in range(count_steps()):
        files = memory_files.MemoryFiles(memory_files.Faults(fail_at=number))
        possible = run(files)
        assert recover(files.after_crash()) in possible, number


def test_after_a_failure_nothing_is_acknowledged():
    files = memory_files.MemoryFiles()
    with new_store(files) as store:
        store.recover("id")
        files.faults = memory_files.Faults(fail_at=files.steps + 1)
        for _ in range(2):
            with pytest.raises(storage.DiskFailedError, match="remedy"):
                store.append(batch(1, 1))


def test_full_disk_at_every_size():
    sizes = memory_files.MemoryFiles()
    run(sizes)
    full = 0
    for capacity_bytes in range(0, 1500, 7):
        faults = memory_files.Faults(capacity_bytes=capacity_bytes)
        files = memory_files.MemoryFiles(faults)
        possible = run(files)
        full += possible[0] != possible[1]
        for tail in memory_files.TAILS:
            assert recover(files.after_crash(tail)) in possible
    assert full > 20


def run_with_room_later(files, capacity_bytes, vote=None):
    """Run the actions; a disk without room has room at the second try.

    :param vote: vote of a batch that is written in place of a refused one;
        None to write the same batch again.
    :returns: the acknowledged state, the state that would follow the
        interrupted action, and how often there was no room.
    """
    known = following = EMPTY
    refusals = 0
    ending = (memory_files.CrashError, storage.DiskFailedError)
    with contextlib.suppress(*ending), new_store(files) as store:
        store.recover("id")
        for name, argument in ACTIONS:
            following = state_after(known, name, argument)
            files.limit(capacity_bytes)
            try:
                apply_action(store, name, argument)
            except storage.DiskFullError:
                refusals += 1
                files.limit(memory_files.NO_LIMIT_BYTES)
                if vote and name == "append":
                    argument = argument._replace(hard_state=vote)
                following = state_after(known, name, argument)
                apply_action(store, name, argument)
            known = following
    return known, following, refusals


# Guards against a store that refuses all writes for good after a disk was
# full for a moment.
def test_disk_with_room_again_takes_the_refused_write():
    refusals = 0
    for capacity_bytes in range(0, 1500, 7):
        files = memory_files.MemoryFiles()
        known, following, refused = run_with_room_later(files, capacity_bytes)
        assert known == following, capacity_bytes
        refusals += refused
        for tail in memory_files.TAILS:
            left = files.after_crash(tail)
            assert recover(left) == known, capacity_bytes
            check_store_is_usable(left, known)
    assert refusals > 100


# Guards against a corrupt folder after a loss of power around the write that
# repeats one that had no room.
@pytest.mark.parametrize("vote", [None, storage.HardState(9, "later")])
@pytest.mark.parametrize("seed", range(4))
def test_power_loss_around_a_refused_write_keeps_the_acknowledged(seed, vote):
    rng = random.Random(seed)
    for capacity_bytes in range(0, 1500, 31):
        sound = memory_files.MemoryFiles()
        run_with_room_later(sound, capacity_bytes, vote)
        for number in range(sound.steps):
            faults = memory_files.Faults(crash_after=number)
            files = memory_files.MemoryFiles(faults)
            *possible, _ = run_with_room_later(files, capacity_bytes, vote)
            left = files.after_power_loss(rng)
            found = recover(left)
            assert found in possible, (capacity_bytes, number)
            check_store_is_usable(left, found)


# Guards against a second try on a file whose last sync failed, which may
# have lost its bytes.
def test_sync_without_room_ends_the_store():
    files = memory_files.MemoryFiles()
    with new_store(files) as store:
        store.recover("id")
        files.faults = memory_files.Faults(full_at=files.steps + 1)
        for _ in range(2):
            with pytest.raises(storage.DiskFailedError, match="remedy"):
                store.append(batch(1, 1))


def test_every_flipped_byte_is_noticed():
    files = memory_files.MemoryFiles()
    run(files)
    for path, contents in files.current_files.items():
        for place in range(len(contents.data)):
            damaged = files.copy()
            damaged.current_files[path].data[place] ^= 0x10
            with pytest.raises(storage.CorruptFileError, match="new node id"):
                recover(damaged)


def test_every_cut_is_repaired_at_the_tail_or_refused():
    files = memory_files.MemoryFiles()
    known, _ = run(files)
    last_log = max(name for name in files.current_files if "log-" in name)
    repaired = 0
    for path, contents in files.current_files.items():
        for size_bytes in range(len(contents.data)):
            damaged = files.copy()
            del damaged.current_files[path].data[size_bytes:]
            try:
                found = recover(damaged)
            except storage.CorruptFileError:
                continue
            assert path == last_log
            assert found.entries == known.entries[: len(found.entries)]
            repaired += 1
    assert repaired


def test_zeros_before_a_synced_batch_are_refused():
    files = memory_files.MemoryFiles()
    run(files, ACTIONS[:2])
    path = max(name for name in files.current_files if "log-" in name)
    data = files.current_files[path].data
    place = data.find(data[16:20], 20)
    assert data.find(data[16:20], place + 1) > place > 0
    data[place : place + 24] = bytes(24)
    with pytest.raises(storage.CorruptFileError):
        recover(files)


@pytest.mark.parametrize("lost", ["log-", "snapshot-", "owner"])
def test_lost_file_is_refused(lost):
    files = memory_files.MemoryFiles()
    run(files)
    for name in [n for n in files.current_files if lost in n]:
        del files.current_files[name]
    with pytest.raises(storage.CorruptFileError):
        recover(files)


def test_folder_of_another_replica_is_refused():
    files = memory_files.MemoryFiles()
    run(files)
    for group, node in (("h", "n"), ("g", "m")):
        foreign = storage.ReplicaStore(files, "/f", group, node)
        refusal = pytest.raises(storage.ForeignFolderError, match="node id")
        with foreign as store, refusal:
            store.recover("id")


def test_folder_belongs_to_one_process(tmp_path):
    files = storage.SystemFiles()
    folder = str(tmp_path / "x" / "y")
    with storage.ReplicaStore(files, folder, "g", "n") as store:
        store.recover("id")
        store.append(batch(1, 1, 2))
        with pytest.raises(storage.FolderInUseError, match="own data folder"):
            storage.ReplicaStore(files, folder, "g", "n").__enter__()
    with storage.ReplicaStore(files, folder, "g", "n") as store:
        assert store.recover("other").identity == "id"


def test_stored_bytes_that_look_like_a_frame_are_no_frame():
    files = memory_files.MemoryFiles()
    run(files, ACTIONS[:1])
    path = max(name for name in files.current_files if "log-" in name)
    framed = bytes(files.current_files[path].data[16:])
    hidden = messages.LogEntry(4, 3, "command", "", framed)
    with new_store(files) as store:
        store.recover("id")
        store.append(storage.Batch(entries=[hidden]))
    del files.current_files[path].data[-1:]
    assert [e.index for e in recover(files).entries] == [1, 2, 3]
