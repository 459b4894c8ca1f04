"""Limits that backend servers name for the requests of all entry VMs."""

import math
from typing import NamedTuple

from buckthorntack.schema import messages


class StatedLimit(NamedTuple):
    """What a server said last of the requests that it takes."""

    server_id: str
    #: Incarnation of the server that said it.
    born_ms: int
    #: Grows with each change that an entry VM sees in an answer.
    version: int
    #: Requests per second of all entry VMs together; None for no limit.
    per_s: float | None


class ServerLimits:
    """Limits in force, from answers of servers to all entry VMs.

    :param is_known: function that returns whether a server id belongs to a
        server that has not gone; None for all.
    """

    def __init__(self, is_known=None):
        self._is_known = is_known or (lambda server_id: True)
        self._stated = {}
        #: Time at which this entry VM learnt of each statement.
        self._learnt_s = {}
        self._changes = []

    def per_s(self, server_id, born_ms):
        """Requests per second that a server takes; None for no limit.

        :param server_id: the server.
        :param born_ms: its present incarnation.
        """
        stated = self._stated.get(server_id)
        if stated is None or stated.born_ms != born_ms:
            return None
        return stated.per_s

    def on_answer(self, server_id, born_ms, per_s, sent_s, now_s):
        """Record what an answer of a server says.

        An answer without a limit ends one, unless its request was sent before
        the limit was known here: the server may have begun it earlier.

        :param server_id: the server.
        :param born_ms: its incarnation.
        :param per_s: limit that the answer names; None for none.
        :param sent_s: monotonic time at which the request was sent.
        :param now_s: monotonic time.
        :returns: whether the limit changed.
        """
        known = self._stated.get(server_id)
        if known is not None and known.born_ms > born_ms:
            return False
        if known is None or known.born_ms < born_ms:
            known = StatedLimit(server_id, born_ms, 0, None)
        if per_s == known.per_s:
            return False
        if per_s is None and sent_s <= self._learnt_s[server_id]:
            return False
        stated = StatedLimit(server_id, born_ms, known.version + 1, per_s)
        self._store(stated, now_s)
        return True

    def merge(self, statements, now_s):
        """Merge what other entry VMs know.

        The statement that more changes led to holds; of two, the lower limit.
        Statements on servers that have gone are passed over, as entry VMs
        would tell them to each other for ever.

        :param statements: list of ``ServerLimit``.
        :param now_s: monotonic time.
        :returns: whether any was new.
        """
        is_new = False
        for message in statements:
            if not self._is_known(message.server_id):
                continue
            per_s = message.per_s if message.is_named else None
            stated = StatedLimit(
                message.server_id, message.born_ms, message.version, per_s
            )
            known = self._stated.get(stated.server_id)
            if known is None or _order(stated) > _order(known):
                self._store(stated, now_s)
                is_new = True
        return is_new

    def list_statements(self):
        """List what servers said last.

        :returns: list of ``ServerLimit``.
        """
        return [
            messages.ServerLimit(
                stated.server_id,
                stated.born_ms,
                stated.version,
                stated.per_s is not None,
                stated.per_s or 0.0,
            )
            for stated in self._stated.values()
        ]

    def remove_server(self, server_id):
        """Delete what a server said that has gone.

        :param server_id: the server.
        """
        self._stated.pop(server_id, None)
        self._learnt_s.pop(server_id, None)

    def take_changes(self):
        """Return and clear the statements that were new since the last call.

        :returns: list of :class:`StatedLimit`.
        """
        changes, self._changes = self._changes, []
        return changes

    def _store(self, stated, now_s):
        self._stated[stated.server_id] = stated
        self._learnt_s[stated.server_id] = now_s
        self._changes.append(stated)


def _order(stated):
    """Sort key of the statements on one server; the highest holds."""
    limit = math.inf if stated.per_s is None else stated.per_s
    return (stated.born_ms, stated.version, -limit)
