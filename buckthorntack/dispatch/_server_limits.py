"""Limits that backend servers name for the requests of all entry VMs."""

import math
from typing import NamedTuple

from buckthorntack.schema import messages

#: Time for which a brittle server that rejected a request gets none.
REJECTION_HOLD_S = 1.0


class StatedLimit(NamedTuple):
    """What a server said last of the requests that it takes."""

    server_id: str
    #: Incarnation of the server that said it.
    born_ms: int
    #: Grows with each change that an entry VM sees in an answer.
    version: int
    #: Requests per second of all entry VMs together; None for no limit.
    per_s: float | None
    #: Rejections per second that it bears; None if it is not brittle.
    rejections_per_s: float | None = None
    #: Grows with each rejection while it is brittle.
    rejections: int = 0


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
        #: Time at which this entry VM learnt of the last rejection.
        self._rejected_s = {}
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

    def is_brittle(self, server_id):
        """Whether a server falls over if it has to reject requests.

        It is as far as is known after a restart, until it says otherwise.

        :param server_id: the server.
        """
        return self.rejections_per_s(server_id) is not None

    def rejections_per_s(self, server_id):
        """Rejections per second that a server bears; None for any number.

        :param server_id: the server.
        """
        stated = self._stated.get(server_id)
        return None if stated is None else stated.rejections_per_s

    def is_held(self, server_id, now_s):
        """Whether a brittle server rejected a request lately.

        :param server_id: the server.
        :param now_s: monotonic time.
        """
        rejected_s = self._rejected_s.get(server_id)
        return rejected_s is not None and now_s - rejected_s < REJECTION_HOLD_S

    def on_rejection(self, server_id, now_s):
        """Record that a server rejected a request for want of room.

        :param server_id: the server.
        :param now_s: monotonic time.
        :returns: whether other entry VMs must know.
        """
        known = self._stated.get(server_id)
        if known is None or known.rejections_per_s is None:
            return False
        stated = known._replace(
            version=known.version + 1, rejections=known.rejections + 1
        )
        self._store(stated, now_s)
        return True

    def on_answer(
        self, server_id, born_ms, per_s, sent_s, now_s, rejections_per_s=None
    ):
        """Record what an answer of a server says.

        An answer without a limit ends one, unless its request was sent before
        the limit was known here: the server may have begun it earlier.  The
        same holds for an answer that does not say that the server is brittle.

        :param server_id: the server.
        :param born_ms: its incarnation.
        :param per_s: limit that the answer names; None for none.
        :param sent_s: monotonic time at which the request was sent.
        :param now_s: monotonic time.
        :param rejections_per_s: rejections per second that it says it bears;
            None if it does not say that it is brittle.
        :returns: whether the limit changed.
        """
        known = self._stated.get(server_id)
        if known is not None and known.born_ms > born_ms:
            return False
        if known is None:
            known = StatedLimit(server_id, born_ms, 0, None)
        elif known.born_ms < born_ms:
            known = known._replace(born_ms=born_ms, version=0, per_s=None)
        if sent_s <= self._learnt_s.get(server_id, sent_s - 1.0):
            per_s = known.per_s if per_s is None else per_s
            if rejections_per_s is None:
                rejections_per_s = known.rejections_per_s
        stated = known._replace(
            version=known.version + 1,
            per_s=per_s,
            rejections_per_s=rejections_per_s,
        )
        if stated._replace(version=known.version) == known:
            return False
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
            stated = StatedLimit(
                message.server_id,
                message.born_ms,
                message.version,
                message.per_s if message.is_named else None,
                message.rejections_per_s if message.is_brittle else None,
                message.rejections,
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
                stated.rejections_per_s is not None,
                stated.rejections_per_s or 0.0,
                stated.rejections,
            )
            for stated in self._stated.values()
        ]

    def remove_server(self, server_id):
        """Delete what a server said that has gone.

        :param server_id: the server.
        """
        self._stated.pop(server_id, None)
        self._learnt_s.pop(server_id, None)
        self._rejected_s.pop(server_id, None)

    def take_changes(self):
        """Return and clear the statements that were new since the last call.

        :returns: list of :class:`StatedLimit`.
        """
        changes, self._changes = self._changes, []
        return changes

    def _store(self, stated, now_s):
        known = self._stated.get(stated.server_id)
        known_rejections = known.rejections if known is not None else 0
        if stated.rejections > known_rejections:
            self._rejected_s[stated.server_id] = now_s
        self._stated[stated.server_id] = stated
        self._learnt_s[stated.server_id] = now_s
        self._changes.append(stated)


def _order(stated):
    """Sort key of the statements on one server; the highest holds."""
    limit = math.inf if stated.per_s is None else stated.per_s
    return (stated.born_ms, stated.version, -limit)
