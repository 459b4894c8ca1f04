"""Folders of objects that commands read and write.

Beside the objects, a folder holds the revision it was last equal to, and a
change that was sent but whose answer is not known yet.  Both are hidden
files, so that they are not read as objects.
"""

import json
import os
import pathlib

from buckthorntack.cli import _errors
from buckthorntack.cli import _output

_BASE_FILE = ".base-revision"
_PENDING_FILE = ".pending-change"


def read_checked(arguments, context):
    """Objects of a folder, if they pass the check.

    :param arguments: arguments with ``folder`` and ``output``.
    :param context: where findings are printed.
    :returns: the objects, or ``None`` after printing the findings.
    """
    from buckthorntack import objects

    loaded = objects.check_folder(arguments.folder)
    if not loaded.findings:
        return loaded.named_objects
    write_findings(arguments, context, loaded.findings)
    return None


def write_findings(arguments, context, findings):
    """Print findings.

    :param arguments: arguments with ``output``.
    :param context: where to print.
    :param findings: the findings.
    """
    from buckthorntack import objects

    lines = [objects.format_finding(found) for found in findings]
    lines.append(f"{len(findings)} findings; nothing was published")
    _output.write(context, arguments, {"findings": findings}, lines)


def write_objects(folder, object_list):
    """Write a set into a folder, one file for each kind.

    :param folder: the folder; must be empty or absent.
    :param object_list: an ``ObjectList``.
    :raises UsageError: the folder holds something, or cannot be written.
    """
    folder = pathlib.Path(folder)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.iterdir()):
            raise _errors.UsageError(f"{folder} is not empty")
        for kind in sorted({e["kind"] for e in object_list["objects"]}):
            entries = [e for e in object_list["objects"] if e["kind"] == kind]
            text = json.dumps(entries, indent=2, ensure_ascii=False)
            (folder / f"{kind}.json").write_text(text + "\n", "utf-8")
        remember_base(folder, object_list["revision"])
    except OSError as error:
        raise _errors.UsageError(f"{folder}: {error.strerror}") from error


def base_revision(folder):
    """Revision that a folder was last equal to.

    :param folder: the folder.
    :returns: the revision, or ``None`` if it was never applied or read.
    """
    found = _read(pathlib.Path(folder) / _BASE_FILE)
    return found if isinstance(found, int) else None


def remember_base(folder, revision):
    """Keep the revision that a folder is equal to now.

    :param folder: the folder.
    :param revision: the revision.
    """
    _write(pathlib.Path(folder) / _BASE_FILE, revision)


def pending_change(folder):
    """Change that was sent from a folder without a known answer.

    :param folder: the folder.
    :returns: the change, or ``None``.
    """
    found = _read(pathlib.Path(folder) / _PENDING_FILE)
    return found if isinstance(found, dict) else None


def remember_pending(folder, change):
    """Keep a change before it is sent.

    :param folder: the folder.
    :param change: the change.
    :raises UsageError: it cannot be kept, so it must not be sent.
    """
    try:
        _write(pathlib.Path(folder) / _PENDING_FILE, change)
    except OSError as error:
        detail = f"{folder} cannot be written: {error.strerror}"
        raise _errors.UsageError(detail) from error


def forget_pending(folder):
    """Drop the change kept, as its answer is known.

    :param folder: the folder.
    """
    (pathlib.Path(folder) / _PENDING_FILE).unlink(missing_ok=True)


def _read(file):
    try:
        return json.loads(file.read_text("utf-8"))
    except (OSError, ValueError):
        return None


def _write(file, content):
    scratch = file.with_name(file.name + ".new")
    with open(scratch, "w", encoding="utf-8") as stream:
        json.dump(content, stream)
        stream.flush()
        os.fsync(stream.fileno())
    os.replace(scratch, file)
