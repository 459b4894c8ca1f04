"""Telling a crash of a backend server from a mere loss of a connection."""

import datetime
from typing import NamedTuple

#: How long a lost connection is remembered.
LOSS_WINDOW = datetime.timedelta(seconds=60)


class Crash(NamedTuple):
    """An incarnation of a backend server that crashed."""

    server_id: str
    incarnation: int
    #: Requests that were running there, as far as this entry VM knows.
    fingerprints: frozenset[str]


class _Loss:
    """Connections lost to one incarnation."""

    __slots__ = ("at", "closed", "fingerprints", "incarnation")

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.fingerprints = set()
        self.closed = False
        self.at = datetime.timedelta()


class CrashDetector:
    """Waits for the proof that turns a lost connection into a crash.

    A connection that was closed by the other side counts as a crash once a
    new connection is refused, a new incarnation announces itself, or the
    lease ends without withdrawal.  One that went silent counts only with a
    new incarnation, as a network partition looks the same.
    """

    def __init__(self):
        self._losses = {}

    def connection_lost(
        self,
        server_id: str,
        incarnation: int,
        fingerprint: str,
        closed: bool,
        now: datetime.timedelta,
    ) -> None:
        """Note a connection lost in the middle of a request.

        :param server_id: the server.
        :param incarnation: its incarnation when the request was sent.
        :param fingerprint: the request's fingerprint.
        :param closed: whether the other side closed or reset it.
        :param now: the time.
        """
        loss = self._losses.get(server_id)
        if loss is None or loss.incarnation < incarnation:
            loss = self._losses[server_id] = _Loss(incarnation)
        if loss.incarnation == incarnation:
            loss.fingerprints.add(fingerprint)
            loss.closed = loss.closed or closed
            loss.at = now

    def connect_refused(
        self, server_id: str, now: datetime.timedelta
    ) -> Crash | None:
        """Note that a new connection was refused.

        :param server_id: the server.
        :param now: the time.
        :returns: the crash that this proves.
        """
        return self._proven(server_id, now, closed_only=True)

    def lease_ended(
        self, server_id: str, now: datetime.timedelta
    ) -> Crash | None:
        """Note that a lease ended without withdrawal.

        :param server_id: the server.
        :param now: the time.
        :returns: the crash that this proves.
        """
        return self._proven(server_id, now, closed_only=True)

    def announced(
        self, server_id: str, incarnation: int, now: datetime.timedelta
    ) -> Crash | None:
        """Note an announcement.

        :param server_id: the server.
        :param incarnation: the incarnation that announced itself.
        :param now: the time.
        :returns: the crash that this proves.
        """
        loss = self._losses.get(server_id)
        if loss is None or incarnation <= loss.incarnation:
            return None
        return self._proven(server_id, now, closed_only=False)

    def withdrawn(self, server_id: str) -> None:
        """Note a planned stop, which is no crash.

        :param server_id: the server.
        """
        self._losses.pop(server_id, None)

    def expire(self, now: datetime.timedelta) -> None:
        """Forget connections lost long ago.

        :param now: the time.
        """
        self._losses = {
            server_id: loss
            for server_id, loss in self._losses.items()
            if now - loss.at <= LOSS_WINDOW
        }

    def _proven(self, server_id, now, closed_only):
        loss = self._losses.get(server_id)
        if loss is None or now - loss.at > LOSS_WINDOW:
            return None
        if closed_only and not loss.closed:
            return None
        if not loss.fingerprints:
            return None
        crash = Crash(
            server_id, loss.incarnation, frozenset(loss.fingerprints)
        )
        # Requests whose loss is noticed later still add to this crash.
        loss.fingerprints.clear()
        return crash
