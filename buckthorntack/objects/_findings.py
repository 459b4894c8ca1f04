"""Findings: faults of an object or of a set, each with its remedy."""

from buckthorntack.objects import _kinds
from buckthorntack.schema import documents


def finding(rule, kind, name, path, message, remedy) -> documents.Finding:
    """Make a finding.

    :param rule: name of the rule broken.
    :param kind: kind of the object concerned.
    :param name: name of the object concerned.
    :param path: field concerned; a leading ``$.`` is dropped.
    :param message: what is wrong.
    :param remedy: what to do about it.
    :returns: the finding.
    """
    return {
        "rule": rule,
        "kind": kind,
        "name": name,
        "path": path.removeprefix("$.").removeprefix("$"),
        "message": message,
        "remedy": remedy,
    }


def sort_findings(findings):
    """Order findings by kind, name and field.

    :param findings: the findings.
    :returns: a sorted list.
    """
    return sorted(findings, key=_place)


def _place(found):
    kind = found["kind"]
    known = kind in _kinds.KINDS
    place = _kinds.KINDS.index(kind) if known else len(_kinds.KINDS)
    fields = (found["name"], found["path"], found["rule"], found["message"])
    return (place, kind, *fields)


def format_finding(found):
    """One line for people: file, object, field, fault and remedy.

    :param found: a finding.
    :returns: the line.

    >>> format_finding(finding("r", "Region", "a", "$.name", "wrong", "mend"))
    'Region a: name: wrong [r]; remedy: mend'
    """
    place = f"{found['kind']} {found['name']}".strip()
    parts = [found.get("file", ""), place, found["path"], found["message"]]
    text = ": ".join(part for part in parts if part)
    return f"{text} [{found['rule']}]; remedy: {found['remedy']}"
