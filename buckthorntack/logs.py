"""Log output as the settings ask for it."""

import contextlib
import json
import sys

import logbook

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
    "{record.channel}: {record.message}"
)


def format_json(record, handler):
    """One log line as a JSON object.

    :param record: the log record.
    :param handler: unused.
    """
    document = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "component": record.channel,
        **record.extra,
    }
    if "event" not in document:
        document["message"] = record.message
    return json.dumps(document, default=str)


@contextlib.contextmanager
def output(log_settings):
    """Write log lines while the context lasts.

    :param log_settings: the ``log`` part of the settings, with defaults.
    """
    level = logbook.lookup_level(log_settings["level"].upper())
    if "file" in log_settings:
        handler = logbook.FileHandler(log_settings["file"], level=level)
    else:
        handler = logbook.StreamHandler(sys.stderr, level=level)
    if log_settings["format"] == "json":
        handler.formatter = format_json
    else:
        handler.format_string = TEXT_FORMAT
    with handler.applicationbound():
        yield handler
