"""Parsing of JSON with comments."""

import json


class _DuplicateFieldError(ValueError):
    """A JSON object contains a field twice."""


def _build_json_object(pairs):
    fields = dict(pairs)
    if len(fields) == len(pairs):
        return fields
    names = [name for name, _ in pairs]
    duplicates = sorted({name for name in names if names.count(name) > 1})
    raise _DuplicateFieldError(f"field {', '.join(duplicates)} occurs twice")


def parse_json(text):
    """Parse JSON with comments.

    Text without comments is parsed by the faster ``json`` module.

    :param text: the text.
    :returns: the parsed value.
    :raises ValueError: if it is not JSON, is nested too deeply, contains an
        unpaired surrogate, or an object contains a field twice.

    >>> parse_json('{"a": 1}  // one')
    {'a': 1}
    """
    try:
        parsed = _parse(text)
        _check_encodable(text, parsed)
    except RecursionError:
        raise ValueError("it is nested too deeply") from None
    return parsed


def _check_encodable(text, parsed):
    """Reject unpaired surrogates, which only escapes can introduce."""
    if "\\u" not in text:
        return
    try:
        json.dumps(parsed, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        raise ValueError("it contains an unpaired surrogate") from None


def _parse(text):
    try:
        return json.loads(text, object_pairs_hook=_build_json_object)
    except json.JSONDecodeError:
        import json5  # slow, only for text with comments

        return json5.loads(text, object_pairs_hook=_build_json_object)
