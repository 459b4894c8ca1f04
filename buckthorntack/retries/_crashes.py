"""Detection of crashes of backend servers from lost connections."""

import datetime
from typing import NamedTuple

from buckthorntack import quarantine

#: Retention of a lost connection.
LOSS_RETENTION = datetime.timedelta(seconds=60)


class LostRequest(NamedTuple):
    """A request that ran on a server when the connection was lost."""

    fingerprint: str
    #: Prompt blocks that may have crashed the server.
    subjects: tuple[quarantine.Subject, ...]
    #: Monotonic times of the start and of the end of the connection.
    sent_at: datetime.timedelta
    lost_at: datetime.timedelta


class Crash(NamedTuple):
    """A crash of one incarnation of a backend server."""

    server_id: str
    incarnation: int
    #: Requests of this entry VM that were running there.
    requests: frozenset[LostRequest]


class _Loss:
    """Lost connections to one incarnation of a server."""

    __slots__ = ("closed", "incarnation", "lost_at", "requests")

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.requests = set()
        self.closed = False
        self.lost_at = datetime.timedelta()


class CrashDetector:
    """Failure detector that confirms crashes after lost connections.

    If the server closed the connection, a crash is confirmed once a new
    connection is refused, a new incarnation announces itself, or the lease
    expires without a withdrawal.  If the connection went silent, only a new
    incarnation confirms a crash, as a network partition looks the same.
    """

    def __init__(self):
        self._losses = {}

    def on_connection_lost(
        self,
        server_id: str,
        incarnation: int,
        request: LostRequest,
        closed: bool,
        now: datetime.timedelta,
    ) -> None:
        """Record a connection that was lost during a request.

        :param server_id: the server.
        :param incarnation: incarnation of the server when the request was
            sent.
        :param request: the request.
        :param closed: whether the server closed or reset the connection.
        :param now: current monotonic time.
        """
        loss = self._losses.get(server_id)
        if loss is None or loss.incarnation < incarnation:
            loss = self._losses[server_id] = _Loss(incarnation)
        if loss.incarnation == incarnation:
            loss.requests.add(request)
            loss.closed = loss.closed or closed
            loss.lost_at = now

    def on_connect_refused(
        self, server_id: str, now: datetime.timedelta
    ) -> Crash | None:
        """Handle a new connection that the server refused.

        :param server_id: the server.
        :param now: current monotonic time.
        :returns: the crash that is confirmed by this, or None.
        """
        return self._confirm_crash(server_id, now, must_be_closed=True)

    def on_lease_expired(
        self, server_id: str, now: datetime.timedelta
    ) -> Crash | None:
        """Handle a lease that expired without a withdrawal.

        :param server_id: the server.
        :param now: current monotonic time.
        :returns: the crash that is confirmed by this, or None.
        """
        return self._confirm_crash(server_id, now, must_be_closed=True)

    def on_announced(
        self, server_id: str, incarnation: int, now: datetime.timedelta
    ) -> Crash | None:
        """Handle an announcement of a server.

        :param server_id: the server.
        :param incarnation: the incarnation that announced itself.
        :param now: current monotonic time.
        :returns: the crash that is confirmed by this, or None.
        """
        loss = self._losses.get(server_id)
        if loss is None or incarnation <= loss.incarnation:
            return None
        return self._confirm_crash(server_id, now, must_be_closed=False)

    def on_withdrawn(self, server_id: str) -> None:
        """Handle a planned stop, which is not a crash.

        :param server_id: the server.
        """
        self._losses.pop(server_id, None)

    def expire(self, now: datetime.timedelta) -> None:
        """Delete lost connections after their retention.

        :param now: current monotonic time.
        """
        self._losses = {
            server_id: loss
            for server_id, loss in self._losses.items()
            if now - loss.lost_at <= LOSS_RETENTION
        }

    def _confirm_crash(self, server_id, now, must_be_closed):
        loss = self._losses.get(server_id)
        if loss is None or now - loss.lost_at > LOSS_RETENTION:
            return None
        if must_be_closed and not loss.closed:
            return None
        if not loss.requests:
            return None
        crash = Crash(server_id, loss.incarnation, frozenset(loss.requests))
        # The loss record stays, as losses noticed later belong to this crash.
        loss.requests.clear()
        return crash
