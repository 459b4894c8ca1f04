"""Log output as the settings ask for it."""

import collections
import contextlib
import json
import os
import sys

import logbook
import msgspec

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
    "{record.channel}: {record.message}"
)


def format_json(record, handler):
    """One log line as a JSON object.

    :param record: the log record.
    :param handler: unused.
    """
    return json.dumps(_document(record), default=str)


def _document(record):
    document = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "component": record.channel,
        **record.extra,
    }
    if "event" not in document:
        document["message"] = record.message
    return document


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


#: Bytes of log lines that wait for a reader of standard output.
MOST_WAITING_BYTES = 1_000_000


class PipeHandler(logbook.Handler):
    """Writes log lines to a descriptor without ever waiting for its reader.

    Lines that find the buffer full are left out; their number is told by the
    next line that fits.

    :param descriptor: where to write; it is made non-blocking.
    :param level: lowest level that is written.
    :param most_bytes: bytes of lines that may wait.
    """

    def __init__(
        self,
        descriptor,
        level=logbook.INFO,
        most_bytes=MOST_WAITING_BYTES,
    ):
        super().__init__(level=level)
        self.descriptor = descriptor
        self.most_bytes = most_bytes
        self.left_out = 0
        self.formatter = format_json
        self._waiting = collections.deque()
        self._waiting_bytes = 0
        self._encode = msgspec.json.Encoder(enc_hook=str).encode
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Write one line, or keep it until the reader takes it.

        :param record: the log record.
        """
        line = self._encode(_document(record)) + b"\n"
        if self._waiting_bytes + len(line) > self.most_bytes:
            self.left_out += 1
            self._write()
            return
        if self.left_out:
            line = b'{"left_out_lines":%d}\n' % self.left_out + line
            self.left_out = 0
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        self._write()

    def _write(self):
        while self._waiting:
            data = b"".join(self._waiting)
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; there is nobody to tell.
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            self._waiting.clear()
            if written < len(data):
                self._waiting.append(data[written:])


@contextlib.contextmanager
def standard_output(level=logbook.INFO):
    """Write log lines to standard output while the context lasts.

    :param level: lowest level that is written.
    """
    handler = PipeHandler(sys.stdout.fileno(), level)
    with handler.applicationbound():
        yield handler
