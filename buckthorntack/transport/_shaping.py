"""Simulated delay, bandwidth and partitions of links, for experiments."""

import asyncio
import datetime
from typing import Protocol


class Shaping(Protocol):
    """Interface of models that delay or lose received messages."""

    def arrival_delay(self, sender, size_bytes, now):
        """Return the simulated delay of a message.

        :param sender: id of the sending node.
        :param size_bytes: size of the message.
        :param now: monotonic time.
        :returns: the delay, or ``None`` to lose the message.
        """


class Unshaped:
    """Model without delay or loss."""

    def arrival_delay(self, sender, size_bytes, now):
        """Return a delay of zero.

        :param sender: id of the sending node.
        :param size_bytes: size of the message.
        :param now: monotonic time.
        """
        return datetime.timedelta()


class LinkShaper:
    """Model of the delay and bandwidth between regions, for one node.

    All messages from one region to another share the bandwidth of one
    simulated link.

    :param region: region of the receiving node.
    :param region_of: function from a node id to its region.
    :param delay: one-way delay between two regions.
    :param local_delay: one-way delay within a region.
    :param bytes_per_second: bandwidth of the link between two regions.
    :param link_free_at: monotonic time at which the link of each pair of
        regions has sent all earlier messages; shared by the shapers of one
        experiment.
    :param partitioned_regions: pairs ``(from region, to region)`` that lose
        all messages; shared by the shapers of one experiment.
    """

    def __init__(
        self,
        region,
        region_of,
        delay,
        local_delay,
        bytes_per_second,
        link_free_at,
        partitioned_regions,
    ):
        self.region = region
        self.region_of = region_of
        self.delay = delay
        self.local_delay = local_delay
        self.bytes_per_second = bytes_per_second
        self.link_free_at = link_free_at
        self.partitioned_regions = partitioned_regions

    def arrival_delay(self, sender, size_bytes, now):
        """Return the delay by queueing, transmission and propagation.

        :param sender: id of the sending node.
        :param size_bytes: size of the message.
        :param now: monotonic time.
        :returns: the delay, or ``None`` if the regions are partitioned.
        """
        sender_region = self.region_of(sender)
        if sender_region == self.region:
            return self.local_delay
        pair = (sender_region, self.region)
        if pair in self.partitioned_regions:
            return None
        start = max(now, self.link_free_at.get(pair, now))
        duration = datetime.timedelta(
            seconds=size_bytes / self.bytes_per_second
        )
        self.link_free_at[pair] = start + duration
        return start + duration - now + self.delay


class DeliveryQueue:
    """Delay queue that preserves the order of the messages of each sender.

    :param shaping: model of the delay of each message.
    :param handle: called with the sender and the message.
    :param clock: source of time.
    """

    def __init__(self, shaping, handle, clock):
        self.shaping = shaping
        self.handle = handle
        self.clock = clock
        self._last_arrivals = {}

    def put(self, sender, message, size_bytes):
        """Deliver a message after its simulated delay.

        :param sender: id of the sending node.
        :param message: the message.
        :param size_bytes: size of the message.
        """
        now = self.clock.monotonic()
        delay = self.shaping.arrival_delay(sender, size_bytes, now)
        if delay is None:
            return
        arrival = max(now + delay, self._last_arrivals.get(sender, now))
        if arrival <= now:
            self.handle(sender, message)
            return
        self._last_arrivals[sender] = arrival
        asyncio.get_running_loop().call_later(
            (arrival - now).total_seconds(), self.handle, sender, message
        )
