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


RULES: list[Rule] = []


def rule(name, subject="", reads=()):
    """Register the decorated function as a rule.

    :param name: the rule's name, as told in findings.
    :param subject: kind whose rows it looks at one by one, if any.
    :param reads: kinds it looks at besides.
    :returns: the decorator.
    """

    def register(check):
        RULES.append(Rule(name, subject, frozenset(reads), check))
        return check

    return register
