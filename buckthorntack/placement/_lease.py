"""Client side of the issuer lease."""

from buckthorntack.schema import messages


class IssuerLease:
    """Lease of one failure domain, as seen by a node that requests it.

    The lease duration counts from the time of the request, so the lease
    expires here before a control VM grants it to another node.

    :param failure_domain: name of the failure domain.
    :param holder: ``<node id>#<incarnation>`` of this node.
    :param timing: a :class:`PlacementTiming`.
    """

    def __init__(self, failure_domain, holder, timing):
        self.failure_domain = failure_domain
        self.holder = holder
        self.timing = timing
        self.fencing = 0
        self._until_ms = None
        self._unfenced_orders_at_ms = None
        self._least_fencing = 0
        self._requested_at_ms = {}
        self._request_number = 0
        self._next_request_at_ms = 0

    def next_request(self, now_ms):
        """Return the lease request to send now, or ``None``.

        :param now_ms: boot time.
        """
        if now_ms < self._next_request_at_ms:
            return None
        self._next_request_at_ms = now_ms + self.timing.request_timeout_ms
        self._request_number += 1
        self._requested_at_ms = {
            number: at_ms
            for number, at_ms in self._requested_at_ms.items()
            if at_ms + self.timing.lease_ms > now_ms
        }
        self._requested_at_ms[self._request_number] = now_ms
        return messages.LeaseRequest(
            self.failure_domain,
            self.holder,
            self._request_number,
            self.timing.lease_ms,
            self._least_fencing,
        )

    def on_grant(self, grant, now_ms):
        """Process the answer to a lease request.

        :param grant: a ``LeaseGrant``.
        :param now_ms: boot time.
        """
        asked_at_ms = self._requested_at_ms.pop(grant.request_number, None)
        if asked_at_ms is None or grant.failure_domain != self.failure_domain:
            return
        if not grant.granted:
            self._next_request_at_ms = now_ms + max(grant.wait_ms, 100)
            return
        if grant.fencing < max(self.fencing, self._least_fencing):
            return
        if grant.fencing > self.fencing:
            self._start(grant, now_ms)
        self._next_request_at_ms = now_ms + self.timing.renew_ms
        until_ms = (
            asked_at_ms + self.timing.lease_ms - self.timing.safety_margin_ms
        )
        self._until_ms = max(until_ms, self._until_ms or 0)

    def _start(self, grant, now_ms):
        self.fencing = grant.fencing
        is_first = grant.fencing == 1
        max_order_delay_ms = 0 if is_first else self.timing.max_order_delay_ms
        self._unfenced_orders_at_ms = now_ms + max_order_delay_ms
        self._until_ms = None

    def is_held(self, now_ms):
        """Whether this node holds the lease and is the issuer.

        :param now_ms: boot time.
        """
        return self._until_ms is not None and now_ms < self._until_ms

    def may_issue(self, checks_fencing, now_ms):
        """Whether an order may be sent now.

        An engine that ignores fencing numbers gets no order while an order
        of the former issuer may still be in transit.

        :param checks_fencing: whether the engine checks fencing numbers.
        :param now_ms: boot time.
        """
        if not self.is_held(now_ms):
            return False
        return checks_fencing or now_ms >= self._unfenced_orders_at_ms

    def on_higher_fencing(self, fencing):
        """Stop issuing if an engine has seen a higher fencing number.

        :param fencing: fencing number that the engine reports.
        """
        self._least_fencing = max(self._least_fencing, fencing)
        if fencing > self.fencing:
            self._until_ms = None
            self._requested_at_ms.clear()
            self._next_request_at_ms = 0
