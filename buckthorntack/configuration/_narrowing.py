"""Interim set for changes that take organisations out of regions."""

from typing import Any
from typing import NamedTuple


class InterimStep(NamedTuple):
    """Changes to the interim set, and back from it.

    ``put`` leads to the interim set, in which each organisation is allowed
    in the regions that it has both before and after the change.
    ``restore_put`` and the removal of ``extra_rules`` lead back.
    """

    regions: frozenset[str]
    put: list[Any]
    restore_put: list[Any]
    extra_rules: list[Any]


def plan_interim_step(before, after, put, remove):
    """Return the interim step of a change and the regions that it removes.

    :param before: published set before the change.
    :param after: published set after it.
    :param put: named objects that the change puts.
    :param remove: object names that the change removes.
    :returns: an :class:`InterimStep`; ``regions`` is empty if no organisation
        loses a region.
    """
    rules = list(_narrowed_rules(before, after, put))
    organisations = list(_narrowed_organisations(before, after, put, remove))
    regions = {r for _, lost in (*rules, *organisations) for r in lost}
    result = InterimStep(frozenset(regions), [], [], [])
    for name, _ in rules:
        _withhold_rule(before, after, name, result)
    for index, (name, _) in enumerate(organisations):
        _withhold_organisation(before, after, name, index, result)
    return result


def _rule_regions(published, name):
    rule = published.get("ResidencyRule", name)
    return frozenset() if rule is None else frozenset(rule["regions"])


def _narrowed_rules(before, after, put):
    for entry in put:
        if entry["kind"] != "ResidencyRule":
            continue
        name = entry["object"]["name"]
        lost = _rule_regions(before, name) - _rule_regions(after, name)
        if lost:
            yield name, lost


def _narrowed_organisations(before, after, put, remove):
    names = [e["object"]["name"] for e in put if e["kind"] == "Organisation"]
    names += [e["name"] for e in remove if e["kind"] == "Organisation"]
    for name in names:
        old = before.organisation(name)
        new = after.organisation(name)
        if old is None:
            continue
        if new is not None and old["residency_rule"] == new["residency_rule"]:
            continue
        lost = before.allowed_regions(name) - after.allowed_regions(name)
        if lost:
            yield name, lost


def _withhold_rule(before, after, name, result):
    kept = _rule_regions(before, name) & _rule_regions(after, name)
    rule = {"name": name, "regions": sorted(kept)}
    old = before.get("ResidencyRule", name)
    result.put.append({"kind": "ResidencyRule", "object": rule})
    result.restore_put.append({"kind": "ResidencyRule", "object": old})


def _withhold_organisation(before, after, name, index, result):
    kept = before.allowed_regions(name) & after.allowed_regions(name)
    rule_name = _choose_unused_name(before, after, index)
    rule = {"name": rule_name, "regions": sorted(kept)}
    old = before.organisation(name)
    withheld = {**old, "residency_rule": rule_name}
    result.put.append({"kind": "ResidencyRule", "object": rule})
    result.put.append({"kind": "Organisation", "object": withheld})
    result.restore_put.append({"kind": "Organisation", "object": old})
    result.extra_rules.append({"kind": "ResidencyRule", "name": rule_name})


def _choose_unused_name(before, after, index):
    name = f"interim-{index}"
    while before.get("ResidencyRule", name) or after.get(
        "ResidencyRule", name
    ):
        name += "x"
    return name
