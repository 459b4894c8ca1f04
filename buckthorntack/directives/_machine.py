"""State machine that holds the newest configuration and evacuations."""

import functools
from typing import NamedTuple

from buckthorntack import schema
from buckthorntack.schema import messages


class Outcome(NamedTuple):
    """Result of applying a command."""

    #: Version of the active configuration after the command.
    version: int
    #: Whether the command changed the state.
    changed: bool
    #: Whether a newer order had been applied, so that it has no effect.
    overtaken: bool = False
    #: Log index of the command.
    index: int = 0


def encode_command(command):
    """Serialize a command.

    :param command: ``PublishVersion``, ``OrderEvacuation`` or
        ``EvacuateDomain``.
    :returns: bytes for the replicated log.
    """
    return schema.pack(command)


def decode_command(data):
    """Deserialize a command.

    :param data: bytes that :func:`encode_command` returned.
    :returns: ``PublishVersion``, ``OrderEvacuation`` or ``EvacuateDomain``.
    """
    return schema.unpack(data)


class DirectivesMachine:
    """Replicated state machine of the operator directives.

    Only committed commands change the state.

    :param on_change: called with the new ``Directives`` after each change.
    :param on_apply: called with the log index, the command and the
        :class:`Outcome` of each command.
    """

    def __init__(
        self,
        on_change=lambda directives: None,
        on_apply=lambda index, command, outcome: None,
    ):
        self.on_change = on_change
        self.on_apply = on_apply
        self.directives = messages.Directives(0, -1, b"", [])
        #: Log index of the last order for each failure domain.  It is empty
        #: before the first ``OrderEvacuation``, as older builds track none.
        self._last_orders = {}

    @property
    def has_ordered_evacuations(self):
        """Whether an ``OrderEvacuation`` was applied."""
        return bool(self._last_orders)

    def last_order_index(self, failure_domain):
        """Return the log index of the last order for a failure domain.

        :param failure_domain: its name.
        :returns: the index; 0 if there was none.
        """
        return self._last_orders.get(failure_domain, 0)

    def apply(self, index, command):
        """Apply one committed command.

        :param index: log index of the command.
        :param command: the serialized command.
        :returns: :class:`Outcome`.
        """
        current = self.directives
        decoded = decode_command(command)
        is_overtaken = self._is_overtaken(decoded)
        if not is_overtaken:
            self._record_order(decoded, index)
            updated = self._next_directives(decoded, current)
            if updated != current:
                self.directives = updated._replace(index=index)
                self.on_change(self.directives)
        has_changed = self.directives is not current
        outcome = Outcome(
            self.directives.version, has_changed, is_overtaken, index
        )
        self.on_apply(index, decoded, outcome)
        return outcome

    @functools.singledispatchmethod
    def _next_directives(self, command, current):
        """Return the directives that follow from a command."""
        raise TypeError(f"{type(command).__name__} is not a directive")

    @_next_directives.register
    def _(self, command: messages.PublishVersion, current):
        if command.version <= current.version:
            return current
        return current._replace(
            version=command.version, content=command.content
        )

    @_next_directives.register(messages.EvacuateDomain)
    @_next_directives.register(messages.OrderEvacuation)
    def _(self, command, current):
        domains = set(current.evacuated)
        if command.evacuated:
            domains.add(command.failure_domain)
        else:
            domains.discard(command.failure_domain)
        return current._replace(evacuated=sorted(domains))

    @functools.singledispatchmethod
    def _is_overtaken(self, command):
        """Whether a newer order for the same subject was applied."""
        return False

    @_is_overtaken.register
    def _(self, command: messages.OrderEvacuation):
        return command.based_on != self.last_order_index(
            command.failure_domain
        )

    @functools.singledispatchmethod
    def _record_order(self, command, index):
        """Record an order, also one that changes nothing."""

    @_record_order.register
    def _(self, command: messages.OrderEvacuation, index):
        self._last_orders[command.failure_domain] = index

    @_record_order.register
    def _(self, command: messages.EvacuateDomain, index):
        if self._last_orders:
            self._last_orders[command.failure_domain] = index

    def snapshot(self):
        """Serialize the whole state."""
        if not self._last_orders:
            return schema.pack(self.directives)
        orders = [
            messages.EvacuationOrder(*order)
            for order in sorted(self._last_orders.items())
        ]
        return schema.pack(
            messages.DirectivesSnapshot(self.directives, orders)
        )

    def restore(self, snapshot):
        """Replace the state by a snapshot.

        :param snapshot: bytes that :meth:`snapshot` returned.
        """
        state = schema.unpack(snapshot)
        if isinstance(state, messages.Directives):
            state = messages.DirectivesSnapshot(state, [])
        self.directives = state.directives
        self._last_orders = {
            order.failure_domain: order.index for order in state.orders
        }
        self.on_change(self.directives)
