"""Ranges of what other entry VMs report of servers.

One number that is infinite, or none, would end each choice of a server.
"""

import math
from typing import NamedTuple

#: Highest start in milliseconds and version.
MAX_COUNT = 1 << 52
#: Most requests or tokens at one server; sums of many fit a message.
MAX_USAGE = 1 << 40
MAX_PER_S = 1e12
MAX_ADMITTED = 1e15
MAX_WEIGHT = 1e9
#: Highest logarithm of a slowdown.
MAX_LEVEL = 64.0
#: Longest warm-up, as of records of servers.
MAX_COLD_MS = 86_400_000


class UnsoundStatement(NamedTuple):
    """A part of a report that is set aside."""

    #: Id of its server, or name of its organisation.
    subject: str
    content: str


def set_aside_unsound(report):
    """Separate the parts of a report that are out of range.

    :param report: ``UseReport`` or ``RegionLoad``.
    :returns: the report without them, and a list of
        :class:`UnsoundStatement`.
    """
    unsound = []
    for field, is_sound in _CHECKS.items():
        parts = getattr(report, field, ())
        if all(map(is_sound, parts)):
            continue
        unsound += [
            UnsoundStatement(part[0], repr(part))
            for part in parts
            if not is_sound(part)
        ]
        kept = [part for part in parts if is_sound(part)]
        report = report._replace(**{field: kept})
    return report, unsound


def _is_sound_use(use):
    _, running, waiting, waiting_tokens, held_tokens = use
    return (
        -MAX_USAGE <= running <= MAX_USAGE
        and -MAX_USAGE <= waiting <= MAX_USAGE
        and -MAX_USAGE <= waiting_tokens <= MAX_USAGE
        and -MAX_USAGE <= held_tokens <= MAX_USAGE
    )


def _is_sound_read(part):
    return 0 <= part.tokens <= MAX_USAGE


def _is_sound_prompt(part):
    return len(part.parts) == len(part.tokens) and all(
        0 <= tokens <= MAX_USAGE for tokens in part.tokens
    )


def _is_sound_limit(part):
    return (
        0 <= part.born_ms <= MAX_COUNT
        and 0 <= part.version <= MAX_COUNT
        and 0 <= part.per_s <= MAX_PER_S
        and 0 <= part.rejections_per_s <= MAX_PER_S
        and 0 <= part.rejections <= MAX_COUNT
    )


def _is_sound_organisation(part):
    return (
        math.fabs(part.admitted) <= MAX_ADMITTED
        and math.fabs(part.requested) <= MAX_ADMITTED
    )


def _is_sound_speed(part):
    return (
        0 <= part.born_ms <= MAX_COUNT
        and 0 <= part.count <= MAX_WEIGHT
        and 0 <= part.read_count <= MAX_WEIGHT
        and math.fabs(part.ratio_sum) <= MAX_LEVEL * part.count
        and math.fabs(part.read_ratio_sum) <= MAX_LEVEL * part.read_count
    )


def _is_sound_restart(part):
    return (
        0 <= part.version <= MAX_COUNT
        and 0 <= part.cold_left_ms <= MAX_COLD_MS
    )


#: Checks of the parts of a report, by field.
_CHECKS = {
    "uses": _is_sound_use,
    "servers": _is_sound_use,
    "prompts": _is_sound_prompt,
    "reads": _is_sound_read,
    "limits": _is_sound_limit,
    "organisations": _is_sound_organisation,
    "speeds": _is_sound_speed,
    "known_speeds": _is_sound_speed,
    "restarts": _is_sound_restart,
}
