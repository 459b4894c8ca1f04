"""Compression of configurations and of many changes of a registry."""

import zlib

from buckthorntack import schema
from buckthorntack.gateway import _events
from buckthorntack.schema import messages

#: Protocol version from which nodes read packed changes.
PACKED_VERSION = 1
#: Maximum size of what is decompressed.
MAX_CONTENT_BYTES = 64 * 1024 * 1024
#: Records from which packing is worth its time.
MIN_PACKED_RECORDS = 16
#: Errors of :func:`decompress_content`.
DECOMPRESS_ERRORS = (ValueError, zlib.error)
_CHANGES = messages.RegistryChanges.__name__.encode()


def pack(changes):
    """Compress changes if they are many.

    :param changes: ``RegistryChanges``.
    :returns: ``PackedChanges``, or the changes themselves.
    """
    if len(changes.servers) + len(changes.nodes) < MIN_PACKED_RECORDS:
        return changes
    _, payload = schema.encode(changes)
    return messages.PackedChanges(zlib.compress(payload, 1))


def unpack(packed):
    """Decompress changes.

    :param packed: ``PackedChanges``.
    :returns: ``RegistryChanges``.
    :raises MalformedMessageError: the content is malformed.
    """
    try:
        payload = decompress_content(packed.content)
    except DECOMPRESS_ERRORS as error:
        raise schema.MalformedMessageError(
            f"PackedChanges: {error}"
        ) from error
    return schema.decode(_CHANGES, payload)


def unpack_logged(packed, sender, log):
    """Decompress changes; log those that are malformed.

    :param packed: ``PackedChanges``.
    :param sender: id of the node that sent them.
    :param log: the ``EventLog``.
    :returns: ``RegistryChanges``; None if they are malformed.
    """
    try:
        return unpack(packed)
    except schema.MalformedMessageError as error:
        log.write(_events.CHANGES_UNREADABLE, told_by=sender, error=str(error))
        return None


def compress_content(content):
    """Compress a configuration document.

    :param content: bytes of the document.
    :returns: compressed bytes.
    """
    return zlib.compress(content, 6)


def decompress_content(data):
    """Decompress a configuration document.

    :param data: bytes that :func:`compress_content` returned.
    :returns: bytes of the document.
    :raises ValueError: the document is larger than the maximum, or its end
        is missing.
    :raises zlib.error: the bytes are none that were compressed.
    """
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, MAX_CONTENT_BYTES)
    if not decompressor.eof:
        raise ValueError("the document is too large or cut short")
    return content
