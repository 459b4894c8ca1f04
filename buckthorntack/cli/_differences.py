"""Differences between a folder of objects and the set in force."""

from typing import NamedTuple

from buckthorntack.schema import documents


class Differences(NamedTuple):
    """What a change must do so that the set in force equals a folder."""

    added: list[documents.NamedObject]
    altered: list[documents.NamedObject]
    missing: list[documents.ObjectName]

    def put(self):
        """Objects that the change creates or replaces."""
        return [*self.added, *self.altered]


def find_differences(in_folder, in_force) -> Differences:
    """Compare two sets.

    :param in_folder: objects of the folder.
    :param in_force: objects in force.
    :returns: the differences.

    >>> region = {"kind": "Region", "object": {"name": "fukuoka"}}
    >>> find_differences([], [region]).missing
    [{'kind': 'Region', 'name': 'fukuoka'}]
    """
    old = {_key(entry): entry["object"] for entry in in_force}
    new = {_key(entry): entry["object"] for entry in in_folder}
    added = [entry for entry in in_folder if _key(entry) not in old]
    altered = [
        entry
        for entry in in_folder
        if old.get(_key(entry), entry["object"]) != entry["object"]
    ]
    missing = [
        {"kind": kind, "name": name}
        for kind, name in old
        if (kind, name) not in new
    ]
    return Differences(added, altered, missing)


def _key(entry):
    return (entry["kind"], entry["object"]["name"])


def format_differences(differences):
    """One line for each difference.

    :param differences: what :func:`find_differences` gave.
    :returns: list of lines: ``+`` added, ``~`` altered, ``-`` only in force.
    """
    lines = [f"+ {' '.join(_key(entry))}" for entry in differences.added]
    lines += [f"~ {' '.join(_key(entry))}" for entry in differences.altered]
    lines += [f"- {e['kind']} {e['name']}" for e in differences.missing]
    return lines
