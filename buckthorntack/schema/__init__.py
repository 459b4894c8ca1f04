"""Schemas of messages and documents, their generated types and codecs."""

from buckthorntack.schema._codec import decode
from buckthorntack.schema._codec import decode_exactly
from buckthorntack.schema._codec import encode
from buckthorntack.schema._codec import MalformedMessageError
from buckthorntack.schema._codec import message_types
from buckthorntack.schema._codec import pack
from buckthorntack.schema._codec import split
from buckthorntack.schema._codec import UnknownMessageError
from buckthorntack.schema._codec import unpack
from buckthorntack.schema._documents import describe_field
from buckthorntack.schema._documents import document_schema
from buckthorntack.schema._documents import DocumentFinding
from buckthorntack.schema._parsing import parse_json
from buckthorntack.schema._quick import is_sound
from buckthorntack.schema._validation import validate_document

__all__ = [
    "DocumentFinding",
    "MalformedMessageError",
    "UnknownMessageError",
    "decode",
    "decode_exactly",
    "describe_field",
    "document_schema",
    "encode",
    "is_sound",
    "message_types",
    "parse_json",
    "pack",
    "split",
    "unpack",
    "validate_document",
]
