"""Upper bounds on the age of messages without synchronised clocks.

A message echoes the latest stamp that its sender received from the receiver,
and the time since then.  It was sent no earlier than the receiver's stamp
plus that time.  Each clock measures only its own intervals, so the clocks
need not agree.
"""

from typing import NamedTuple

from buckthorntack.schema import messages

#: Largest total rounding error of two times in whole milliseconds.
_ROUNDING_MS = 2


class _PeerStamp(NamedTuple):
    incarnation: int
    sent_at_ms: int
    received_at_ms: int


class PeerStamps:
    """Latest stamp of each peer, and the age of messages that echo a stamp.

    :param incarnation: incarnation of this node, higher with each start.
    :param max_peers: largest number of peers whose stamps are kept.
    """

    def __init__(self, incarnation, max_peers=4096):
        self.incarnation = incarnation
        self.max_peers = max_peers
        self._latest_stamps = {}

    def stamp_for(self, peer, now_ms):
        """Build the stamp of a message that is sent now.

        :param peer: id of the receiver.
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
        """Compute an upper bound on the age of a message.

        :param stamp: stamp of the message.
        :param now_ms: monotonic time.
        :returns: milliseconds, or ``None`` if the message echoes no stamp of
            this incarnation.
        """
        if stamp.echo_incarnation != self.incarnation:
            return None
        age_ms = now_ms - stamp.echo_sent_at_ms - stamp.echo_held_ms
        return max(0, age_ms) + _ROUNDING_MS

    def record_stamp(self, peer, stamp, now_ms):
        """Store a peer's stamp, to echo it in messages to the peer.

        :param peer: id of the sender.
        :param stamp: its stamp.
        :param now_ms: monotonic time.
        :returns: whether the peer's incarnation was unknown.
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
        """Return whether messages to a peer can echo one of its stamps.

        :param peer: id of the peer.
        """
        return peer in self._latest_stamps

    def is_from_former_incarnation(self, peer, stamp):
        """Return whether the sender has restarted since it sent a message.

        :param peer: id of the sender.
        :param stamp: stamp of the message.
        """
        latest = self._latest_stamps.get(peer)
        return latest is not None and stamp.incarnation < latest.incarnation

    def _drop_oldest(self):
        oldest = min(
            self._latest_stamps,
            key=lambda p: self._latest_stamps[p].received_at_ms,
        )
        del self._latest_stamps[oldest]
