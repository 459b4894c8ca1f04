"""Delivery of messages, of which a bad one costs itself only."""

from buckthorntack.transport import _events

#: Errors of values that have no encoding, such as too large integers.
_ENCODE_ERRORS = (OverflowError, RecursionError, TypeError, ValueError)


class Delivery:
    """Passes messages to a handler; one that fails costs its message only.

    :param handle: called with the sender and each message.
    :param log: the ``EventLog``.
    """

    def __init__(self, handle, log):
        self.handle = handle
        self._log = log

    def deliver(self, sender, message):
        """Pass a message to the handler.

        :param sender: id of the sending node.
        :param message: the decoded message.
        """
        try:
            self.handle(sender, message)
        except Exception as error:
            self._log.write(
                _events.MESSAGE_FAILED,
                peer=sender,
                kind=type(message).__name__,
                error=repr(error),
            )


def encode(encode_message, to, message, log):
    """Encode a message to another node; log one that cannot be.

    :param encode_message: function that encodes it.
    :param to: id of the receiving node.
    :param message: a message of the schema.
    :param log: the ``EventLog``.
    :returns: what the function returned; None if it failed.
    """
    try:
        return encode_message(message)
    except _ENCODE_ERRORS as error:
        log.write(
            _events.MESSAGE_UNSENDABLE,
            peer=to,
            kind=type(message).__name__,
            error=repr(error),
        )
        return None
