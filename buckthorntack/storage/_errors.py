"""Error kinds of the storage."""

import contextlib
import errno

from buckthorntack import errors


class StorageError(errors.GatewayError):
    """Base class of the errors of the storage."""

    number = 350
    status = 503
    kind = "storage_error"
    remedy = "see the replica's log on its VM"
    run_state = errors.RunState.UNKNOWN


class CorruptFileError(StorageError):
    """A file has lost or changed contents that were synced."""

    number = 351
    kind = "corrupt_file"
    remedy = (
        "keep the folder for inspection, start this VM with an empty folder "
        "under a new node id, add it as a learner and remove the old id"
    )


class FolderInUseError(StorageError):
    """Another process uses the data folder."""

    number = 352
    kind = "folder_in_use"
    remedy = "stop the other process or give this one its own data folder"


class ForeignFolderError(StorageError):
    """The data folder belongs to another replica."""

    number = 353
    kind = "foreign_folder"
    remedy = "configure the data folder that belongs to this node id"


class DiskFullError(StorageError):
    """The disk has no space left; what was refused is not written."""

    number = 354
    kind = "disk_full"
    remedy = "free space on the disk of the data folder"


class DiskFailedError(StorageError):
    """The disk or file system reported an error."""

    number = 355
    kind = "disk_failed"
    remedy = (
        "check the disk; restart if it has no fault, otherwise replace the "
        "VM under a new node id"
    )


_DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


@contextlib.contextmanager
def translate_os_errors(path, full_is_failure=False):
    """Raise each ``OSError`` of the block as a ``StorageError``.

    :param path: file or folder that the block uses.
    :param full_is_failure: whether the contents of the file are unknown
        after a lack of space too, as after a failed sync.
    :raises DiskFullError: no space or quota was left.
    :raises DiskFailedError: any other failure.
    """
    try:
        yield
    except OSError as error:
        full = error.errno in _DISK_FULL_ERRNOS
        is_refused = full and not full_is_failure
        kind = DiskFullError if is_refused else DiskFailedError
        raise kind(f"{path}: {error.strerror or error}") from error
