"""What fake backend servers ran, as they saw it themselves."""

import re
from typing import NamedTuple

_MARK = re.compile(rb"request-\d{6}\.")


class Run(NamedTuple):
    """One attempt that a backend server began to run."""

    mark: str
    attempt_id: str
    server_id: str
    region: str
    service: str


class RunRecords:
    """Collects the attempts of all fake backend servers, also ended ones."""

    def __init__(self):
        self.by_mark = {}
        self.by_attempt = {}
        self.fakes = {}

    def note(self, server, attempt_id, path, body):
        """Note an attempt that begins to run.

        :param server: the ``RunningServer``.
        :param attempt_id: id of the attempt.
        :param path: path of the request.
        :param body: its body.
        """
        found = _MARK.search(body) or _MARK.search(path.encode())
        mark = found.group().decode() if found else ""
        run = Run(
            mark, attempt_id, server.server_id, server.region, server.service
        )
        self.by_mark.setdefault(mark, []).append(run)
        self.by_attempt[attempt_id] = run
        self.fakes[id(server.fake)] = server
