"""Finds the way of one request in the logs of several processes."""

import json
from typing import Any
from typing import NamedTuple

#: Fields that each line has, and which say nothing about the request.
_COMMON = ("time", "level", "component", "event", "name", "request")
#: Events that tell what an entry VM believed of a server.
_SERVER_BELIEFS = ("server_changed",)
_DIRECTIVES = "directives_taken"


class LogLine(NamedTuple):
    """One line of a process's log."""

    node: str
    time: str
    name: str
    fields: dict[str, Any]

    def text(self):
        """The line as it is shown."""
        fields = {
            key: value
            for key, value in self.fields.items()
            if key not in _COMMON and value not in ("", None)
        }
        told = " ".join(f"{key}={value}" for key, value in fields.items())
        return f"{self.time} {self.node} {self.name} {told}"


class Explanation(NamedTuple):
    """The way of a request, and what was believed when it was routed."""

    way: list[LogLine]
    beliefs: list[LogLine]


def read_lines(text, source):
    """Log lines in a text; what is no log line is passed over.

    What stands before the JSON object on a line, such as the name of a
    process, is taken as the node.

    :param text: the text.
    :param source: name of the node if a line names none.
    :returns: list of :class:`LogLine`.

    >>> [line] = read_lines('vm-1 {"time": "t", "name": "n"}', "file")
    >>> line.node, line.name
    ('vm-1', 'n')
    """
    lines = []
    for raw in text.splitlines():
        before, brace, rest = raw.partition("{")
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        if "time" in fields and "name" in fields:
            words = before.split()
            node = words[-1] if words else source
            name = fields["name"]
            lines.append(LogLine(node, fields["time"], name, fields))
    return lines


def explain(lines, request_id):
    """The way of a request and what decided it.

    :param lines: log lines of all processes.
    :param request_id: the request.
    :returns: :class:`Explanation`.
    """
    lines = sorted(lines, key=lambda line: line.time)
    way = [line for line in lines if line.fields.get("request") == request_id]
    beliefs = {}
    for step in way:
        if step.name != "request_routed":
            continue
        for line in lines:
            if line.node != step.node or line.time > step.time:
                continue
            if line.name == _DIRECTIVES:
                beliefs[step.node, _DIRECTIVES] = line
            elif line.name in _SERVER_BELIEFS and line.fields.get(
                "server"
            ) == step.fields.get("server_id"):
                beliefs[step.node, line.fields["server"]] = line
    found = sorted(beliefs.values(), key=lambda line: line.time)
    return Explanation(way, found)
