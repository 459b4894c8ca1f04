"""The quarantine's and limiter's messages as items spread to all entry VMs."""

import functools

from buckthorntack import schema
from buckthorntack.schema import messages

#: Start of the kind of these items; the message's name follows.
KIND = "retries."
#: Room for the count in the version of ``FailedAttempts``.
MOST_COUNT = 1000


@functools.singledispatch
def item_key(message) -> str:
    """Key of the item that carries a message.

    :param message: a message of the quarantine or of the limiter.
    :returns: the key.
    """
    raise TypeError(f"not spread as an item: {message!r}")


@item_key.register
def _(message: messages.CrashEvidence):
    crash = f"{message.server_id}/{message.incarnation}"
    return f"crash/{message.fingerprint}/{crash}"


@item_key.register
def _(message: messages.Acquittal):
    crash = f"{message.server_id}/{message.incarnation}"
    return f"acquittal/{message.fingerprint}/{crash}"


@item_key.register
def _(message: messages.Conviction):
    return f"conviction/{message.fingerprint}"


@item_key.register
def _(message: messages.SuspectClaim):
    return f"claim/{message.subject}/{message.node_id}"


@item_key.register
def _(message: messages.FailedAttempts):
    return f"attempts/{message.fingerprint}/{message.node_id}"


@functools.singledispatch
def _version(message):
    return 1


@_version.register
def _(message: messages.SuspectClaim):
    return message.sequence


@_version.register
def _(message: messages.FailedAttempts):
    return message.window * MOST_COUNT + min(message.count, MOST_COUNT - 1)


def pack(message, ttl_ms: int) -> messages.Item:
    """Make the item that carries a message.

    :param message: a message of the quarantine or of the limiter.
    :param ttl_ms: its time to live.
    :returns: the item.
    """
    name, payload = schema.encode(message)
    kind = KIND + name.decode()
    return messages.Item(
        kind, item_key(message), payload, _version(message), ttl_ms
    )


def unpack(item: messages.Item):
    """Read the message that an item carries.

    :param item: the item.
    :returns: the message, or None if the item is of another kind.
    """
    if not item.kind.startswith(KIND):
        return None
    name = item.kind.removeprefix(KIND).encode()
    return schema.decode(name, item.value)
