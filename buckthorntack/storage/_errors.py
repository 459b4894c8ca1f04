"""Error kinds of the durable state."""

import contextlib
import errno

from buckthorntack import errors


class StorageError(errors.GatewayError):
    """Base of the errors of the durable state."""

    number = 350
    status = 503
    kind = "storage_error"
    remedy = "see the replica's log on its VM"
    run_state = errors.RunState.UNKNOWN


class CorruptFileError(StorageError):
    """A file that was synced no longer has its contents."""

    number = 351
    kind = "corrupt_file"
    remedy = (
        "keep the folder for inspection, start this VM with an empty folder "
        "under a new node id, add it as a learner and remove the old id"
    )


class FolderInUseError(StorageError):
    """Another process has the data folder."""

    number = 352
    kind = "folder_in_use"
    remedy = "stop the other process or give this one its own data folder"


class ForeignFolderError(StorageError):
    """The data folder belongs to another replica."""

    number = 353
    kind = "foreign_folder"
    remedy = "set data folder and node id to what belongs together"


class DiskFullError(StorageError):
    """The disk took no more bytes."""

    number = 354
    kind = "disk_full"
    remedy = "free space on the disk of the data folder, then restart"


class DiskFailedError(StorageError):
    """The disk or file system reported an error."""

    number = 355
    kind = "disk_failed"
    remedy = (
        "check the disk; if it is sound restart, else replace the VM under "
        "a new node id"
    )


_FULL = (errno.ENOSPC, errno.EDQUOT)


@contextlib.contextmanager
def typed(path):
    """Turn an ``OSError`` into its typed kind.

    :param path: file or folder worked on.
    :raises DiskFullError: no space was left.
    :raises DiskFailedError: any other failure.
    """
    try:
        yield
    except OSError as error:
        full = error.errno in _FULL
        kind = DiskFullError if full else DiskFailedError
        raise kind(f"{path}: {error.strerror or error}") from error
