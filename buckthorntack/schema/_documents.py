"""Validation of external JSON documents against their schemas."""

import functools
import itertools
import json
import pathlib
import re
from typing import Any
from typing import NamedTuple

_FOLDER = pathlib.Path(__file__).parent / "documents"


class DocumentFinding(NamedTuple):
    """One schema violation of a document."""

    path: str
    message: str


@functools.cache
def document_schema(name: str) -> dict[str, Any]:
    """Return the schema of a family of documents.

    :param name: file name without the suffix, such as ``objects``.
    :returns: the parsed JSON schema.
    """
    return json.loads((_FOLDER / f"{name}.json").read_text())


@functools.cache
def _validator(name, definition):
    import jsonschema  # slow import, only for invalid documents

    schema = document_schema(name)
    reference = {"$ref": f"#/$defs/{definition}", "$defs": schema["$defs"]}
    return jsonschema.Draft202012Validator(reference)


def list_faults(name, definition, document, limit=None):
    """List the violations of a document with the full JSON validator.

    :param name: family of the document, such as ``objects``.
    :param definition: kind of document, such as ``Organisation``.
    :param document: the parsed JSON.
    :param limit: maximum number of violations to list, or ``None``.
    :returns: list of :class:`DocumentFinding`, empty if it is valid.

    >>> list_faults("objects", "Region", {"name": "fukuoka"})
    []
    """
    errors = _validator(name, definition).iter_errors(document)
    errors = itertools.islice(errors, limit)
    findings = [
        DocumentFinding(error.json_path, error.message) for error in errors
    ]
    return sorted(findings)


def describe_field(name: str, definition: str, path: str) -> str:
    """Describe the values that a field accepts, for a remedy.

    :param name: family of the document, such as ``settings``.
    :param definition: kind of document, such as ``Settings``.
    :param path: path of a finding, such as ``$.log.level``.
    :returns: a clause without a full stop.

    >>> describe_field("objects", "Priority", "$.weight")
    'weight must satisfy {"type": "number", "exclusiveMinimum": 0, \
"maximum": 1000000000000}'
    """
    node = document_schema(name)["$defs"][definition]
    field = definition
    for part in re.findall(r"[^.\[\]$]+", path):
        node = _resolve(name, node)
        inner = node.get("items") if part.isdigit() else None
        inner = inner or node.get("properties", {}).get(part)
        if inner is None:
            break
        node, field = inner, part
    node = _resolve(name, node)
    if "properties" in node:
        known = ", ".join(node["properties"])
        required = ", ".join(node.get("required", ())) or "none"
        return f"fields of {field} are {known}; required are {required}"
    rules = {k: v for k, v in node.items() if k != "description"}
    return f"{field} must satisfy {json.dumps(rules)}"


def _resolve(name, node):
    reference = node.get("$ref")
    if reference is None:
        return node
    return document_schema(name)["$defs"][reference.rpartition("/")[2]]
