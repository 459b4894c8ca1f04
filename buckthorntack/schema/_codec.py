"""Codec of the messages between nodes of the gateway."""

import functools

import msgspec

from buckthorntack.schema import messages


class MalformedMessageError(Exception):
    """Bytes that do not match any message of this version's schema."""


class _Codec:
    """Type and decoder of one kind of message."""

    def __init__(self, message_type):
        self.message_type = message_type
        self.decoder = msgspec.msgpack.Decoder(message_type)


_ENCODER = msgspec.msgpack.Encoder()


#: Wire names of all messages.
_NAMES = {name.encode(): name for name in messages.__all__}


# Building all codecs at once would delay the first message of a process.
@functools.cache
def _codec_of(name):
    return _Codec(getattr(messages, name))


def message_types():
    """Return all message types by name."""
    return {name: getattr(messages, name) for name in messages.__all__}


def encode(message):
    """Encode a message.

    :param message: a ``NamedTuple`` of the schema.
    :returns: its name and its payload, as two frames.

    >>> from buckthorntack.schema import messages
    >>> encode(messages.Ping(sent_at_ms=5))
    (b'Ping', b'\\x91\\x05')
    """
    return type(message).__name__.encode(), _ENCODER.encode(message)


def decode(name, payload):
    """Decode a message.

    :param name: its wire name.
    :param payload: its payload.
    :returns: the message.
    :raises MalformedMessageError: if the name is unknown or the payload is
        malformed.
    """
    known_name = _NAMES.get(bytes(name))
    if known_name is None:
        raise MalformedMessageError(
            f"unknown message {bytes(name)[:64]!r}; "
            "upgrade this node or check for senders that are not nodes"
        )
    codec = _codec_of(known_name)
    try:
        return codec.decoder.decode(payload)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise MalformedMessageError(
            f"{codec.message_type.__name__}: {error}; "
            "check for a sender of another version"
        ) from error


_NAME_SEPARATOR = b"\0"


def pack(message):
    """Encode a message as one byte string, for logs and files.

    :param message: a ``NamedTuple`` of the schema.
    :returns: its name and its payload, joined.

    >>> from buckthorntack.schema import messages
    >>> unpack(pack(messages.Ping(sent_at_ms=5)))
    Ping(sent_at_ms=5)
    """
    return _NAME_SEPARATOR.join(encode(message))


def unpack(packed):
    """Decode a byte string that :func:`pack` returned.

    :param packed: the bytes.
    :returns: the message.
    :raises MalformedMessageError: if the name is unknown or the payload is
        malformed.
    """
    name, _, payload = packed.partition(_NAME_SEPARATOR)
    return decode(name, payload)
