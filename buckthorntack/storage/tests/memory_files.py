"""File operations in memory, with crashes, failures and a full disk."""

import contextlib
import errno
import os
from typing import NamedTuple


class CrashError(Exception):
    """The process ends here."""


class Faults(NamedTuple):
    """What happens at which step; a step is one file operation."""

    crash_before: int = -1
    crash_after: int = -1
    fail_at: int = -1
    capacity_bytes: int = 1 << 40


#: What a crash leaves of bytes that were written but not synced.
TAILS = ("none", "half", "zeros", "all")


class _Contents:
    def __init__(self, data=b""):
        self.data = bytearray(data)
        self.synced = bytes(data)

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
            self.contents.data += data[: max(room, 0)]
            if room < len(data):
                raise OSError(errno.ENOSPC, "no space")

    def sync(self):
        with self.files.step():
            self.contents.synced = bytes(self.contents.data)

    def truncate(self, size_bytes):
        with self.files.step():
            del self.contents.data[size_bytes:]

    def close(self):
        pass


class MemoryFiles:
    """Files that keep after a crash only what was synced.

    :param faults: what goes wrong.
    """

    def __init__(self, faults=Faults()):  # noqa: B008
        self.faults = faults
        self.steps = 0
        self.names_now = {}
        self.names_synced = {}
        self.locked = set()

    @contextlib.contextmanager
    def step(self):
        number = self.steps
        self.steps += 1
        if number == self.faults.crash_before:
            raise CrashError
        if number == self.faults.fail_at:
            raise OSError(errno.EIO, "bad disk")
        yield
        if number == self.faults.crash_after:
            raise CrashError

    def used_bytes(self):
        return sum(len(c.data) for c in self.names_now.values())

    def after_crash(self, tail="none", names="synced"):
        """What the next start finds."""
        found = MemoryFiles()
        chosen = self.names_synced if names == "synced" else self.names_now
        for path, contents in chosen.items():
            found.names_now[path] = contents.after_crash(tail)
        found.names_synced = dict(found.names_now)
        return found

    def copy(self):
        return self.after_crash("all", "now")

    def make_folder(self, path):
        pass

    def names(self, path):
        return sorted(
            os.path.basename(name)
            for name in self.names_now
            if os.path.dirname(name) == path
        )

    def read(self, path):
        return bytes(self.names_now[path].data)

    def append(self, path):
        with self.step():
            contents = self.names_now.setdefault(path, _Contents())
        return _File(self, contents)

    def rename(self, source, target):
        with self.step():
            self.names_now[target] = self.names_now.pop(source)

    def remove(self, path):
        with self.step():
            del self.names_now[path]

    def sync_folder(self, path):
        with self.step():
            self.names_synced = dict(self.names_now)

    def lock(self, path):
        if path in self.locked:
            return None
        return self._held(path)

    @contextlib.contextmanager
    def _held(self, path):
        self.locked.add(path)
        try:
            yield
        finally:
            self.locked.discard(path)
