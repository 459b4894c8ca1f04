"""Reading of objects from a folder of JSON files with comments."""

import pathlib
from typing import NamedTuple

from buckthorntack import schema
from buckthorntack.objects import _check
from buckthorntack.objects import _findings
from buckthorntack.schema import documents

_FILE_SUFFIX = ".json"


class LoadedFolder(NamedTuple):
    """Objects read from a folder, with the findings."""

    named_objects: list[documents.NamedObject]
    #: File of each object, by kind and name; the last one if a name repeats.
    files: dict[tuple[str, str], str]
    findings: list[documents.Finding]


def load_folder(path) -> LoadedFolder:
    """Read all ``*.json`` files of a folder.

    Each file holds one ``{"kind": ..., "object": ...}`` or a list of them.

    :param path: the folder.
    :returns: the objects, their files, and a finding for each unreadable file.
    """
    folder = pathlib.Path(path)
    loaded = LoadedFolder([], {}, [])
    files = sorted(folder.glob(f"*{_FILE_SUFFIX}")) if folder.is_dir() else []
    if not files:
        loaded.findings.append(
            _file_finding(
                str(folder),
                f"no folder with *{_FILE_SUFFIX} files",
                "name the folder that holds the objects",
            )
        )
    for file in files:
        _load_file(file, loaded)
    return loaded


def _load_file(file, loaded):
    try:
        content = schema.parse_json(file.read_text(encoding="utf-8"))
    except (ValueError, OSError) as error:
        remedy = "correct the file; it must be JSON with comments in UTF-8"
        loaded.findings.append(_file_finding(file.name, str(error), remedy))
        return
    entries = content if isinstance(content, list) else [content]
    for entry in entries:
        loaded.named_objects.append(entry)
        loaded.files[_find_object_key(entry)] = file.name


def _find_object_key(entry):
    if not isinstance(entry, dict):
        return ("", "")
    document = entry.get("object")
    name = document.get("name") if isinstance(document, dict) else ""
    return (str(entry.get("kind", "")), str(name or ""))


def _file_finding(file, message, remedy):
    found = _findings.finding("file", "", "", "", message, remedy)
    found["file"] = file
    return found


def check_folder(path) -> LoadedFolder:
    """Read a folder and validate the set of objects in it.

    :param path: the folder.
    :returns: as :func:`load_folder`, with the findings of the validation
        added, each with its file.
    """
    loaded = load_folder(path)
    findings = _check.check(loaded.named_objects)
    for found in findings:
        file = loaded.files.get((found["kind"], found["name"]))
        if file is not None:
            found["file"] = file
    return loaded._replace(findings=[*loaded.findings, *findings])
