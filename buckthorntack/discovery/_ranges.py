"""Ranges of what other nodes tell of servers and nodes.

Control VMs of earlier builds pass on what servers announced unchecked.  A
record out of range could not be merged, passed on or connected to.
"""

import functools
import ipaddress
from typing import NamedTuple

from buckthorntack.discovery import _registry

MAX_NAME_LENGTH = 256
#: Highest start in milliseconds, sequence and version; registries mark nodes
#: that are gone with it.
MAX_COUNT = _registry.LAST_SEQUENCE
#: Requests that a server runs at once.
MAX_SLOTS = 1_000_000
#: Longest warm-up and longest notice of a server that is reclaimed.
MAX_REMAINING_MS = 86_400_000
#: Highest capacity of a node, relative to a nominal VM.
MAX_CAPACITY = 1e6
_MAX_PORT = 65_535
_PORT_DIGITS = 5


class UnsoundRecord(NamedTuple):
    """A record that is set aside."""

    record_id: str
    #: Name of a field that is out of range, and its value.
    fault: str


def set_aside_unsound(changes):
    """Separate the records of changes that are out of range.

    :param changes: ``RegistryChanges``.
    :returns: the changes without them, and a list of
        :class:`UnsoundRecord`.
    """
    servers, unsound_servers = _separate(changes.servers, _SERVER_CHECKS)
    nodes, unsound_nodes = _separate(changes.nodes, _NODE_CHECKS)
    unsound = unsound_servers + unsound_nodes
    if not unsound:
        return changes, unsound
    return changes._replace(servers=servers, nodes=nodes), unsound


def find_node_fault(record):
    """Find a field of a node's record that is out of range.

    :param record: ``NodePresence``.
    :returns: the field and its value; None if there is none.
    """
    return _find_fault(record, _NODE_CHECKS)


def is_incarnation(number):
    """Return whether a node may have an incarnation.

    :param number: the incarnation.
    """
    return 0 <= number <= MAX_COUNT


def _separate(records, checks):
    """Separate records, whose first field is their id."""
    sound, unsound = [], []
    for record in records:
        fault = _find_fault(record, checks)
        if fault is None:
            sound.append(record)
        else:
            unsound.append(UnsoundRecord(record[0], fault))
    return sound, unsound


def _find_fault(record, checks):
    for field, is_sound in checks.items():
        value = getattr(record, field)
        if not is_sound(value):
            return f"{field} {value!r}"
    return None


def is_record_id(text):
    """Return whether a text may be the id of a server or node.

    Ids are sent in header fields.

    :param text: the text.
    """
    return (
        0 < len(text) <= MAX_NAME_LENGTH
        and text.isascii()
        and text.isprintable()
    )


@functools.lru_cache(maxsize=4096)
def is_address(text):
    """Return whether connections can be opened to an address.

    :param text: the address.

    >>> is_address("10.0.0.1:80"), is_address("10.0.0.1:99999")
    (True, False)
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= _PORT_DIGITS):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) <= _MAX_PORT


def _range(lowest, highest):
    """Return the check of a number."""
    return lambda number: lowest <= number <= highest


_is_count = _range(0, MAX_COUNT)
_SERVER_CHECKS = {
    "server_id": is_record_id,
    "born_ms": _is_count,
    "sequence": _is_count,
    "address": is_address,
    "slots": _range(1, MAX_SLOTS),
    "cold_left_ms": _range(0, MAX_REMAINING_MS),
    "reclaim_left_ms": _range(-1, MAX_REMAINING_MS),
}
_NODE_CHECKS = {
    "node_id": is_record_id,
    "incarnation": is_incarnation,
    "sequence": _is_count,
    "link_address": is_address,
    "service_address": is_address,
    "capacity": _range(0, MAX_CAPACITY),
    "means": _range(0, MAX_CAPACITY),
    "protocol_version": _is_count,
}
