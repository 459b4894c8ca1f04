"""Share of the room at a server that falls over if it has to reject requests.

Entry VMs know of each other's requests only after a while.  Each therefore
leaves room for one request of each other entry VM, and for as many more as it
sends itself meanwhile.  Where there is less room, each has its own part of the
slots, so that the sum holds without messages.
"""

from typing import NamedTuple

from buckthorntack.dispatch import _shared_rate


class Room(NamedTuple):
    """What is known of the room at a server that must not reject requests."""

    #: Requests that may be there.
    slots: int
    #: Requests that are there, of all entry VMs.
    present: int
    #: Those of this entry VM.
    own: int
    #: Whether it rejected a request lately.
    is_held: bool


class SharedRoom:
    """Requests of this entry VM to servers that must not reject any.

    :param node_id: this entry VM.
    :param lag_s: time after which requests of other entry VMs are known.
    """

    def __init__(self, node_id, lag_s):
        self.node_id = node_id
        self.lag_s = lag_s
        #: Times of the requests that others may not know of, by server.
        self._sent_s = {}

    def may_send(self, server_id, room, members, now_s):
        """Whether a request finds room whatever others send meanwhile.

        :param server_id: the server.
        :param room: its :class:`Room`.
        :param members: entry VMs of its region, this one included.
        :param now_s: monotonic time.
        """
        if room.is_held:
            return False
        free = room.slots - room.present
        recent = self._count_recent(server_id, now_s)
        others = max(0, len(members) - 1)
        if free > others * (1 + recent):
            return True
        own_slots = self._own_slots(server_id, room.slots, members)
        return free > 0 and not recent and room.own < own_slots

    def on_request_sent(self, server_id, now_s):
        """Record that a request was sent to a server.

        :param server_id: the server.
        :param now_s: monotonic time.
        """
        self._sent_s.setdefault(server_id, []).append(now_s)

    def remove_server(self, server_id):
        """Delete the state of a server.

        :param server_id: the server.
        """
        self._sent_s.pop(server_id, None)

    def _count_recent(self, server_id, now_s):
        sent_s = self._sent_s.get(server_id)
        if not sent_s:
            return 0
        recent = [time for time in sent_s if now_s - time < self.lag_s]
        self._sent_s[server_id] = recent
        return len(recent)

    def _own_slots(self, server_id, slots, members):
        """Part of the slots that this entry VM has for itself."""
        ranked = _shared_rate.rank_by_rendezvous(server_id, members)
        rank = ranked.index(self.node_id) if self.node_id in ranked else slots
        share, rest = divmod(slots, max(1, len(members)))
        return share + (rank < rest)
