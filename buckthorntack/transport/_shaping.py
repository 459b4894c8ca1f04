"""Delay, bandwidth and partitions imposed on links, for trials."""

import asyncio
import datetime
from typing import Protocol


class Shaping(Protocol):
    """Decides when a received message is handed on."""

    def arrival(self, sender, size_bytes, now):
        """Delay until a message arrives.

        :param sender: node that sent it.
        :param size_bytes: its size.
        :param now: monotonic time.
        :returns: the delay, or ``None`` to lose the message.
        """


class Unshaped:
    """Hands on every message at once."""

    def arrival(self, sender, size_bytes, now):
        """No delay.

        :param sender: node that sent it.
        :param size_bytes: its size.
        :param now: monotonic time.
        """
        return datetime.timedelta()


class LinkShaper:
    """Imposes the delays and bandwidth between regions on one node.

    All messages that reach one region share the bandwidth of its link with
    each other region.

    :param region: region of the receiving node.
    :param region_of: maps a node id to its region.
    :param delay: one-way delay between two regions.
    :param local_delay: one-way delay within a region.
    :param bytes_per_second: bandwidth of the link between two regions.
    :param busy_until: time at which each pair of regions is free, shared by
        the shapers of one trial.
    :param cut: pairs ``(from region, to region)`` that lose all messages,
        shared by the shapers of one trial.
    """

    def __init__(
        self,
        region,
        region_of,
        delay,
        local_delay,
        bytes_per_second,
        busy_until,
        cut,
    ):
        self.region = region
        self.region_of = region_of
        self.delay = delay
        self.local_delay = local_delay
        self.bytes_per_second = bytes_per_second
        self.busy_until = busy_until
        self.cut = cut

    def arrival(self, sender, size_bytes, now):
        """Delay of a message by distance and by the link's queue.

        :param sender: node that sent it.
        :param size_bytes: its size.
        :param now: monotonic time.
        :returns: the delay, or ``None`` if the link is cut.
        """
        origin = self.region_of(sender)
        if origin == self.region:
            return self.local_delay
        pair = (origin, self.region)
        if pair in self.cut:
            return None
        start = max(now, self.busy_until.get(pair, now))
        duration = datetime.timedelta(
            seconds=size_bytes / self.bytes_per_second
        )
        self.busy_until[pair] = start + duration
        return start + duration - now + self.delay


class ArrivalQueue:
    """Hands messages on in the order in which they were received.

    :param shaping: decides on each message's delay.
    :param handle: called with sender and message.
    :param clock: source of time.
    """

    def __init__(self, shaping, handle, clock):
        self.shaping = shaping
        self.handle = handle
        self.clock = clock
        self._last = {}

    def put(self, sender, message, size_bytes):
        """Hand a message on when it arrives.

        :param sender: node that sent it.
        :param message: the message.
        :param size_bytes: its size.
        """
        now = self.clock.monotonic()
        delay = self.shaping.arrival(sender, size_bytes, now)
        if delay is None:
            return
        arrival = max(now + delay, self._last.get(sender, now))
        if arrival <= now:
            self.handle(sender, message)
            return
        self._last[sender] = arrival
        asyncio.get_running_loop().call_later(
            (arrival - now).total_seconds(), self.handle, sender, message
        )
