"""Validation of documents: fast for valid ones, complete for others."""

from buckthorntack.schema import _documents
from buckthorntack.schema import _quick


def validate_document(name, definition, document, limit=None):
    """Validate a document and report all violations together.

    :param name: family of the document, such as ``objects``.
    :param definition: kind of document, such as ``Organisation``.
    :param document: the parsed JSON.
    :param limit: maximum number of violations to list, or ``None``.
    :returns: list of :class:`DocumentFinding`, empty if it is valid.

    >>> validate_document("objects", "Region", {"name": "fukuoka"})
    []
    """
    if _quick.is_sound(name, definition, document):
        return []
    return _documents.list_faults(name, definition, document, limit)
