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
    unsound = []
    servers = []
    for record in changes.servers:
        fault = find_server_fault(record)
        if fault is None:
            servers.append(record)
        else:
            unsound.append(UnsoundRecord(_shorten(record.server_id), fault))
    nodes = []
    for record in changes.nodes:
        fault = find_node_fault(record)
        if fault is None:
            nodes.append(record)
        else:
            unsound.append(UnsoundRecord(_shorten(record.node_id), fault))
    if not unsound:
        return changes, unsound
    return changes._replace(servers=servers, nodes=nodes), unsound


def find_server_fault(record):
    """Find a field of a server's record that is out of range.

    :param record: ``AnnouncedServer``.
    :returns: the field and its value; None if there is none.
    """
    checks = (
        ("server_id", is_record_id(record.server_id)),
        ("born_ms", 0 <= record.born_ms <= MAX_COUNT),
        ("sequence", 0 <= record.sequence <= MAX_COUNT),
        ("address", is_address(record.address)),
        ("slots", 1 <= record.slots <= MAX_SLOTS),
        ("cold_left_ms", 0 <= record.cold_left_ms <= MAX_REMAINING_MS),
        ("reclaim_left_ms", -1 <= record.reclaim_left_ms <= MAX_REMAINING_MS),
    )
    return _first_fault(record, checks)


def find_node_fault(record):
    """Find a field of a node's record that is out of range.

    :param record: ``NodePresence``.
    :returns: the field and its value; None if there is none.
    """
    checks = (
        ("node_id", is_record_id(record.node_id)),
        ("incarnation", is_incarnation(record.incarnation)),
        ("sequence", 0 <= record.sequence <= MAX_COUNT),
        ("link_address", is_address(record.link_address)),
        ("service_address", is_address(record.service_address)),
        ("capacity", 0 <= record.capacity <= MAX_CAPACITY),
        ("means", 0 <= record.means <= MAX_CAPACITY),
        ("protocol_version", 0 <= record.protocol_version <= MAX_COUNT),
    )
    return _first_fault(record, checks)


def is_incarnation(number):
    """Return whether a node may have an incarnation.

    :param number: the incarnation.
    """
    return 0 <= number <= MAX_COUNT


def _first_fault(record, checks):
    for field, is_sound in checks:
        if not is_sound:
            return _shorten(f"{field} {getattr(record, field)!r}")
    return None


def _shorten(text):
    return text[:MAX_NAME_LENGTH]


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
