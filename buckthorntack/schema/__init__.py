"""Schemas of messages and documents, their generated types and codecs."""

from buckthorntack.schema._codec import decode
from buckthorntack.schema._codec import encode
from buckthorntack.schema._codec import MalformedMessageError
from buckthorntack.schema._codec import message_types
from buckthorntack.schema._codec import pack
from buckthorntack.schema._codec import unpack
from buckthorntack.schema._documents import document_schema
from buckthorntack.schema._documents import DocumentFinding
from buckthorntack.schema._documents import validate_document

__all__ = [
    "DocumentFinding",
    "MalformedMessageError",
    "decode",
    "document_schema",
    "encode",
    "message_types",
    "pack",
    "unpack",
    "validate_document",
]
