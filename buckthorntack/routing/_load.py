"""Load of a place, from lagging reports and own requests in flight."""

import collections
import math

#: Weight of a new sample in learnt averages.
SAMPLE_WEIGHT = 0.1
#: Bounds of the learnt ratio of observed to predicted time.
LEAST_SLOWNESS = 0.25
MOST_SLOWNESS = 8.0
#: Own starts and ends kept apart until a report covers them.
MOST_CHANGES = 512


class Attempt:
    """An own attempt in flight."""

    __slots__ = ("isolated", "pending_tokens", "predicted_s", "started_s")

    def __init__(self, started_s, pending_tokens, predicted_s, isolated):
        self.started_s = started_s
        self.pending_tokens = pending_tokens
        self.predicted_s = predicted_s
        self.isolated = isolated


class LoadEstimate:
    """Requests at a place, its speed, and own attempts there.

    :param settings: ``RouterSettings``.
    """

    def __init__(self, settings):
        self.settings = settings
        self.attempts = {}
        self.pending_tokens = 0
        self.slowness = 1.0
        self.service_time_s = settings.service_time_ms / 1e3
        self._reported = 0
        self._measured_s = -math.inf
        self._changes = collections.deque()
        self._changed = 0

    def report(self, requests, measured_s):
        """Take a load report.

        Own starts and ends since it was measured still count.

        :param requests: requests running or waiting there.
        :param measured_s: when this was so.
        """
        if measured_s < self._measured_s:
            return
        self._reported = requests
        self._measured_s = measured_s
        changes = self._changes
        while changes and changes[0][0] <= measured_s:
            self._changed -= changes.popleft()[1]

    def requests(self, now_s):
        """Estimate the requests there.

        :param now_s: the time.
        :returns: requests running or waiting; never below the own ones.
        """
        stale_s = self.settings.stale_load_ms / 1e3
        late_s = now_s - self._measured_s - stale_s
        reported = self._reported
        if late_s > 0:
            reported *= 0.5 ** min(late_s / stale_s, 20.0)
        return max(len(self.attempts), reported + self._changed)

    def started(self, attempt_id, attempt):
        """Note the start of an own attempt.

        :param attempt_id: its id.
        :param attempt: the ``Attempt``.
        """
        self.attempts[attempt_id] = attempt
        self.pending_tokens += attempt.pending_tokens
        self._change(attempt.started_s, 1)

    def first_byte(self, attempt_id, now_s):
        """Note the first byte of an own attempt, and learn the speed.

        :param attempt_id: its id.
        :param now_s: the time.
        """
        attempt = self.attempts.get(attempt_id)
        if attempt is None or attempt.predicted_s is None:
            return
        self.pending_tokens -= attempt.pending_tokens
        attempt.pending_tokens = 0
        ratio = (now_s - attempt.started_s) / max(attempt.predicted_s, 1e-3)
        ratio = min(max(ratio, LEAST_SLOWNESS), MOST_SLOWNESS)
        attempt.predicted_s = None
        self.slowness += (ratio * self.slowness - self.slowness) * (
            SAMPLE_WEIGHT
        )
        self.slowness = min(max(self.slowness, LEAST_SLOWNESS), MOST_SLOWNESS)

    def finished(self, attempt_id, now_s, whole):
        """Note the end of an own attempt.

        :param attempt_id: its id.
        :param now_s: the time.
        :param whole: whether it ran to its end.
        :returns: the ``Attempt``, or None if it is not known.
        """
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        self.pending_tokens -= attempt.pending_tokens
        if whole:
            held_s = now_s - attempt.started_s
            gain_s = (held_s - self.service_time_s) * SAMPLE_WEIGHT
            self.service_time_s += gain_s
        self._change(now_s, -1)
        return attempt

    def wait_s(self, slots, tokens, now_s):
        """Expect the time to the first token.

        :param slots: requests that run at once, here.
        :param tokens: prompt tokens that are not cached.
        :param now_s: the time.
        :returns: seconds.
        """
        settings = self.settings
        load = self.requests(now_s)
        rate = settings.prefill_tokens_per_second
        prefill_s = (tokens + self.pending_tokens) / rate
        batch_s = settings.batch_delay_ms / 1e3 * min(load / slots, 1.0)
        queue_s = max(0.0, load + 1 - slots) / slots * self.service_time_s
        return self.slowness * (prefill_s + batch_s) + queue_s

    def _change(self, now_s, change):
        changes = self._changes
        changes.append((now_s, change))
        self._changed += change
        if len(changes) > MOST_CHANGES:
            _, oldest = changes.popleft()
            time_s, second = changes.popleft()
            changes.appendleft((time_s, oldest + second))
