"""Paths of calls, as callers send them."""

import urllib.parse

_HIDDEN = ("%2e", "%2f", "%5c")


def is_plain(path):
    """Whether all servers understand a path in the same way.

    A path with empty, ``.`` or ``..`` parts, or with hidden separators, may
    reach another call than the one that it seems to name.

    :param path: path of a request, still percent-encoded.

    >>> is_plain("/records/2026%20a")
    True
    >>> is_plain("/records/%2e%2e/entries")
    False
    """
    decoded = urllib.parse.unquote(path) if "%" in path else path
    if "\\" in decoded or not decoded.isprintable():
        return False
    if any(hidden in path.lower() + decoded.lower() for hidden in _HIDDEN):
        return False
    inner, last = decoded.split("/")[1:-1], decoded.rpartition("/")[2]
    return not ({"", ".", ".."} & set(inner)) and last not in (".", "..")
