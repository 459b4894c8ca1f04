"""Upper bounds on the age of messages, without a shared clock.

A message echoes the last stamp that its sender had from the receiver, and
how long it held it.  So the message was sent no earlier than the receiver's
own stamp plus the time held, all measured on clocks that need not agree.
"""

from typing import NamedTuple

from buckthorntack.schema import messages

#: Error of rounding two times down to whole milliseconds.
_ROUNDING_MS = 2


class _PeerStamp(NamedTuple):
    incarnation: int
    sent_at_ms: int
    received_at_ms: int


class PeerStamps:
    """Stamps exchanged with peers.

    :param incarnation: of this node, higher with each start.
    :param max_peers: most peers whose stamp is kept.
    """

    def __init__(self, incarnation, max_peers=4096):
        self.incarnation = incarnation
        self.max_peers = max_peers
        self._latest_stamps = {}

    def stamp_for(self, peer, now_ms):
        """Stamp of a message that is sent now.

        :param peer: the node it is for.
        :param now_ms: monotonic time.
        """
        latest = self._latest_stamps.get(peer)
        if latest is None:
            return messages.MessageStamp(self.incarnation, now_ms, -1, 0, 0)
        held_ms = max(0, now_ms - latest.received_at_ms)
        return messages.MessageStamp(
            self.incarnation,
            now_ms,
            latest.incarnation,
            latest.sent_at_ms,
            held_ms,
        )

    def max_age_ms(self, stamp, now_ms):
        """Upper bound on the age of a message.

        :param stamp: stamp of the message.
        :param now_ms: monotonic time.
        :returns: milliseconds, or ``None`` if it echoes no stamp of ours.
        """
        if stamp.echo_incarnation != self.incarnation:
            return None
        age_ms = now_ms - stamp.echo_sent_at_ms - stamp.echo_held_ms
        return max(0, age_ms) + _ROUNDING_MS

    def record_stamp(self, peer, stamp, now_ms):
        """Remember a peer's stamp, to echo it.

        :param peer: the node that sent it.
        :param stamp: its stamp.
        :param now_ms: monotonic time.
        :returns: whether the peer's incarnation is new here.
        """
        latest = self._latest_stamps.get(peer)
        version = (stamp.incarnation, stamp.sent_at_ms)
        if latest is not None and version <= (
            latest.incarnation,
            latest.sent_at_ms,
        ):
            return False
        if latest is None and len(self._latest_stamps) >= self.max_peers:
            self._drop_oldest()
        self._latest_stamps[peer] = _PeerStamp(*version, now_ms)
        return latest is None or latest.incarnation < stamp.incarnation

    def has_stamp(self, peer):
        """Whether messages to a peer can echo a stamp of it.

        :param peer: the node.
        """
        return peer in self._latest_stamps

    def is_from_former_incarnation(self, peer, stamp):
        """Whether a message is from a former life of its sender.

        :param peer: the node that sent it.
        :param stamp: its stamp.
        """
        latest = self._latest_stamps.get(peer)
        return latest is not None and stamp.incarnation < latest.incarnation

    def _drop_oldest(self):
        oldest = min(
            self._latest_stamps,
            key=lambda p: self._latest_stamps[p].received_at_ms,
        )
        del self._latest_stamps[oldest]
