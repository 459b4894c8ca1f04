"""Limits that backend servers name in their announcements."""

import math

from buckthorntack import dispatch

#: Time until announcements name the requests that other entry VMs sent: the
#: renewal period of servers, and a margin.
REPORT_LAG_S = 1.0


class ServerLimiter:
    """Keeps the limits of servers over the entry VMs of a region.

    :param node_id: this entry VM.
    """

    def __init__(self, node_id):
        self.node_id = node_id
        self._rates = dispatch.ServerRates(
            node_id, dispatch.DispatchSettings(), REPORT_LAG_S
        )
        #: Time of the last rejection by each server.
        self._rejected_s = {}

    def set_entry_vms(self, node_ids):
        """Set the entry VMs of the region.

        :param node_ids: their ids; this one is added.
        """
        self._rates.members = sorted({*node_ids, self.node_id})

    def may_send(self, server, now_s):
        """Whether a server may get a request now.

        The admission has put urgent requests first.

        :param server: its ``routing.Server``.
        :param now_s: monotonic time.
        """
        limits = self._limits_of(server, now_s)
        return self._rates.may_send(server.record.server_id, limits, 0, now_s)

    def on_request_sent(self, server, now_s):
        """Record that a request was sent to a server.

        :param server: its ``routing.Server``.
        :param now_s: monotonic time.
        """
        limits = self._limits_of(server, now_s)
        self._rates.on_request_sent(server.record.server_id, limits, now_s)

    def on_rejection(self, server_id, now_s):
        """Record that a server rejected a request for want of room.

        :param server_id: the server.
        :param now_s: monotonic time.
        """
        self._rejected_s[server_id] = now_s

    def remove_server(self, server_id):
        """Delete the state of a server.

        :param server_id: the server.
        """
        self._rates.remove_server(server_id)
        self._rejected_s.pop(server_id, None)

    def _limits_of(self, server, now_s):
        record = server.record
        named_per_s = record.limit_per_s if record.limit_per_s >= 0 else None
        room = None
        if record.rejections_per_s >= 0:
            rejected_s = self._rejected_s.get(record.server_id, -math.inf)
            room = dispatch.Room(
                record.slots,
                math.ceil(server.load.estimate_requests(now_s)),
                len(server.load.attempts),
                now_s - rejected_s < dispatch.REJECTION_HOLD_S,
            )
        return dispatch.RateLimits(named_per_s=named_per_s, room=room)
