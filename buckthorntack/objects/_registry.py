"""Registry of the rules that a set of objects must satisfy."""

from collections.abc import Callable
from typing import NamedTuple


class Rule(NamedTuple):
    """A rule that ``check`` evaluates and reports as findings.

    If ``subject`` is a kind, ``check`` is called with each row of that kind
    and the index; if it is empty, ``check`` is called once with the index.
    """

    name: str
    subject: str
    reads: frozenset[str]
    check: Callable
    #: Whether a change to the kinds in ``reads`` can violate the rule only
    #: by removing an object.
    by_removal: bool


RULES: list[Rule] = []

#: Rules that are checked before the rows are built, with their meaning.
INPUT_RULES = {
    "file": "A file is JSON with comments in UTF-8.",
    "object_shape": "Each entry has a kind and an object.",
    "known_kind": "The kind of an object is known.",
    "schema": "An object has the fields that its kind describes.",
    "duplicate_name": "A name is unique within its kind.",
    "removal": "A change removes only existing objects that it does not put.",
}


def rule_meanings():
    """Return the meaning of each rule, by name, for the reference pages."""
    meanings = dict(INPUT_RULES)
    for registered in RULES:
        meanings[registered.name] = registered.check.__doc__.splitlines()[0]
    return meanings


def rule(name, subject="", reads=(), by_removal=False):
    """Register the decorated function as a rule.

    :param name: the rule's name, as reported in findings.
    :param subject: kind whose rows are checked one by one, if any.
    :param reads: other kinds that the rule reads.
    :param by_removal: whether a change to those kinds can violate the rule
        only by removing an object.
    :returns: the decorator.
    """

    def register(check):
        registered = Rule(name, subject, frozenset(reads), check, by_removal)
        RULES.append(registered)
        return check

    return register
