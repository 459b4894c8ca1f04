"""Ranges of the values in messages between replicas."""

import math
from typing import NamedTuple

import msgspec

from buckthorntack.consensus import _configuration as configurations
from buckthorntack.schema import messages

#: Higher than any term, index, round or size.
MAX_NUMBER = 1 << 52
#: Index in the response to a read that its receiver can't confirm.
NO_READ_INDEX = -1


class _Range(NamedTuple):
    """Lowest and highest value of a field."""

    lowest: float
    highest: float


_NUMBER = _Range(0, MAX_NUMBER)
#: Ids that are drawn at random have no range.
_RANDOM_ID = _Range(-math.inf, math.inf)
#: Ranges of integers other than numbers from 0, by message and field.
_RANGES = {
    (messages.ReadRequest, "read_id"): _RANDOM_ID,
    (messages.ReadResponse, "read_id"): _RANDOM_ID,
    (messages.ReadResponse, "index"): _Range(NO_READ_INDEX, MAX_NUMBER),
}


def find_fault(message):
    """Find a value that is out of range, before the message changes a state.

    :param message: a message between replicas.
    :returns: the field and its value; None if there is none.
    """
    fault = _find_number(message)
    if fault is not None:
        return fault
    if isinstance(message, messages.AppendRequest):
        return _find_in_entries(message)
    if isinstance(message, messages.SnapshotChunk):
        return _find_in_configuration(message.configuration)
    return None


def _find_number(message):
    kind = type(message)
    for field, value in zip(message._fields, message, strict=True):
        if type(value) is not int:
            continue
        lowest, highest = _RANGES.get((kind, field), _NUMBER)
        if not lowest <= value <= highest:
            return f"{field} {value}"
    return None


def _find_in_entries(request):
    """Find an entry that cannot follow the previous one at this leader."""
    for index, entry in enumerate(request.entries, request.previous_index + 1):
        if entry.index != index:
            return f"index {entry.index} of an entry instead of {index}"
        if not 0 <= entry.term <= request.term:
            return f"term {entry.term} of an entry beyond {request.term}"
        if entry.kind == configurations.KIND_CONFIGURATION:
            fault = _find_in_configuration(entry.data)
            if fault is not None:
                return fault
    return None


def _find_in_configuration(data):
    try:
        configurations.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return f"configuration: {error!r}"
    return None
