"""Decision whether a server may get one more request now."""

from buckthorntack.dispatch import _shared_rate

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


class ServerRates:
    """Limits on the requests of all entry VMs to each server.

    A cold server and one that names a limit get only so many requests per
    second; if both hold, each does.

    :param node_id: this entry VM.
    :param limits: ``ServerLimits``.
    :param settings: ``DispatchSettings``.
    """

    def __init__(self, node_id, limits, settings):
        self.limits = limits
        self.settings = settings
        #: Entry VMs of this region, this one included.
        self.members = [node_id]
        self._cold = _shared_rate.SharedRateLimiter(node_id)
        self._limited = _shared_rate.SharedRateLimiter(
            node_id, LIMIT_TOLERANCE
        )

    def may_send(self, view, warmup_per_s, priority, now_s):
        """Whether a server may get a request now.

        :param view: ``ServerView`` of the server.
        :param warmup_per_s: requests per second that the server takes as it
            is cold; 0 for no such limit.
        :param priority: priority of the request's route; 0 is the highest.
        :param now_s: monotonic time.
        """
        server_id = view.record.server_id
        cold_rate = self._cold_rate(warmup_per_s)
        if cold_rate is not None and not self._cold.may_send(
            server_id, cold_rate, self.members, now_s
        ):
            return False
        limit = self.limit_of(view)
        if limit is None:
            return True
        delay = PRIORITY_DELAYS[min(priority, len(PRIORITY_DELAYS) - 1)]
        rate = _rate_of_limit(limit)
        return self._limited.may_send(
            server_id, rate, self.members, now_s, delay
        )

    def on_request_sent(self, view, warmup_per_s, now_s):
        """Record that a request was sent to a server.

        :param view: ``ServerView`` of the server.
        :param warmup_per_s: as of :meth:`may_send`.
        :param now_s: monotonic time.
        """
        server_id = view.record.server_id
        cold_rate = self._cold_rate(warmup_per_s)
        if cold_rate is not None:
            self._cold.on_request_sent(
                server_id, cold_rate, self.members, now_s
            )
        limit = self.limit_of(view)
        if limit is not None:
            self._limited.on_request_sent(
                server_id, _rate_of_limit(limit), self.members, now_s
            )

    def limit_of(self, view):
        """Requests per second that a server names; None for no limit.

        :param view: ``ServerView`` of the server.
        """
        record = view.record
        return self.limits.per_s(record.server_id, record.born_ms)

    def remove_server(self, server_id):
        """Delete the state of a server.

        :param server_id: the server.
        """
        self._cold.remove_server(server_id)
        self._limited.remove_server(server_id)

    def _cold_rate(self, warmup_per_s):
        if warmup_per_s <= 0:
            return None
        return _shared_rate.SharedRate(
            warmup_per_s * self.settings.cold_rate_share,
            self.settings.cold_senders,
        )


def _rate_of_limit(per_s):
    """Rate and senders by which a limit holds in each time window.

    A sender has at most 1.5 requests in a window besides those of its rate.
    """
    senders = MIN_LIMIT_SENDERS + int(per_s)
    return _shared_rate.SharedRate(max(per_s, PROBE_PER_S), senders)
