"""Decision whether a server may get one more request now."""

from typing import NamedTuple

from buckthorntack.dispatch import _shared_rate
from buckthorntack.dispatch import _shared_room

#: Fraction of the interval between two requests to a limited server by which
#: one may be early after a late one.
LIMIT_TOLERANCE = 0.5
#: Number of entry VMs that send to a server of any limit.  One more sends for
#: each request per second of the limit.
MIN_LIMIT_SENDERS = 3
#: Rate of requests to a server that takes none, by which the end of its limit
#: is noticed.
PROBE_PER_S = 0.1
#: Fraction of the interval for which a request leaves the rate of a limited
#: server to more urgent ones, by the priority of its route.
PRIORITY_DELAYS = (0.0, 0.25, 0.5)


#: Time until usage reports name a request: the report period and a margin.
REPORT_LAG_S = 0.1


#: Time without a request after which the slots of a cold server are spread
#: anew; it may have been warm meanwhile.  The bound holds for any second.
COLD_IDLE_S = 1.0


class RateLimits(NamedTuple):
    """Requests per second that a server takes of all entry VMs together."""

    #: While it is cold; None for no such limit.
    cold_per_s: float | None = None
    #: As it names them; None for no limit.
    named_per_s: float | None = None
    #: Room at a brittle server; None for any other.
    room: _shared_room.Room | None = None


class ServerRates:
    """Limits on the requests of all entry VMs to each server.

    A cold server and one that names a limit get only so many requests per
    second, and a brittle one only what is known to find room; where several
    hold, each does.

    :param node_id: this entry VM.
    :param settings: ``DispatchSettings``.
    :param report_lag_s: time after which requests that other entry VMs sent to
        a server are known here.
    """

    def __init__(self, node_id, settings, report_lag_s=REPORT_LAG_S):
        self.settings = settings
        #: Entry VMs of this region, this one included.
        self.members = [node_id]
        #: The same with those that nobody here hears of, which may still send
        #: to servers; None if there are none.
        self.all_members = None
        self._cold = _shared_rate.SharedRateLimiter(
            node_id, idle_s=COLD_IDLE_S
        )
        self._limited = _shared_rate.SharedRateLimiter(
            node_id, LIMIT_TOLERANCE
        )
        self._rooms = _shared_room.SharedRoom(node_id, report_lag_s)

    def may_send(self, server_id, limits, priority, now_s):
        """Whether a server may get a request now.

        :param server_id: the server.
        :param limits: its :class:`RateLimits`.
        :param priority: priority of the request; 0 is the highest.
        :param now_s: monotonic time.
        """
        if limits.cold_per_s is not None and not self._cold.may_send(
            server_id,
            self._rate_of_cold_server(limits.cold_per_s),
            self._senders_to_cold,
            now_s,
        ):
            return False
        if limits.room is not None and not self._rooms.may_send(
            server_id, limits.room, self.members, now_s
        ):
            return False
        if limits.named_per_s is None:
            return True
        delay = PRIORITY_DELAYS[min(priority, len(PRIORITY_DELAYS) - 1)]
        rate = _rate_of_limit(limits.named_per_s)
        return self._limited.may_send(
            server_id, rate, self.members, now_s, delay
        )

    def on_request_sent(self, server_id, limits, now_s):
        """Record that a request was sent to a server.

        :param server_id: the server.
        :param limits: its :class:`RateLimits`.
        :param now_s: monotonic time.
        """
        if limits.cold_per_s is not None:
            rate = self._rate_of_cold_server(limits.cold_per_s)
            self._cold.on_request_sent(
                server_id, rate, self._senders_to_cold, now_s
            )
        if limits.room is not None:
            self._rooms.on_request_sent(server_id, now_s)
        if limits.named_per_s is not None:
            rate = _rate_of_limit(limits.named_per_s)
            self._limited.on_request_sent(server_id, rate, self.members, now_s)

    def may_ask(self, server_id, cold_per_s, now_s):
        """Whether a server that may be cold may get a health check now.

        :param server_id: the server.
        :param cold_per_s: requests per second that it takes while cold.
        :param now_s: monotonic time.
        :returns: None if this entry VM sends nothing to it while it is cold.
        """
        rate = self._rate_of_cold_server(cold_per_s)
        members = self._senders_to_cold
        if not self._cold.is_sender(server_id, rate.senders, members):
            return None
        return self._cold.may_send(server_id, rate, members, now_s)

    def on_warm(self, server_id):
        """Forget what a server got while it may have been cold.

        Health checks use slots of the cold rate.  Once the server has said
        that it is warm, the next doubt can be cleared up at once.

        :param server_id: the server.
        """
        self._cold.remove_server(server_id)

    def remove_server(self, server_id):
        """Delete the state of a server.

        :param server_id: the server.
        """
        self._cold.remove_server(server_id)
        self._limited.remove_server(server_id)
        self._rooms.remove_server(server_id)

    @property
    def _senders_to_cold(self):
        """Entry VMs that may have a part of the rate of a cold server.

        One that is cut off from all others still reaches the server, so those
        that go on do not take over its part.
        """
        return self.members if self.all_members is None else self.all_members

    def _rate_of_cold_server(self, per_s):
        return _shared_rate.SharedRate(
            per_s * self.settings.cold_rate_share,
            self.settings.cold_senders,
        )


def _rate_of_limit(per_s):
    """Rate and senders by which a limit holds in each time window.

    A sender has at most 1.5 requests in a window besides those of its rate.
    """
    senders = MIN_LIMIT_SENDERS + int(per_s)
    return _shared_rate.SharedRate(max(per_s, PROBE_PER_S), senders)
