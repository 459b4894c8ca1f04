"""Validation of a whole set of objects, and of a change to a valid set."""

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
    """Return all rules in the order in which they run."""
    return tuple(_registry.RULES)


def check(
    named_objects: Iterable[documents.NamedObject],
) -> list[documents.Finding]:
    """Validate a whole set and report all findings together.

    :param named_objects: the objects, as parsed JSON of any shape.
    :returns: findings, empty if the set may be published.

    >>> [found["rule"] for found in check([
    ...     {"kind": "Region", "object": {"name": "fukuoka"}}])]
    ['region_without_domain']
    """
    valid, malformed, findings = _split_by_shape(named_objects)
    findings += _find_duplicates(valid)
    index = _index.build_index(valid, malformed)
    for rule in _list_applicable_rules(index):
        findings += _run_rule(rule, index, None)
    return _findings.sort_findings(findings)


def check_change(published, put, remove):
    """Validate the set that a change to a valid set results in.

    The findings are those of :func:`check` on the whole changed set, but
    only objects that the change can affect are checked.

    :param published: the :class:`PublishedSet` that the change is based on.
    :param put: ``NamedObject`` of each object created or replaced.
    :param remove: ``ObjectName`` of each object removed.
    :returns: findings, empty if the changed set may be published.
    """
    valid, malformed, findings = _split_by_shape(put)
    findings += _find_duplicates(valid)
    findings += _find_invalid_removals(published.index, valid, remove)
    known_removals = [
        entry for entry in remove if entry["kind"] in _kinds.KINDS
    ]
    changed = _index.build_changed_index(
        published.index, valid, known_removals
    )
    index = _index.ObjectIndex(changed.tables, malformed)
    scope = _build_scope(valid, known_removals)
    for rule in _list_applicable_rules(index):
        findings += _run_rule(rule, index, scope)
    return _findings.sort_findings(findings)


class _Scope(NamedTuple):
    """Names that a change puts or removes, and kinds that it removes from."""

    names: dict[str, set[str]]
    removed_kinds: set[str]


def _build_scope(put, remove):
    names = collections.defaultdict(set)
    for entry in put:
        names[entry["kind"]].add(entry["object"]["name"])
    for entry in remove:
        names[entry["kind"]].add(entry["name"])
    return _Scope(dict(names), {entry["kind"] for entry in remove})


def _split_by_shape(named_objects):
    """Separate objects that match their schema from malformed ones."""
    valid, malformed, findings = [], set(), []
    for entry in named_objects:
        if _shape.is_sound(entry):
            valid.append(entry)
            continue
        found = _shape.list_shape_findings(entry)
        findings += found
        if found:
            malformed |= {
                (finding["kind"], finding["name"]) for finding in found
            }
        else:
            valid.append(entry)
    return valid, frozenset(malformed), findings


def _find_duplicates(named_objects):
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


def _find_invalid_removals(index, put, remove):
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


def _list_applicable_rules(index):
    """Yield the rules that read no kind with a malformed object.

    The exception is ``dangling_reference``, which skips references to
    malformed objects itself.
    """
    malformed_kinds = {kind for kind, _ in index.malformed}
    for rule in _registry.RULES:
        if rule.name == "dangling_reference" or not (
            rule.reads & malformed_kinds
        ):
            yield rule


def _run_rule(rule, index, scope):
    """Run a rule on all rows, or on those that a change can affect."""
    if scope is None or _should_check_all_rows(rule, scope):
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


def _should_check_all_rows(rule, scope):
    if rule.by_removal:
        return bool(rule.reads & scope.removed_kinds)
    return bool(rule.reads & scope.names.keys())
