"""Questions to control VMs where streams began."""

from typing import NamedTuple


class Answer(NamedTuple):
    """Result of a lookup."""

    key: bytes
    #: ``StreamOrigin``; None if no control VM knows the stream.
    origin: object


class OriginLookups:
    """Lookups that wait for the replies of control VMs.

    One reply that knows the stream ends a lookup, and so do replies of all
    control VMs that do not.
    """

    def __init__(self):
        #: Control VMs that have not replied, by key.
        self._open = {}

    def begin(self, key, control_ids):
        """Begin a lookup, or ask more control VMs in one that is open.

        :param key: key of the stream.
        :param control_ids: ids of the control VMs that are asked.
        """
        self._open.setdefault(key, set()).update(control_ids)

    def end(self, key):
        """Give a lookup up.

        :param key: key of the stream.
        """
        self._open.pop(key, None)

    def on_reply(self, sender, known, unknown):
        """Process the reply of a control VM.

        :param sender: its id.
        :param known: pairs of key and ``StreamOrigin``.
        :param unknown: keys of the streams that it does not know.
        :returns: list of :class:`Answer` of the lookups that have ended.
        """
        answers = []
        for key, origin in known:
            if self._open.pop(key, None) is not None:
                answers.append(Answer(key, origin))
        for key in unknown:
            waiting = self._open.get(key)
            if waiting is None:
                continue
            waiting.discard(sender)
            if not waiting:
                del self._open[key]
                answers.append(Answer(key, None))
        return answers
