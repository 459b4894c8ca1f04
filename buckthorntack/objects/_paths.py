"""Check of request paths."""

import urllib.parse

#: Percent-encoded dot, slash and backslash.
_ENCODED_PATH_CHARACTERS = ("%2e", "%2f", "%5c")


def is_unambiguous(path):
    """Return whether all servers resolve a path to the same resource.

    A path with empty, ``.`` or ``..`` segments or with percent-encoded dots
    or separators may reach a call that the gateway did not match.

    :param path: path of a request, before percent-decoding.

    >>> is_unambiguous("/records/2026%20a")
    True
    >>> is_unambiguous("/records/%2e%2e/entries")
    False
    """
    decoded = urllib.parse.unquote(path) if "%" in path else path
    if "\\" in decoded or not decoded.isprintable():
        return False
    if any(
        encoded in path.lower() + decoded.lower()
        for encoded in _ENCODED_PATH_CHARACTERS
    ):
        return False
    inner, last = decoded.split("/")[1:-1], decoded.rpartition("/")[2]
    return not ({"", ".", ".."} & set(inner)) and last not in (".", "..")
