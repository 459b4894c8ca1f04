"""Check of a whole set of objects, and of a change to a checked set."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from buckthorntack.objects import _findings
from buckthorntack.objects import _index
from buckthorntack.objects import _kinds
from buckthorntack.objects import _organisation_rules  # noqa: F401
from buckthorntack.objects import _reference_rules  # noqa: F401
from buckthorntack.objects import _registry
from buckthorntack.objects import _service_rules  # noqa: F401
from buckthorntack.objects import _shape
from buckthorntack.objects import _topology_rules  # noqa: F401
from buckthorntack.schema import documents


def rules():
    """All rules, in the order in which they run."""
    return tuple(_registry.RULES)


def check(
    named_objects: Iterable[documents.NamedObject],
) -> list[documents.Finding]:
    """Check a whole set; all findings are told at once.

    :param named_objects: the objects, as parsed JSON of any shape.
    :returns: findings, empty if the set may be published.

    >>> [found["rule"] for found in check([
    ...     {"kind": "Region", "object": {"name": "fukuoka"}}])]
    ['region_without_domain']
    """
    sound, broken, findings = _split_by_shape(named_objects)
    findings += _duplicates(sound)
    index = _index.build_index(sound, broken)
    for rule in _applicable(index):
        findings += _run(rule, index, None)
    return _findings.sort_findings(findings)


def check_change(published, put, remove):
    """Check what a change makes of a set that was checked before.

    Gives the findings that :func:`check` of the whole set would give, but
    looks only at objects that the change can affect.

    :param published: the :class:`PublishedSet` that the change is based on.
    :param put: ``NamedObject`` of each object created or replaced.
    :param remove: ``ObjectName`` of each object removed.
    :returns: findings, empty if the changed set may be published.
    """
    sound, broken, findings = _split_by_shape(put)
    findings += _duplicates(sound)
    findings += _wrong_removals(published.index, sound, remove)
    known = [entry for entry in remove if entry["kind"] in _kinds.KINDS]
    changed = _index.changed_index(published.index, sound, known)
    index = _index.ObjectIndex(changed.tables, broken)
    scope = _scope(sound, known)
    for rule in _applicable(index):
        findings += _run(rule, index, scope)
    return _findings.sort_findings(findings)


class _Scope(NamedTuple):
    """What a change touches: names by kind, and kinds of which some go."""

    names: dict[str, set[str]]
    removed_kinds: set[str]


def _scope(put, remove):
    names = collections.defaultdict(set)
    for entry in put:
        names[entry["kind"]].add(entry["object"]["name"])
    for entry in remove:
        names[entry["kind"]].add(entry["name"])
    return _Scope(dict(names), {entry["kind"] for entry in remove})


def _split_by_shape(named_objects):
    """Separate objects of right shape from others."""
    sound, broken, findings = [], set(), []
    for entry in named_objects:
        if _shape.is_sound(entry):
            sound.append(entry)
            continue
        found = _shape.shape_findings(entry)
        findings += found
        if found:
            broken |= {(one["kind"], one["name"]) for one in found}
        else:
            sound.append(entry)
    return sound, frozenset(broken), findings


def _duplicates(named_objects):
    keys = ((e["kind"], e["object"]["name"]) for e in named_objects)
    for (kind, name), count in collections.Counter(keys).items():
        if count > 1:
            yield _findings.finding(
                "duplicate_name",
                kind,
                name,
                "name",
                f"{count} objects of this kind have this name",
                "rename or remove all but one",
            )


def _wrong_removals(index, put, remove):
    put_keys = {(e["kind"], e["object"]["name"]) for e in put}
    for entry in remove:
        kind, name = entry["kind"], entry["name"]
        if (kind, name) in put_keys:
            message = "the change both puts and removes it"
        elif name not in index.tables.get(kind, ()):
            message = "the change removes it, but it is not in the set"
        else:
            continue
        yield _findings.finding(
            "removal",
            kind,
            name,
            "",
            message,
            "leave the removal out of the change",
        )


def _applicable(index):
    """Rules that do not look at kinds of which an object is broken."""
    broken_kinds = {kind for kind, _ in index.broken}
    for rule in _registry.RULES:
        if rule.name == "dangling_reference" or not (
            rule.reads & broken_kinds
        ):
            yield rule


def _run(rule, index, scope):
    """Run a rule on all it concerns, or on what a change can affect."""
    if scope is None or _concerns_all(rule, scope):
        rows = index.rows(rule.subject) if rule.subject else ()
    elif rule.subject:
        table = index.tables[rule.subject]
        names = scope.names.get(rule.subject, ())
        rows = [table[name] for name in names if name in table]
    else:
        return
    if not rule.subject:
        yield from rule.check(index)
    for row in rows:
        yield from rule.check(row, index)


def _concerns_all(rule, scope):
    if rule.by_removal:
        return bool(rule.reads & scope.removed_kinds)
    return bool(rule.reads & scope.names.keys())
