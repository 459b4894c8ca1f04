"""Validation of JSON documents from outside against their schemas."""

import functools
import json
import pathlib
from typing import Any
from typing import NamedTuple

_FOLDER = pathlib.Path(__file__).parent / "documents"


class DocumentFinding(NamedTuple):
    """One fault of a document."""

    path: str
    message: str


@functools.cache
def document_schema(name: str) -> dict[str, Any]:
    """Schema of a family of documents.

    :param name: file name without its ending, such as ``objects``.
    :returns: the parsed JSON schema.
    """
    return json.loads((_FOLDER / f"{name}.json").read_text())


@functools.cache
def _validator(name, definition):
    import jsonschema  # heavy, and needed only for faulty documents

    schema = document_schema(name)
    reference = {"$ref": f"#/$defs/{definition}", "$defs": schema["$defs"]}
    return jsonschema.Draft202012Validator(reference)


def validate_document(name, definition, document):
    """Check a document; all faults are told at once.

    :param name: family of the document, such as ``objects``.
    :param definition: kind of document, such as ``Organisation``.
    :param document: the parsed JSON.
    :returns: list of :class:`DocumentFinding`, empty if there is no fault.

    >>> validate_document("objects", "Region", {"name": "fukuoka"})
    []
    """
    errors = _validator(name, definition).iter_errors(document)
    findings = [
        DocumentFinding(error.json_path, error.message) for error in errors
    ]
    return sorted(findings)
