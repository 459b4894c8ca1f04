"""Log of messages that could not be decoded."""

from buckthorntack import schema
from buckthorntack.transport import _events

#: Kinds that are remembered, of all peers; names come from the network.
MAX_REMEMBERED_KINDS = 1024


class Refusals:
    """Logs refused messages; of a kind that is unknown only the first one.

    A later build sends new kinds all the time, to each node of an earlier one.

    :param log: the ``EventLog``.
    """

    def __init__(self, log):
        self._log = log
        self._unknown = set()

    def record(self, peer, name, error):
        """Log a message that was dropped.

        :param peer: id of the sender.
        :param name: wire name of the message, of any length.
        :param error: why it was refused.
        """
        if isinstance(error, schema.UnknownMessageError):
            kind = (peer, hash(bytes(name)))
            if kind in self._unknown:
                return
            if len(self._unknown) >= MAX_REMEMBERED_KINDS:
                self._unknown.clear()
            self._unknown.add(kind)
        self._log.write(_events.MESSAGE_REFUSED, peer=peer, reason=str(error))
