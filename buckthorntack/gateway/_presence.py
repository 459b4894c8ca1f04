"""Presence that a node reports to control VMs."""

from buckthorntack import discovery
from buckthorntack.schema import messages


class LocalPresence:
    """Incarnation, state and report sequence number of this node.

    :param node_id: id of this node.
    :param role: ``entry`` or ``control``.
    :param state: initial state.
    :param clock: source of time.
    """

    def __init__(self, node_id, role, state, clock):
        self.node_id = node_id
        self.role = role
        self.state = state
        self.sequence = 0
        #: Services of the region none of whose servers can be connected to.
        self.unreachable_services = []
        #: Capacity relative to a nominal VM; 0 if not known.
        self.capacity = 0.0
        #: The same by its settings alone.
        self.means = 0.0
        self._incarnation = int(clock.wall().timestamp() * 1000)

    def to_message(self, settings):
        """Return the current presence as a message.

        :param settings: ``NodeSettings`` of this node.
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
            unreachable_services=self.unreachable_services,
            capacity=self.capacity,
            means=self.means,
            protocol_version=discovery.PROTOCOL_VERSION,
        )

    def on_presence_reply(self, reply):
        """Raise the incarnation if an earlier one is not lower.

        This happens when the wall clock was ahead at an earlier start.

        :param reply: ``PresenceReply``.
        """
        if not reply.accepted and reply.incarnation >= self._incarnation:
            self._incarnation = reply.incarnation + 1
