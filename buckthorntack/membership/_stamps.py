"""Upper bounds on the age of messages, without a shared clock.

A message echoes the last stamp that its sender had from the receiver, and
how long it held it.  So the message was sent no earlier than the receiver's
own stamp plus the time held, all measured on clocks that need not agree.
"""

from typing import NamedTuple

from buckthorntack.schema import messages

#: Error of rounding two times down to whole milliseconds.
_ROUNDING_MS = 2


class _Seen(NamedTuple):
    incarnation: int
    sent_at_ms: int
    received_at_ms: int


class StampBook:
    """Stamps exchanged with peers.

    :param incarnation: of this node, higher with each start.
    :param max_peers: most peers whose stamp is kept.
    """

    def __init__(self, incarnation, max_peers=4096):
        self.incarnation = incarnation
        self.max_peers = max_peers
        self._seen = {}

    def stamp_for(self, peer, now_ms):
        """Stamp of a message that is sent now.

        :param peer: the node it is for.
        :param now_ms: monotonic time.
        """
        seen = self._seen.get(peer)
        if seen is None:
            return messages.MessageStamp(self.incarnation, now_ms, -1, 0, 0)
        held_ms = max(0, now_ms - seen.received_at_ms)
        return messages.MessageStamp(
            self.incarnation,
            now_ms,
            seen.incarnation,
            seen.sent_at_ms,
            held_ms,
        )

    def age_ms(self, stamp, now_ms):
        """Upper bound on the age of a message.

        :param stamp: stamp of the message.
        :param now_ms: monotonic time.
        :returns: milliseconds, or ``None`` if it echoes no stamp of ours.
        """
        if stamp.echo_incarnation != self.incarnation:
            return None
        age_ms = now_ms - stamp.echo_sent_at_ms - stamp.echo_held_ms
        return max(0, age_ms) + _ROUNDING_MS

    def note(self, peer, stamp, now_ms):
        """Remember a peer's stamp, to echo it.

        :param peer: the node that sent it.
        :param stamp: its stamp.
        :param now_ms: monotonic time.
        :returns: whether the peer's incarnation is new here.
        """
        seen = self._seen.get(peer)
        order = (stamp.incarnation, stamp.sent_at_ms)
        if seen is not None and order <= (seen.incarnation, seen.sent_at_ms):
            return False
        if seen is None and len(self._seen) >= self.max_peers:
            self._drop_oldest()
        self._seen[peer] = _Seen(*order, now_ms)
        return seen is None or seen.incarnation < stamp.incarnation

    def has_seen(self, peer):
        """Whether messages to a peer can echo a stamp of it.

        :param peer: the node.
        """
        return peer in self._seen

    def is_outdated(self, peer, stamp):
        """Whether a message is from a former life of its sender.

        :param peer: the node that sent it.
        :param stamp: its stamp.
        """
        seen = self._seen.get(peer)
        return seen is not None and stamp.incarnation < seen.incarnation

    def _drop_oldest(self):
        oldest = min(self._seen, key=lambda p: self._seen[p].received_at_ms)
        del self._seen[oldest]
