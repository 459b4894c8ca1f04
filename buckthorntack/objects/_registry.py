"""Registry of the rules that a set of objects must satisfy."""

from collections.abc import Callable
from typing import NamedTuple


class Rule(NamedTuple):
    """A rule; ``check`` yields the findings.

    A rule with a ``subject`` is called with each row of that kind and the
    index; a rule without is called once with the index.
    """

    name: str
    subject: str
    reads: frozenset[str]
    check: Callable
    #: Whether, of changes to what it reads, only a removal can break it.
    by_removal: bool


RULES: list[Rule] = []

#: Rules that are not looked at on a set of rows, with their meaning.
READING_RULES = {
    "file": "A file is JSON with comments in UTF-8.",
    "object_shape": "Each entry has a kind and an object.",
    "known_kind": "The kind of an object is known.",
    "schema": "An object has the fields that its kind describes.",
    "duplicate_name": "A name is unique within its kind.",
    "removal": "A change removes only what is there and what it does not put.",
}


def rule_meanings():
    """Meaning of each rule, by name, for the reference."""
    meanings = dict(READING_RULES)
    for known in RULES:
        meanings[known.name] = known.check.__doc__.splitlines()[0]
    return meanings


def rule(name, subject="", reads=(), by_removal=False):
    """Register the decorated function as a rule.

    :param name: the rule's name, as told in findings.
    :param subject: kind whose rows it looks at one by one, if any.
    :param reads: kinds it looks at besides.
    :param by_removal: whether, of changes to those, only a removal can
        break it.
    :returns: the decorator.
    """

    def register(check):
        known = Rule(name, subject, frozenset(reads), check, by_removal)
        RULES.append(known)
        return check

    return register
