"""Check of documents: quick for sound ones, thorough for the others."""

from buckthorntack.schema import _documents
from buckthorntack.schema import _quick


def validate_document(name, definition, document, limit=None):
    """Check a document; all faults are told at once.

    :param name: family of the document, such as ``objects``.
    :param definition: kind of document, such as ``Organisation``.
    :param document: the parsed JSON.
    :param limit: most faults to tell, if not all.
    :returns: list of :class:`DocumentFinding`, empty if there is no fault.

    >>> validate_document("objects", "Region", {"name": "fukuoka"})
    []
    """
    if _quick.is_sound(name, definition, document):
        return []
    return _documents.list_faults(name, definition, document, limit)
