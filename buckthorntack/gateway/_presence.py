"""What a node says of itself to control VMs."""

from buckthorntack.schema import messages


class OwnPresence:
    """Incarnation, state and count of reports of this node.

    :param node_id: its id.
    :param role: ``entry`` or ``control``.
    :param state: its state at the start.
    :param clock: source of time.
    """

    def __init__(self, node_id, role, state, clock):
        self.node_id = node_id
        self.role = role
        self.state = state
        self.sequence = 0
        self._incarnation = int(clock.wall().timestamp() * 1000)

    def record(self, settings):
        """What the node says of itself now.

        :param settings: its ``NodeSettings``.
        :returns: ``NodePresence``.
        """
        return messages.NodePresence(
            node_id=self.node_id,
            incarnation=self._incarnation,
            sequence=self.sequence,
            role=self.role,
            state=self.state,
            link_address=settings.link_address,
            service_address=settings.service_address,
            failure_domain=settings.failure_domain,
            region=settings.region,
            silent=False,
        )

    def take_reply(self, reply):
        """Take a larger incarnation if a former one is still known.

        The time of day was ahead when the node started before.

        :param reply: ``PresenceReply``.
        """
        if not reply.accepted and reply.incarnation >= self._incarnation:
            self._incarnation = reply.incarnation + 1
