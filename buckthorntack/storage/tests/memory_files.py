"""In-memory files with simulated crashes, disk failures and a full disk."""

import contextlib
import errno
import os
from typing import NamedTuple


class CrashError(Exception):
    """Simulated crash of the process."""


#: Capacity of a disk that never fills.
NO_LIMIT_BYTES = 1 << 40


class Faults(NamedTuple):
    """Faults by step number; a step is one file operation."""

    crash_before: int = -1
    crash_after: int = -1
    fail_at: int = -1
    full_at: int = -1
    capacity_bytes: int = NO_LIMIT_BYTES


#: What remains after a crash of bytes that were written but not synced.
TAILS = ("none", "half", "zeros", "all")


class _Contents:
    def __init__(self, data=b""):
        self.data = bytearray(data)
        self.synced = bytes(data)
        #: Pairs of offset and bytes that were written since the last sync.
        self.unsynced = []

    def append(self, data):
        self.unsynced.append((len(self.data), bytes(data)))
        self.data += data

    def sync(self):
        self.synced = bytes(self.data)
        self.unsynced = []

    def after_power_loss(self, rng):
        """Contents of which each unsynced write is kept, lost or torn."""
        left = bytearray(self.synced)
        for offset, data in self.unsynced:
            kept = rng.choice([0, len(data), rng.randrange(len(data) + 1)])
            if kept:
                left += bytes(max(0, offset - len(left)))
                left[offset : offset + kept] = data[:kept]
        return _Contents(left)

    def after_crash(self, tail):
        kept = len(os.path.commonprefix([self.synced, bytes(self.data)]))
        if kept < len(self.synced) or tail == "none":
            return _Contents(self.data if tail == "all" else self.synced)
        added = bytes(self.data[kept:])
        lost = {
            "half": added[: len(added) // 2],
            "zeros": bytes(len(added)),
            "all": added,
        }
        return _Contents(self.synced + lost[tail])


class _File:
    def __init__(self, files, contents):
        self.files = files
        self.contents = contents

    def write(self, data):
        with self.files.step():
            room = self.files.faults.capacity_bytes - self.files.used_bytes()
            self.contents.append(data[: max(room, 0)])
            if room < len(data):
                raise OSError(errno.ENOSPC, "no space")

    def sync(self):
        with self.files.step():
            self.contents.sync()

    def truncate(self, size_bytes):
        with self.files.step():
            del self.contents.data[size_bytes:]

    def close(self):
        pass


class MemoryFiles:
    """Files of which only synced contents are sure to survive a crash.

    :param faults: the ``Faults`` to inject.
    """

    def __init__(self, faults=Faults()):  # noqa: B008
        self.faults = faults
        self.steps = 0
        self.current_files = {}
        self.synced_files = {}
        self.locked = set()

    @contextlib.contextmanager
    def step(self):
        number = self.steps
        self.steps += 1
        if number == self.faults.crash_before:
            raise CrashError
        if number == self.faults.fail_at:
            raise OSError(errno.EIO, "bad disk")
        if number == self.faults.full_at:
            raise OSError(errno.ENOSPC, "no space")
        yield
        if number == self.faults.crash_after:
            raise CrashError

    def limit(self, capacity_bytes):
        self.faults = self.faults._replace(capacity_bytes=capacity_bytes)

    def used_bytes(self):
        return sum(len(c.data) for c in self.current_files.values())

    def after_crash(self, tail="none", names="synced"):
        """Files as the next start finds them.

        :param tail: what remains of unsynced bytes, one of ``TAILS``.
        :param names: "synced" or "now": which names in folders remain.
        """
        found = MemoryFiles()
        chosen = self.synced_files if names == "synced" else self.current_files
        for path, contents in chosen.items():
            found.current_files[path] = contents.after_crash(tail)
        found.synced_files = dict(found.current_files)
        return found

    def after_power_loss(self, rng):
        """Files as the next start finds them.

        Each name that was created, renamed or removed without a sync of its
        folder, and each write without a sync, is kept or lost on its own.

        :param rng: source of randomness.
        """
        found = MemoryFiles()
        for path in sorted({*self.synced_files, *self.current_files}):
            former = self.synced_files.get(path)
            current = self.current_files.get(path)
            contents = rng.choice([former, current])
            if contents is not None:
                left = contents.after_power_loss(rng)
                found.current_files[path] = left
        found.synced_files = dict(found.current_files)
        return found

    def copy(self):
        return self.after_crash("all", "now")

    def create_folder(self, path):
        pass

    def list_names(self, path):
        return sorted(
            os.path.basename(name)
            for name in self.current_files
            if os.path.dirname(name) == path
        )

    def read(self, path):
        return bytes(self.current_files[path].data)

    def open_for_append(self, path):
        with self.step():
            contents = self.current_files.setdefault(path, _Contents())
        return _File(self, contents)

    def rename(self, source, target):
        with self.step():
            self.current_files[target] = self.current_files.pop(source)

    def remove(self, path):
        with self.step():
            del self.current_files[path]

    def sync_folder(self, path):
        with self.step():
            self.synced_files = dict(self.current_files)

    def lock(self, path):
        if path in self.locked:
            return None
        return self._unlock_on_exit(path)

    @contextlib.contextmanager
    def _unlock_on_exit(self, path):
        self.locked.add(path)
        try:
            yield
        finally:
            self.locked.discard(path)
