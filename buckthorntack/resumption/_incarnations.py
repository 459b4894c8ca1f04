"""Questions to control VMs whether records of servers are the newest."""

import enum


class IncarnationState(enum.StrEnum):
    """What is known of the incarnation of a server."""

    #: No later start of the server is known.
    NEWEST = "newest"
    #: The server has started again since.
    REPLACED = "replaced"
    #: The incarnation itself is not known.
    UNKNOWN = "unknown"


def compare_incarnation(born_ms, known_born_ms):
    """Return what a control VM knows of an incarnation.

    :param born_ms: the incarnation.
    :param known_born_ms: the newest one that the control VM knows; None for
        none.
    """
    if known_born_ms is None or known_born_ms < born_ms:
        return IncarnationState.UNKNOWN
    if known_born_ms > born_ms:
        return IncarnationState.REPLACED
    return IncarnationState.NEWEST


class IncarnationCheck:
    """One question, to all control VMs that may reply.

    A server announces itself to one control VM, which tells the others.  So
    all that can reply are waited for, and too few of them prove nothing.

    :param asked: ids of the control VMs that were asked.
    :param known_count: number of control VMs of the deployment.
    """

    def __init__(self, asked, known_count):
        self._waiting = set(asked)
        self._missing_count = known_count // 2 + 1
        self._state = IncarnationState.UNKNOWN
        if len(self._waiting) < self._missing_count:
            self._waiting.clear()

    @property
    def is_complete(self):
        """Whether no further reply can change the result."""
        return not self._waiting or self._state is IncarnationState.REPLACED

    @property
    def result(self):
        """What the replies up to now say: an :class:`IncarnationState`."""
        if self._state is IncarnationState.REPLACED:
            return self._state
        if self._missing_count > 0:
            return IncarnationState.UNKNOWN
        return self._state

    def on_reply(self, sender, state):
        """Process the reply of a control VM.

        :param sender: its id.
        :param state: the ``IncarnationState`` that it knows.
        """
        if sender not in self._waiting:
            return
        self._waiting.remove(sender)
        self._missing_count -= 1
        if (
            state is IncarnationState.REPLACED
            or self._state is IncarnationState.UNKNOWN
        ):
            self._state = state
