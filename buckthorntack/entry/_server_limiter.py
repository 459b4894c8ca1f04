"""Limits that backend servers name in their announcements."""

from buckthorntack import dispatch


class ServerLimiter:
    """Keeps the limits of servers over the entry VMs of a region.

    :param node_id: this entry VM.
    """

    def __init__(self, node_id):
        self.node_id = node_id
        self._rates = dispatch.ServerRates(
            node_id, dispatch.DispatchSettings()
        )

    def set_entry_vms(self, node_ids):
        """Set the entry VMs of the region.

        :param node_ids: their ids; this one is added.
        """
        self._rates.members = sorted({*node_ids, self.node_id})

    def may_send(self, server_id, per_s, now_s):
        """Whether a server may get a request now.

        The admission has put urgent requests first.

        :param server_id: the server.
        :param per_s: requests per second that it takes.
        :param now_s: monotonic time.
        """
        limits = dispatch.RateLimits(named_per_s=per_s)
        return self._rates.may_send(server_id, limits, 0, now_s)

    def on_request_sent(self, server_id, per_s, now_s):
        """Record that a request was sent to a server.

        :param server_id: the server.
        :param per_s: requests per second that it takes.
        :param now_s: monotonic time.
        """
        limits = dispatch.RateLimits(named_per_s=per_s)
        self._rates.on_request_sent(server_id, limits, now_s)

    def remove_server(self, server_id):
        """Delete the state of a server.

        :param server_id: the server.
        """
        self._rates.remove_server(server_id)
