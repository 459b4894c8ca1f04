"""File operations that the storage needs."""

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
        """Wait until everything written is durable."""

    def truncate(self, size_bytes: int) -> None:
        """Shorten the file.

        :param size_bytes: size to keep.
        """

    def close(self) -> None:
        """Close without syncing."""


class Files(Protocol):
    """File operations; all raise ``OSError``."""

    def create_folder(self, path: str) -> None:
        """Create a folder and its parents durably, if missing.

        :param path: path of the folder.
        """

    def list_names(self, path: str) -> list[str]:
        """List the names in a folder.

        :param path: path of the folder.
        """

    def read(self, path: str) -> bytes:
        """Read the contents of a file.

        :param path: path of the file.
        """

    def open_for_append(self, path: str) -> WritableFile:
        """Open a file for appending; create it if it is missing.

        :param path: path of the file.
        """

    def rename(self, source: str, target: str) -> None:
        """Rename a file, replacing the target.

        :param source: current path.
        :param target: new path.
        """

    def remove(self, path: str) -> None:
        """Remove a file.

        :param path: path of the file.
        """

    def sync_folder(self, path: str) -> None:
        """Make creations, renames and removals in a folder durable.

        :param path: path of the folder.
        """

    def lock(
        self, path: str
    ) -> contextlib.AbstractContextManager[None] | None:
        """Acquire a lock that ends with the process.

        :param path: path of the lock file.
        :returns: context manager that releases the lock; None if another
            process holds it.
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
def _unlock_on_exit(descriptor):
    try:
        yield
    finally:
        os.close(descriptor)


class SystemFiles:
    """File operations on the local file system; see :class:`Files`."""

    def create_folder(self, path):
        """Create a folder and its parents durably, if missing."""
        if os.path.isdir(path):
            return
        parent = os.path.dirname(os.path.abspath(path))
        self.create_folder(parent)
        os.mkdir(path, 0o700)
        self.sync_folder(parent)

    def list_names(self, path):
        """List the names in a folder."""
        return sorted(os.listdir(path))

    def read(self, path):
        """Read the contents of a file."""
        with open(path, "rb") as file:
            return file.read()

    def open_for_append(self, path):
        """Open a file for appending; create it if it is missing."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        return _SystemFile(os.open(path, flags, 0o600))

    def rename(self, source, target):
        """Rename a file, replacing the target."""
        os.replace(source, target)

    def remove(self, path):
        """Remove a file."""
        os.remove(path)

    def sync_folder(self, path):
        """Make creations, renames and removals in a folder durable."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self, path):
        """Acquire a lock that ends with the process."""
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        descriptor = os.open(path, flags, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return None
        return _unlock_on_exit(descriptor)
