"""Defaults of settings, filled in from the schema."""

import copy

from buckthorntack import schema


def with_defaults(document, definition="Settings"):
    """Settings with the schema's defaults for what is absent.

    :param document: settings, whole or a part; stays as it is.
    :param definition: name of the part in the schema.
    :returns: a new dictionary.

    >>> with_defaults({"listen_address": "127.0.0.1:1"}, "LinkSettings")
    {'listen_address': '127.0.0.1:1', 'queue_messages': 10000}
    """
    definitions = schema.document_schema("settings")["$defs"]
    filled = dict(document)
    for field, field_schema in definitions[definition]["properties"].items():
        if "default" in field_schema:
            filled.setdefault(field, copy.copy(field_schema["default"]))
        reference = field_schema.get("$ref", "").rpartition("/")[2]
        if not reference:
            continue
        if not definitions[reference].get("required"):
            filled.setdefault(field, {})
        if isinstance(filled.get(field), dict):
            filled[field] = with_defaults(filled[field], reference)
    return filled


def default_timing(**changed):
    """Timing settings with defaults.

    :param changed: fields that differ from the defaults.

    >>> default_timing(heartbeat_ms=20)["heartbeat_ms"]
    20
    """
    return with_defaults(changed, "TimingSettings")


def default_limits(**changed):
    """Limits with defaults.

    :param changed: fields that differ from the defaults.
    """
    return with_defaults(changed, "LimitSettings")


def default_log(**changed):
    """Log settings with defaults.

    :param changed: fields that differ from the defaults.
    """
    return with_defaults(changed, "LogSettings")
