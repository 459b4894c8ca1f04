"""Numbered log events.

Each subject package declares its events in its ``_events`` module, from the
range of numbers listed in docs/design/architecture.md.
"""

from typing import Any
from typing import NamedTuple

import logbook

_REGISTRY: dict[int, "Event"] = {}


class Event(NamedTuple):
    """One kind of log line."""

    number: int
    name: str
    level: int
    meaning: str
    remedy: str


class DuplicateEventError(Exception):
    """Two events were declared under one number."""


def declare(number, name, level, meaning, remedy="none needed"):
    """Declare an event.

    :param number: its number, unique in the program.
    :param name: its name, in snake case.
    :param level: ``logbook`` level.
    :param meaning: one sentence for the catalogue.
    :param remedy: what an operator does about it.
    :returns: the event.
    :raises DuplicateEventError: the number is taken.
    """
    event = Event(number, name, level, meaning, remedy)
    known = _REGISTRY.setdefault(number, event)
    if known != event:
        raise DuplicateEventError(
            f"event {number} is {known.name}; choose another for {name}"
        )
    return event


def catalogue():
    """All declared events, by number."""
    return [_REGISTRY[number] for number in sorted(_REGISTRY)]


class EventLog:
    """Writes events to logbook, with fields as ``extra``.

    :param component: name of the part that logs.
    """

    def __init__(self, component):
        self.component = component
        self._logger = logbook.Logger(component)

    def write(self, event: Event, **fields: Any) -> None:
        """Write one line.

        :param event: what happened.
        :param fields: the particulars, by name.
        """
        if event.level < self._logger.level:
            return
        extra = {"event": event.number, "name": event.name, **fields}
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._logger.log(
            event.level,
            "[{0}] {1} {2}",
            event.number,
            event.name,
            text,
            extra=extra,
        )
