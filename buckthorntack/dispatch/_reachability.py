"""Servers that this entry VM cannot open connections to."""

from typing import NamedTuple

#: Failed connects in a row, with none that succeeded between them, after which
#: a server counts as unreachable.
FAILED_CONNECTS = 2
#: Period of the probes of a server that connects fail to.
PROBE_PERIOD_S = 0.5
#: Probes of unreachable servers that are due at the same time.
MAX_PROBES = 4


class _Suspect(NamedTuple):
    """A server whose last connect failed."""

    failures: int
    probe_at_s: float


class Reachability:
    """Result of the connects to each server, by requests and by probes.

    Only a new connection shows that a server can be reached: connections may
    live on while new ones are refused.
    """

    def __init__(self):
        self._suspects = {}

    def is_unreachable(self, server_id):
        """Whether connects to a server fail.

        :param server_id: the server.
        """
        suspect = self._suspects.get(server_id)
        return suspect is not None and suspect.failures >= FAILED_CONNECTS

    def is_suspect(self, server_id):
        """Whether the last connect to a server failed.

        :param server_id: the server.
        """
        return server_id in self._suspects

    def list_unreachable(self):
        """List the ids of the servers that connects fail to."""
        return [name for name in self._suspects if self.is_unreachable(name)]

    @property
    def has_suspects(self):
        """Whether the last connect to any server failed."""
        return bool(self._suspects)

    def on_connected(self, server_id):
        """Record a new connection to a server.

        :param server_id: the server.
        :returns: whether it was unreachable.
        """
        was_unreachable = self.is_unreachable(server_id)
        if self._suspects.pop(server_id, None) is not None:
            # What ended for one server has probably ended for the others.
            for name, suspect in self._suspects.items():
                self._suspects[name] = suspect._replace(probe_at_s=0.0)
        return was_unreachable

    def on_connect_failed(self, server_id, now_s):
        """Record a connect to a server that failed.

        :param server_id: the server.
        :param now_s: monotonic time.
        :returns: whether it is unreachable from now on.
        """
        former = self._suspects.get(server_id)
        if former is None:
            self._suspects[server_id] = _Suspect(1, now_s)
            return False
        self._suspects[server_id] = former._replace(
            failures=former.failures + 1
        )
        return former.failures + 1 == FAILED_CONNECTS

    def take_due_probes(self, now_s):
        """Return servers to connect to now, and plan their next probes.

        :param now_s: monotonic time.
        :returns: list of server ids.
        """
        due = sorted(
            (suspect.probe_at_s, name)
            for name, suspect in self._suspects.items()
            if suspect.probe_at_s <= now_s
        )
        names = [name for _, name in due[:MAX_PROBES]]
        for name in names:
            self._suspects[name] = self._suspects[name]._replace(
                probe_at_s=now_s + PROBE_PERIOD_S
            )
        return names

    def remove_server(self, server_id):
        """Delete the state of a server that has gone or started again.

        :param server_id: the server.
        """
        self._suspects.pop(server_id, None)
