"""The few file operations that durable state needs."""

import contextlib
import fcntl
import os
from typing import Protocol


class WritableFile(Protocol):
    """A file open for appending."""

    def write(self, data: bytes) -> None:
        """Append all of the data.

        :param data: bytes to append.
        """

    def sync(self) -> None:
        """Make what was written last."""

    def truncate(self, size_bytes: int) -> None:
        """Cut the file.

        :param size_bytes: bytes to keep.
        """

    def close(self) -> None:
        """Close without syncing."""


class Files(Protocol):
    """File operations; all raise ``OSError``."""

    def make_folder(self, path: str) -> None:
        """Make a folder and its parents, if missing, and let it last.

        :param path: path of the folder.
        """

    def names(self, path: str) -> list[str]:
        """Names in a folder.

        :param path: path of the folder.
        """

    def read(self, path: str) -> bytes:
        """Whole contents of a file.

        :param path: path of the file.
        """

    def append(self, path: str) -> WritableFile:
        """Open for appending; made if missing.

        :param path: path of the file.
        """

    def rename(self, source: str, target: str) -> None:
        """Rename, replacing the target.

        :param source: present path.
        :param target: new path.
        """

    def remove(self, path: str) -> None:
        """Remove a file.

        :param path: path of the file.
        """

    def sync_folder(self, path: str) -> None:
        """Make creations, renames and removals in a folder last.

        :param path: path of the folder.
        """

    def lock(
        self, path: str
    ) -> contextlib.AbstractContextManager[None] | None:
        """Take a lock that ends with the process.

        :param path: file that stands for the lock.
        :returns: context manager that gives it back; None if it is taken.
        """


class _SystemFile:
    def __init__(self, descriptor):
        self._descriptor = descriptor

    def write(self, data):
        view = memoryview(data)
        while view:
            view = view[os.write(self._descriptor, view) :]

    def sync(self):
        os.fsync(self._descriptor)

    def truncate(self, size_bytes):
        os.ftruncate(self._descriptor, size_bytes)

    def close(self):
        os.close(self._descriptor)


@contextlib.contextmanager
def _held(descriptor):
    try:
        yield
    finally:
        os.close(descriptor)


class SystemFiles:
    """The file system of the machine; see :class:`Files`."""

    def make_folder(self, path):
        """Make a folder and its parents, if missing, and let it last."""
        if os.path.isdir(path):
            return
        parent = os.path.dirname(os.path.abspath(path))
        self.make_folder(parent)
        os.mkdir(path, 0o700)
        self.sync_folder(parent)

    def names(self, path):
        """Names in a folder."""
        return sorted(os.listdir(path))

    def read(self, path):
        """Whole contents of a file."""
        with open(path, "rb") as file:
            return file.read()

    def append(self, path):
        """Open for appending; made if missing."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        return _SystemFile(os.open(path, flags, 0o600))

    def rename(self, source, target):
        """Rename, replacing the target."""
        os.replace(source, target)

    def remove(self, path):
        """Remove a file."""
        os.remove(path)

    def sync_folder(self, path):
        """Make creations, renames and removals in a folder last."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self, path):
        """Take a lock that ends with the process."""
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        descriptor = os.open(path, flags, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return None
        return _held(descriptor)
