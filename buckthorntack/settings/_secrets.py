"""Files of secrets: private to their owner, never shown."""

import os
import pathlib
import stat
import tempfile

import expression

from buckthorntack.settings import _errors

MAX_SECRET_BYTES = 65536
_FILE_MODE = 0o600
_OTHERS = 0o077


class Secret:
    """Content of a secret file that no log line or traceback shows.

    :param text: the content.

    >>> Secret("swordfish")
    Secret(...)
    """

    __slots__ = ("_text",)

    def __init__(self, text):
        self._text = text

    def reveal(self) -> str:
        """The content itself."""
        return self._text

    def __repr__(self):
        return "Secret(...)"


def read_secret(
    path,
) -> expression.Result[Secret, _errors.SecretFileError]:
    """Read a file of secrets.

    :param path: the file.
    :returns: its content, or why it is not used: it is missing, no regular
        file, too large, or open to other users.
    """
    try:
        with open(path, "rb", opener=_open_at_once) as file:
            fault = _fault(os.fstat(file.fileno()))
            content = b"" if fault else file.read(MAX_SECRET_BYTES)
        text = content.decode("utf-8")
    except OSError as error:
        fault = error.strerror or type(error).__name__
    except UnicodeDecodeError:
        fault = "it is not UTF-8"
    if fault:
        return expression.Error(_errors.SecretFileError(f"{path}: {fault}"))
    return expression.Ok(Secret(text))


def _open_at_once(path, flags):
    """Open without waiting for a writer, should the file be a pipe."""
    return os.open(path, flags | os.O_NONBLOCK)


def _fault(status):
    if not stat.S_ISREG(status.st_mode):
        return "it is no regular file"
    if status.st_mode & _OTHERS:
        return f"mode {stat.S_IMODE(status.st_mode):o} lets others use it"
    if status.st_uid not in (0, os.geteuid()):
        return f"it belongs to user {status.st_uid}"
    if status.st_size > MAX_SECRET_BYTES:
        return f"it is larger than {MAX_SECRET_BYTES} bytes"
    return ""


def write_secret(
    path, text, replace=False
) -> expression.Result[None, _errors.SecretFileError]:
    """Write a file of secrets as a whole, readable by its owner only.

    :param path: the file.
    :param text: its content.
    :param replace: whether it may be there already.
    :returns: nothing, or why it was not written.
    """
    target = pathlib.Path(path)
    try:
        _write(target, text, replace)
    except OSError as error:
        fault = f"{target}: {error.strerror or type(error).__name__}"
        return expression.Error(_errors.SecretFileError(fault))
    return expression.Ok(None)


def _write(target, text, replace):
    descriptor, scratch = tempfile.mkstemp(dir=target.parent)
    try:
        with open(descriptor, "w", encoding="utf-8") as file:
            os.fchmod(file.fileno(), _FILE_MODE)
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        if replace:
            os.replace(scratch, target)
        else:
            os.link(scratch, target)
    finally:
        pathlib.Path(scratch).unlink(missing_ok=True)
