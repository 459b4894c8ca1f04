"""Codec of the messages between nodes of the gateway."""

import functools

import msgspec

from buckthorntack.schema import _unknown_fields
from buckthorntack.schema import messages


class MalformedMessageError(Exception):
    """Bytes that do not match any message of this version's schema."""


class UnknownMessageError(MalformedMessageError):
    """A kind of message that this version does not know."""


#: Module of the messages of replicated groups. A replica that left out a field
#: would write another log than the others.
_EXACT_FAMILY = "buckthorntack.schema._generated.consensus"


class _Codec:
    """Type and decoder of one kind of message."""

    def __init__(self, message_type):
        self.message_type = message_type
        self.decoder = msgspec.msgpack.Decoder(message_type)

    @functools.cached_property
    def cut(self):
        """Function that cuts off fields that later versions have added.

        It is None for a kind that is never shortened.
        """
        if self.message_type.__module__ == _EXACT_FAMILY:
            return None
        return _unknown_fields.make_cutter(self.message_type)


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
    """Decode a message between nodes.

    Fields that a later version has added at the end of a message, or of a
    message in it, are left out, but for messages of replicated groups.

    :param name: its wire name.
    :param payload: its payload.
    :returns: the message.
    :raises UnknownMessageError: if the name is unknown.
    :raises MalformedMessageError: if the payload is malformed.

    >>> decode(b"Ping", b"\\x92\\x05\\xc0")
    Ping(sent_at_ms=5)
    """
    known_name = _NAMES.get(bytes(name))
    if known_name is None:
        raise _unknown(name)
    codec = _codec_of(known_name)
    try:
        return codec.decoder.decode(payload)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return _decode_newer(codec, payload, error)


def decode_exactly(name, payload):
    """Decode a message all of whose fields must be known.

    It is for what replicas apply: one that leaves out a field of a command
    would get another state than those that know it.

    :param name: its wire name.
    :param payload: its payload.
    :returns: the message.
    :raises UnknownMessageError: if the name is unknown.
    :raises MalformedMessageError: if the payload is malformed or has fields
        of a later version.
    """
    known_name = _NAMES.get(bytes(name))
    if known_name is None:
        raise _unknown(name)
    codec = _codec_of(known_name)
    try:
        return codec.decoder.decode(payload)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise _malformed(codec, error) from error


def _decode_newer(codec, payload, refusal):
    """Decode a message that may have fields of a later version.

    :param refusal: the error of the decoder of this version.
    """
    if codec.cut is None:
        raise _malformed(codec, refusal) from refusal
    try:
        content = codec.cut(msgspec.msgpack.decode(payload))
        return codec.decoder.decode(_ENCODER.encode(content))
    except (msgspec.DecodeError, ValueError, RecursionError):
        raise _malformed(codec, refusal) from refusal


def _unknown(name):
    return UnknownMessageError(
        f"unknown message {bytes(name)[:64]!r}; "
        "upgrade this node or check for senders that are not nodes"
    )


def _malformed(codec, error):
    return MalformedMessageError(
        f"{codec.message_type.__name__}: {error}; "
        "check for a sender of another version"
    )


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


def split(packed):
    """Split what :func:`pack` returned into name and payload.

    :param packed: the bytes.
    :returns: both, for :func:`decode`.
    """
    name, _, payload = packed.partition(_NAME_SEPARATOR)
    return name, payload


def unpack(packed):
    """Decode a byte string that :func:`pack` returned, from a log or file.

    :param packed: the bytes.
    :returns: the message.
    :raises MalformedMessageError: as :func:`decode_exactly`.
    """
    return decode_exactly(*split(packed))
