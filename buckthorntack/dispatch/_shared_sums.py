"""Sums over all entry VMs, exchanged as what was added since the last report.

Each kind of sum is a message whose first fields are its key and whose other
fields are numbers.  Reports carry what was added, so their size grows with the
requests between two reports and not with the number of keys.  A report that is
lost is missing from the sums of its receiver.
"""

from typing import Protocol


class SumListener(Protocol):
    """Receiver of what is added to a kind of sum."""

    def on_local_updates(self, updates, now_s):
        """Handle what other entry VMs of this region have added.

        :param updates: list of messages.
        :param now_s: monotonic time in seconds.
        """

    def on_region_updates(self, region, updates, now_s):
        """Handle what the entry VMs of another region have added.

        :param region: name of the region.
        :param updates: list of messages.
        :param now_s: monotonic time in seconds.
        """


class SharedSums:
    """What was added to one kind of sum and is not yet reported.

    :param message_type: ``NamedTuple`` of the schema.
    :param key_length: number of its fields that form the key.
    """

    def __init__(self, message_type, key_length):
        self.message_type = message_type
        self.key_length = key_length
        self._listeners = []
        self._own = {}
        self._region = {}

    def add_listener(self, listener):
        """Tell a listener from now on what others have added.

        :param listener: the :class:`SumListener`.
        """
        self._listeners.append(listener)

    def add(self, update):
        """Add to a sum at this entry VM.

        :param update: the message.
        """
        self._accumulate(self._own, update)
        self._accumulate(self._region, update)

    def take_own_updates(self):
        """Return and clear what was added here since the last call.

        :returns: list of messages.
        """
        updates, self._own = list(self._own.values()), {}
        return updates

    def take_region_updates(self):
        """Return and clear what was added in the region since the last call.

        :returns: list of messages.
        """
        updates, self._region = list(self._region.values()), {}
        return updates

    def on_local_updates(self, updates, now_s):
        """Process what other entry VMs of this region have added.

        :param updates: list of messages.
        :param now_s: monotonic time in seconds.
        """
        for update in updates:
            self._accumulate(self._region, update)
        if not updates:
            return
        for listener in self._listeners:
            listener.on_local_updates(updates, now_s)

    def on_region_updates(self, region, updates, now_s):
        """Process the report of another region, also an empty one.

        :param region: name of the region.
        :param updates: list of messages.
        :param now_s: monotonic time in seconds.
        """
        for listener in self._listeners:
            listener.on_region_updates(region, updates, now_s)

    def combine(self, update_lists):
        """Return the sum of several lists of updates, by key.

        :param update_lists: iterable of lists of messages.
        :returns: list of messages.
        """
        sums = {}
        for updates in update_lists:
            for update in updates:
                self._accumulate(sums, update)
        return list(sums.values())

    def _accumulate(self, sums, update):
        length = self.key_length
        key = update[:length]
        known = sums.get(key)
        if known is not None:
            numbers = (
                old + new
                for old, new in zip(
                    known[length:], update[length:], strict=True
                )
            )
            update = self.message_type(*key, *numbers)
        sums[key] = update
