"""Delivery of received messages to the handler of a node."""

from buckthorntack.transport import _events


class Delivery:
    """Passes messages to a handler; one that fails costs its message only.

    :param handle: called with the sender and each message.
    :param log: the ``EventLog``.
    """

    def __init__(self, handle, log):
        self._handle = handle
        self._log = log

    def deliver(self, sender, message):
        """Pass a message to the handler.

        :param sender: id of the sending node.
        :param message: the decoded message.
        """
        try:
            self._handle(sender, message)
        except Exception as error:
            self._log.write(
                _events.MESSAGE_FAILED,
                peer=sender,
                kind=type(message).__name__,
                error=repr(error),
            )
