"""Gossip items that carry messages of the quarantine and the limiter."""

import functools

from buckthorntack import schema
from buckthorntack.schema import messages

#: Prefix of the kind of these items; the name of the message follows.
KIND_PREFIX = "retries."
#: Exclusive upper bound of the count in the version of ``FailedAttempts``.
COUNT_LIMIT = 1000


@functools.singledispatch
def item_key(message) -> str:
    """Compute the key of the item that carries a message.

    :param message: a message of the quarantine or of the limiter.
    :returns: the key.
    """
    raise TypeError(f"message has no gossip item: {message!r}")


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
    return message.window * COUNT_LIMIT + min(message.count, COUNT_LIMIT - 1)


def pack(message, ttl_ms: int) -> messages.Item:
    """Encode a message as an item.

    :param message: a message of the quarantine or of the limiter.
    :param ttl_ms: time to live of the item.
    :returns: the item.
    """
    name, payload = schema.encode(message)
    kind = KIND_PREFIX + name.decode()
    return messages.Item(
        kind, item_key(message), payload, _version(message), ttl_ms
    )


def unpack(item: messages.Item):
    """Decode the message that an item carries.

    :param item: the item.
    :returns: the message, or None if the item is of another kind.
    """
    if not item.kind.startswith(KIND_PREFIX):
        return None
    name = item.kind.removeprefix(KIND_PREFIX).encode()
    return schema.decode(name, item.value)
