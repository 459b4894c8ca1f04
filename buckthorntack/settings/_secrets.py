"""Reading and writing of secret files."""

import os
import pathlib
import stat
import tempfile

import expression

from buckthorntack.settings import _errors

MAX_SECRET_BYTES = 65536
_FILE_MODE = 0o600
#: Mode bits that give access to the group and to other users.
_GROUP_AND_OTHERS = 0o077


class Secret:
    """Content of a secret file, hidden from log lines and tracebacks.

    :param text: the content.

    >>> Secret("swordfish")
    Secret(...)
    """

    __slots__ = ("_text",)

    def __init__(self, text):
        self._text = text

    def reveal(self) -> str:
        """Return the content."""
        return self._text

    def __repr__(self):
        return "Secret(...)"


def read_secret(
    path,
) -> expression.Result[Secret, _errors.SecretFileError]:
    """Read a secret file.

    :param path: the file.
    :returns: its content, or an error if it is missing, not a regular file,
        too large, not UTF-8, of another owner, or accessible to other users.
    """
    try:
        with open(path, "rb", opener=_open_nonblocking) as file:
            problem = _find_access_problem(os.fstat(file.fileno()))
            content = b"" if problem else file.read(MAX_SECRET_BYTES)
        text = content.decode("utf-8")
    except OSError as error:
        problem = error.strerror or type(error).__name__
    except UnicodeDecodeError:
        problem = "it is not UTF-8"
    if problem:
        return expression.Error(_errors.SecretFileError(f"{path}: {problem}"))
    return expression.Ok(Secret(text))


def _open_nonblocking(path, flags):
    """Open a file without blocking; a pipe would wait for a writer."""
    return os.open(path, flags | os.O_NONBLOCK)


def _find_access_problem(status):
    if not stat.S_ISREG(status.st_mode):
        return "it is not a regular file"
    if status.st_mode & _GROUP_AND_OTHERS:
        return f"mode {stat.S_IMODE(status.st_mode):o} lets others use it"
    if status.st_uid not in (0, os.geteuid()):
        return f"it belongs to user {status.st_uid}"
    if status.st_size > MAX_SECRET_BYTES:
        return f"it is larger than {MAX_SECRET_BYTES} bytes"
    return ""


def write_secret(
    path, text, replace=False
) -> expression.Result[None, _errors.SecretFileError]:
    """Write a secret file atomically, accessible only to its owner.

    :param path: the file.
    :param text: its content.
    :param replace: whether to replace an existing file.
    :returns: ``None``, or an error if the file was not written.
    """
    target = pathlib.Path(path)
    try:
        _write_atomically(target, text, replace)
    except OSError as error:
        problem = f"{target}: {error.strerror or type(error).__name__}"
        return expression.Error(_errors.SecretFileError(problem))
    return expression.Ok(None)


def _write_atomically(target, text, replace):
    descriptor, temporary_path = tempfile.mkstemp(dir=target.parent)
    try:
        with open(descriptor, "w", encoding="utf-8") as file:
            os.fchmod(file.fileno(), _FILE_MODE)
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        if replace:
            os.replace(temporary_path, target)
        else:
            os.link(temporary_path, target)
    finally:
        pathlib.Path(temporary_path).unlink(missing_ok=True)
