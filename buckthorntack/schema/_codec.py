"""Codec of the messages between our own processes."""

import functools

import msgspec

from buckthorntack.schema import messages


class MalformedMessageError(Exception):
    """Bytes that are no message of this version's schema."""


class _Codec:
    """Type, name on the wire and decoder of one kind of message."""

    def __init__(self, message_type):
        self.message_type = message_type
        self.name = message_type.__name__.encode()
        self.decoder = msgspec.msgpack.Decoder(message_type)


_ENCODER = msgspec.msgpack.Encoder()


@functools.cache
def _codecs():
    codecs = [_Codec(getattr(messages, name)) for name in messages.__all__]
    return {codec.name: codec for codec in codecs}


def message_types():
    """All kinds of message, by name."""
    return {
        name.decode(): codec.message_type for name, codec in _codecs().items()
    }


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

    :param name: its name on the wire.
    :param payload: its payload.
    :returns: the message.
    :raises MalformedMessageError: unknown name or wrong payload.
    """
    codec = _codecs().get(bytes(name))
    if codec is None:
        raise MalformedMessageError(
            f"unknown message {bytes(name)[:64]!r}; "
            "upgrade this node or look for a foreign sender"
        )
    try:
        return codec.decoder.decode(payload)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise MalformedMessageError(
            f"{codec.message_type.__name__}: {error}; "
            "look for a sender of another version"
        ) from error


_NAME_END = b"\0"


def pack(message):
    """Encode a message as one byte string, for logs and files.

    :param message: a ``NamedTuple`` of the schema.
    :returns: its name and its payload, joined.

    >>> from buckthorntack.schema import messages
    >>> unpack(pack(messages.Ping(sent_at_ms=5)))
    Ping(sent_at_ms=5)
    """
    return _NAME_END.join(encode(message))


def unpack(packed):
    """Decode what :func:`pack` gave.

    :param packed: the bytes.
    :returns: the message.
    :raises MalformedMessageError: unknown name or wrong payload.
    """
    name, _, payload = packed.partition(_NAME_END)
    return decode(name, payload)
