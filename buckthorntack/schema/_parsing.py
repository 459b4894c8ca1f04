"""Parsing of JSON with comments."""

import json


class _DuplicateFieldError(ValueError):
    """A JSON object names a field twice."""


def _fields(pairs):
    fields = dict(pairs)
    if len(fields) == len(pairs):
        return fields
    names = [name for name, _ in pairs]
    twice = sorted({name for name in names if names.count(name) > 1})
    raise _DuplicateFieldError(f"field {', '.join(twice)} is given twice")


def parse_json(text):
    """Parse JSON with comments.

    Text without comments takes a much faster parser.

    :param text: the text.
    :returns: the parsed value.
    :raises ValueError: it is not JSON, nests too deeply, has half of a
        surrogate pair, or an object names a field twice.

    >>> parse_json('{"a": 1}  // one')
    {'a': 1}
    """
    try:
        parsed = _parse(text)
        _check_characters(text, parsed)
    except RecursionError:
        raise ValueError("it nests too deeply") from None
    return parsed


def _check_characters(text, parsed):
    """Refuse strings that cannot be encoded; an escape can hide them."""
    if "\\u" not in text:
        return
    try:
        json.dumps(parsed, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        raise ValueError("it has half of a surrogate pair") from None


def _parse(text):
    try:
        return json.loads(text, object_pairs_hook=_fields)
    except json.JSONDecodeError:
        import json5  # slow, and needed only for comments

        return json5.loads(text, object_pairs_hook=_fields)
