"""Rule that referenced objects exist."""

import functools

from buckthorntack.objects import _findings
from buckthorntack.objects import _kinds
from buckthorntack.objects import _registry


def _find_dangling_references(reference, row, index):
    """Each object that another refers to is in the set."""
    value = getattr(row, reference.field)
    if value is None:
        return
    table = index.tables[reference.target]
    names = (value,) if isinstance(value, str) else value
    for name in names:
        if name in table or (reference.target, name) in index.malformed:
            continue
        yield _findings.finding(
            "dangling_reference",
            reference.kind,
            row.name,
            reference.field,
            f"{reference.target} {name!r} is not in the set",
            f"add {reference.target} {name!r}, or name another "
            f"in {reference.field}",
        )


for _reference in _kinds.REFERENCES:
    _check = functools.partial(_find_dangling_references, _reference)
    _check.__doc__ = _find_dangling_references.__doc__
    _registry.rule(
        "dangling_reference",
        _reference.kind,
        [_reference.target],
        by_removal=True,
    )(_check)
