"""Speed of each backend server, learnt from the answers to all entry VMs.

A sample compares the observed time to the first byte with the time expected
at nominal speed.  Samples are added to a sum that all entry VMs exchange, so
that each of them learns from the requests of all.
"""

import math
import statistics
from typing import NamedTuple

from buckthorntack.dispatch import _shared_rate
from buckthorntack.schema import messages

#: Weight of all former samples together at most; a sample weighs 1 at most.
MAX_WEIGHT = 1.0
#: Weight of the sample of a short prompt: setup, links and entry VMs have a
#: part in its time.
SHORT_WEIGHT = 0.1
#: Least share of the observed time that is taken for what is learnt.
MIN_LEFT_SHARE = 0.1
#: Part of a rise that counts: work of others adds to a time and never takes
#: from it.
RISE_SHARE = 0.2
#: Rise of the logarithm that counts in full if so many samples or sums of
#: samples in a row have it.
FULL_RISE = 1.0
FULL_RISE_STREAK = 8
#: Weight of what is assumed of an unknown server.
UNKNOWN_WEIGHT = 0.1
#: Weight of what was known of a server before it restarted.
RESTARTED_WEIGHT = 0.3
#: Largest change of the logarithm by which one sample can pull.
MAX_STEP = 1.5
#: A server slower than a typical one by more than this factor is forgotten
#: without samples, so that it is tried again.
KEPT_SLOWER = 1.6
#: Time without samples after which the first entry VM begins to forget, and
#: the time over which the others follow: one trial is enough for all.
MIN_PATIENCE_S = 0.7
PATIENCE_SPREAD_S = 4.0
#: Half-life of what is forgotten.
FORGET_HALF_LIFE_S = 0.5
#: Change of a slowdown by which it is logged again, and how often at most.
LOGGED_FACTOR = 1.5
LOG_PERIOD_S = 2.0


class SpeedWork(NamedTuple):
    """What the answer time of a request will say of its server's speed."""

    #: Incarnation of the server.
    born_ms: int
    #: Expected time at nominal speed until a prompt that is cached is
    #: answered.
    base_ms: float
    #: Expected time at nominal speed to read uncached prompts.
    read_ms: float
    #: The part of it for this request's prompt.
    own_read_ms: float


class SpeedChange(NamedTuple):
    """A slowdown that has changed by a factor."""

    server_id: str
    born_ms: int
    former: float
    slowdown: float


class _Average:
    """A weighted average of logarithms that follows changes."""

    __slots__ = ("level", "rises", "weight")

    def __init__(self, level, weight):
        self.level = level
        self.weight = weight
        #: Samples in a row far above the level.
        self.rises = 0

    def add(self, weight, level_sum):
        if weight <= 0:
            return
        rise = level_sum / weight - self.level
        self.rises = self.rises + 1 if rise > FULL_RISE else 0
        if rise > 0 and self.rises < FULL_RISE_STREAK:
            rise *= RISE_SHARE
        total = self.weight + weight
        self.level += rise * weight / total
        self.weight = min(total, MAX_WEIGHT)


class _Estimate:
    """What is known of one incarnation of a server."""

    __slots__ = ("base", "born_ms", "logged", "logged_s", "read", "sampled_s")

    def __init__(self, born_ms, base, read, now_s):
        self.born_ms = born_ms
        #: Logarithm of the slowdown of prompts that are cached.
        self.base = base
        #: Logarithm of the slowdown of reading over that.
        self.read = read
        self.sampled_s = now_s
        #: Level that was logged last; None before.
        self.logged = None
        self.logged_s = now_s - LOG_PERIOD_S

    def weaken(self):
        for average in (self.base, self.read):
            average.weight = min(average.weight, RESTARTED_WEIGHT)


class ServerSpeeds:
    """Slowdown of each server: observed over nominal time; a listener.

    :param settings: the ``DispatchSettings``.
    """

    def __init__(self, settings):
        self._min_level = math.log(settings.min_slowdown)
        self._max_level = math.log(settings.max_slowdown)
        #: Id of this entry VM.
        self.own_id = ""
        #: Function that is given each sample of this entry VM.
        self.publish = None
        self._estimates = {}
        #: Medians of the levels; None if they are to be computed.
        self._medians = None
        self._forgot_s = None

    def _typical(self):
        """Levels of servers without samples: the medians of the others."""
        if self._medians is None:
            estimates = self._estimates.values()
            base = [known.base.level for known in estimates]
            read = [
                known.read.level
                for known in estimates
                if known.read.weight > UNKNOWN_WEIGHT
            ]
            self._medians = (
                statistics.median(base) if base else 0.0,
                statistics.median(read) if read else 0.0,
            )
        return self._medians

    def _levels(self, server_id):
        known = self._estimates.get(server_id)
        base, read = self._typical()
        if known is None:
            return base, read
        if known.read.weight > UNKNOWN_WEIGHT:
            read = known.read.level
        return known.base.level, read

    @property
    def typical_slowdown(self):
        """Slowdown of servers without samples."""
        return math.exp(self._typical()[0])

    @property
    def typical_read_slowdown(self):
        """Slowdown of reading of servers without samples."""
        return math.exp(sum(self._typical()))

    def slowdown(self, server_id):
        """Ratio of observed to nominal time of cached prompts at a server.

        :param server_id: the server.
        """
        return math.exp(self._levels(server_id)[0])

    def read_slowdown(self, server_id):
        """Ratio of observed to nominal time to read prompts at a server.

        :param server_id: the server.
        """
        return math.exp(sum(self._levels(server_id)))

    def on_first_byte(self, server_id, work, observed_ms, now_s):
        """Learn from a request of this entry VM.

        :param server_id: the server.
        :param work: the :class:`SpeedWork`.
        :param observed_ms: time to the first byte.
        :param now_s: monotonic time in seconds.
        """
        nominal_ms = work.base_ms + work.read_ms
        base, read = self._levels(server_id)
        if work.own_read_ms < work.base_ms:
            left_ms = observed_ms - work.read_ms * math.exp(base + read)
            sampled = self._sampled(left_ms, observed_ms, work.base_ms, base)
            weight = SHORT_WEIGHT * (work.base_ms / nominal_ms) ** 2
            numbers = (weight, weight * sampled, 0.0, 0.0)
        else:
            left_ms = observed_ms - work.base_ms * math.exp(base)
            sampled = self._sampled(
                left_ms, observed_ms, work.read_ms, base + read
            )
            weight = (work.own_read_ms / nominal_ms) ** 2
            numbers = (0.0, 0.0, weight, weight * (sampled - base))
        sample = messages.SpeedSample(server_id, work.born_ms, *numbers)
        self._learn(sample, now_s)
        if self.publish is not None:
            self.publish(sample)

    def _sampled(self, left_ms, observed_ms, nominal_ms, level):
        """Logarithm of a ratio, near enough to what is known."""
        left_ms = max(left_ms, observed_ms * MIN_LEFT_SHARE, 1.0)
        sampled = math.log(left_ms / nominal_ms)
        sampled = min(max(sampled, level - MAX_STEP), level + MAX_STEP)
        return min(max(sampled, self._min_level), self._max_level)

    def on_local_updates(self, updates, now_s):
        """Learn from the requests of other entry VMs of this region.

        :param updates: list of ``SpeedSample``.
        :param now_s: monotonic time in seconds.
        """
        for sample in updates:
            self._learn(sample, now_s)

    def on_region_updates(self, region, updates, now_s):
        """Learn from the requests of another region.

        :param region: name of the region.
        :param updates: list of ``SpeedSample``.
        :param now_s: monotonic time in seconds.
        """
        self.on_local_updates(updates, now_s)

    def _learn(self, sample, now_s):
        if sample.count < 0 or sample.read_count < 0:
            return
        known = self._estimates.get(sample.server_id)
        if known is None:
            base, read = self._typical()
            known = _Estimate(
                sample.born_ms,
                _Average(base, UNKNOWN_WEIGHT),
                _Average(read, UNKNOWN_WEIGHT),
                now_s,
            )
            self._estimates[sample.server_id] = known
        elif sample.born_ms < known.born_ms:
            return
        elif sample.born_ms > known.born_ms:
            known.born_ms = sample.born_ms
            known.weaken()
        known.base.add(sample.count, sample.ratio_sum)
        known.read.add(sample.read_count, sample.read_ratio_sum)
        known.sampled_s = now_s
        self._medians = None

    def list_statements(self):
        """List what is known, for an entry VM that has just started.

        :returns: list of ``SpeedSample``.
        """
        return [
            messages.SpeedSample(
                server_id,
                known.born_ms,
                known.base.weight,
                known.base.weight * known.base.level,
                known.read.weight,
                known.read.weight * known.read.level,
            )
            for server_id, known in self._estimates.items()
        ]

    def merge_statements(self, statements, now_s):
        """Take over what another entry VM knows better.

        :param statements: list of ``SpeedSample``.
        :param now_s: monotonic time in seconds.
        """
        for stated in statements:
            known = self._estimates.get(stated.server_id)
            own = (-1, 0.0)
            if known is not None:
                own = (known.born_ms, known.base.weight)
            if (stated.born_ms, stated.count) <= own:
                continue
            if not (stated.count > 0 and stated.read_count > 0):
                continue
            self._estimates[stated.server_id] = _Estimate(
                stated.born_ms,
                _Average(stated.ratio_sum / stated.count, stated.count),
                _Average(
                    stated.read_ratio_sum / stated.read_count,
                    stated.read_count,
                ),
                now_s,
            )
            self._medians = None

    def remove_server(self, server_id):
        """Forget a server that has gone.

        :param server_id: the server.
        """
        if self._estimates.pop(server_id, None) is not None:
            self._medians = None

    def on_server_restarted(self, server_id):
        """Keep little of what was known of a server before it restarted.

        :param server_id: the server.
        """
        known = self._estimates.get(server_id)
        if known is not None:
            known.weaken()

    def expire(self, now_s):
        """Forget how slow servers were that nobody has tried since.

        :param now_s: monotonic time in seconds.
        """
        former_s = now_s if self._forgot_s is None else self._forgot_s
        self._forgot_s = now_s
        typical = self._typical()[0]
        kept = typical + math.log(KEPT_SLOWER)
        for server_id, known in self._estimates.items():
            if known.base.level <= kept:
                continue
            score = _shared_rate.rendezvous_score(self.own_id, server_id)
            patience_s = MIN_PATIENCE_S + PATIENCE_SPREAD_S * score
            begins_s = max(former_s, known.sampled_s + patience_s)
            if now_s > begins_s:
                left = 0.5 ** ((now_s - begins_s) / FORGET_HALF_LIFE_S)
                known.base.level = max(
                    kept, typical + (known.base.level - typical) * left
                )
                self._medians = None

    def spread(self):
        """Lowest, median and highest slowdown of the known servers."""
        levels = [known.base.level for known in self._estimates.values()]
        levels = levels or [self._typical()[0]]
        found = (min(levels), statistics.median(levels), max(levels))
        return tuple(math.exp(level) for level in found)

    def take_changes(self, now_s):
        """Return slowdowns that have changed by a factor since the last call.

        :param now_s: monotonic time in seconds.
        :returns: list of :class:`SpeedChange`.
        """
        changes = []
        for server_id, known in self._estimates.items():
            if known.base.weight < MAX_WEIGHT:
                continue
            former = known.logged
            if former is None:
                former = self._typical()[0]
            is_due = now_s - known.logged_s >= LOG_PERIOD_S
            if is_due and abs(known.base.level - former) >= math.log(
                LOGGED_FACTOR
            ):
                change = SpeedChange(
                    server_id,
                    known.born_ms,
                    math.exp(former),
                    math.exp(known.base.level),
                )
                known.logged, known.logged_s = known.base.level, now_s
                changes.append(change)
        return changes
