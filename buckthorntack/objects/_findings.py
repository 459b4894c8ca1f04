"""Findings: violated rules, each with its remedy."""

from buckthorntack.objects import _kinds
from buckthorntack.schema import documents


def finding(rule, kind, name, path, message, remedy) -> documents.Finding:
    """Build a finding.

    :param rule: name of the violated rule.
    :param kind: kind of the object concerned.
    :param name: name of the object concerned.
    :param path: field concerned; a leading ``$.`` is dropped.
    :param message: how the object violates the rule.
    :param remedy: how to correct the object.
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
    """Sort findings by kind, name and field.

    :param findings: the findings.
    :returns: a sorted list.
    """
    return sorted(findings, key=_sort_key)


def _sort_key(found):
    kind = found["kind"]
    is_known = kind in _kinds.KINDS
    position = _kinds.KINDS.index(kind) if is_known else len(_kinds.KINDS)
    fields = (found["name"], found["path"], found["rule"], found["message"])
    return (position, kind, *fields)


def format_finding(found):
    """Format a finding as one line of text.

    :param found: a finding.
    :returns: file, object, field, message, rule and remedy.

    >>> format_finding(finding("r", "Region", "a", "$.name", "wrong", "mend"))
    'Region a: name: wrong [r]; remedy: mend'
    """
    object_label = f"{found['kind']} {found['name']}".strip()
    parts = [
        found.get("file", ""),
        object_label,
        found["path"],
        found["message"],
    ]
    text = ": ".join(part for part in parts if part)
    return f"{text} [{found['rule']}]; remedy: {found['remedy']}"
