"""Default values of settings, taken from the schema."""

import copy

from buckthorntack import schema


def with_defaults(document, definition="Settings"):
    """Return settings with the schema's defaults for absent fields.

    :param document: all settings or one section; it is not modified.
    :param definition: name of the section in the schema.
    :returns: a new dictionary.

    >>> with_defaults({"listen_address": "127.0.0.1:1"}, "LinkSettings")
    {'listen_address': '127.0.0.1:1', 'queue_messages': 10000}
    """
    definitions = schema.document_schema("settings")["$defs"]
    completed = dict(document)
    for field, field_schema in definitions[definition]["properties"].items():
        if "default" in field_schema:
            completed.setdefault(field, copy.copy(field_schema["default"]))
        reference = field_schema.get("$ref", "").rpartition("/")[2]
        if not reference:
            continue
        if not definitions[reference].get("required"):
            completed.setdefault(field, {})
        if isinstance(completed.get(field), dict):
            completed[field] = with_defaults(completed[field], reference)
    return completed


def default_timing(**changed):
    """Return timing settings with defaults.

    :param changed: fields that differ from the defaults.

    >>> default_timing(heartbeat_ms=20)["heartbeat_ms"]
    20
    """
    return with_defaults(changed, "TimingSettings")


def default_limits(**changed):
    """Return limits with defaults.

    :param changed: fields that differ from the defaults.
    """
    return with_defaults(changed, "LimitSettings")


def default_log(**changed):
    """Return log settings with defaults.

    :param changed: fields that differ from the defaults.
    """
    return with_defaults(changed, "LogSettings")
