"""Capacity of an entry VM, from its means and from how late its timers are."""

import math

#: Means of a VM of capacity 1.
NOMINAL_CORES = 0.5
NOMINAL_LINK_MBPS = 5.0
#: Assumed time before the first sample.
SAMPLE_PERIOD_S = 0.05
#: Mean lateness up to which a VM is not busy, and at which it has half of its
#: capacity left.
FREE_LATENESS_S = 0.01
HALF_LATENESS_S = 0.06
#: Time over which lateness is averaged.
AVERAGE_S = 1.0
#: Least share of its capacity that a busy VM reports, so that it goes on
#: getting requests by which it is seen to recover.
MIN_FREE_SHARE = 0.25
#: Ratio of two reported values that follow each other: each change of it is
#: sent to all nodes.
STEP = 1.3
#: Shortest time between two changes.
MIN_CHANGE_INTERVAL_S = 1.0


class CapacityMeter:
    """Reported capacity of this VM, relative to a nominal one.

    Lateness of timers is what a busy processor, a slowed VM and a used-up
    quota have in common.

    :param cores: processor that the VM may use; 0 if not known.
    :param link_mbps: bandwidth of its link; 0 if not known.

    >>> CapacityMeter(0.0, 0.0).reported
    1.0
    >>> round(CapacityMeter(1.0, 5.0).reported, 2)
    1.0
    """

    def __init__(self, cores, link_mbps):
        #: Capacity of the VM while it is not busy.
        self.nominal = _to_step(_nominal_capacity(cores, link_mbps))
        self.reported = self.nominal
        self._lateness_s = 0.0
        self._sampled_s = None
        self._changed_s = -math.inf

    def observe(self, lateness_s, now_s):
        """Record how late a timer was.

        :param lateness_s: delay of the timer in seconds.
        :param now_s: monotonic time in seconds.
        :returns: whether the reported capacity changed.
        """
        elapsed_s = SAMPLE_PERIOD_S
        if self._sampled_s is not None:
            elapsed_s = now_s - self._sampled_s
        self._sampled_s = now_s
        weight = 1.0 - math.exp(-elapsed_s / AVERAGE_S)
        self._lateness_s += (lateness_s - self._lateness_s) * weight
        free = self.nominal * self._free_share()
        ratio = free / self.reported
        if 1.0 / STEP < ratio < STEP:
            return False
        if now_s - self._changed_s < MIN_CHANGE_INTERVAL_S:
            return False
        self._changed_s = now_s
        self.reported = _to_step(free)
        return True

    def _free_share(self):
        excess_s = self._lateness_s - FREE_LATENESS_S
        if excess_s <= 0:
            return 1.0
        share = 1.0 / (1.0 + excess_s / (HALF_LATENESS_S - FREE_LATENESS_S))
        return max(share, MIN_FREE_SHARE)


def _nominal_capacity(cores, link_mbps):
    """Capacity by the scarcer one of processor and link."""
    ratios = []
    if cores > 0:
        ratios.append(cores / NOMINAL_CORES)
    if link_mbps > 0:
        ratios.append(link_mbps / NOMINAL_LINK_MBPS)
    return min(ratios, default=1.0)


def _to_step(capacity):
    """Round to a power of ``STEP``, so that equal VMs report equal values."""
    return round(STEP ** round(math.log(capacity, STEP)), 3)
