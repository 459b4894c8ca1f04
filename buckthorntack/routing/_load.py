"""Load of a place, from lagging reports and own requests in flight."""

import collections
import math

#: Weight of a new sample in learnt averages.
SAMPLE_WEIGHT = 0.1
#: Weight of a new sample of the speed, which varies more.
SPEED_WEIGHT = 0.03
#: Added to both sides of the ratio, so that short work says little.
SPEED_PRIOR_S = 0.2
#: Bounds of the learnt ratio of observed to expected work time.
LEAST_SLOWNESS = 0.5
MOST_SLOWNESS = 8.0
#: Own starts and ends kept apart until a report covers them.
MOST_CHANGES = 512


class Attempt:
    """An own attempt in flight."""

    __slots__ = (
        "isolated",
        "prefill_s",
        "started_s",
        "wait_s",
        "waits",
        "work_s",
    )

    def __init__(self, started_s, prefill_s, work_s, wait_s, isolated):
        self.started_s = started_s
        #: Work on its prompt, which others wait for.
        self.prefill_s = prefill_s
        #: Work expected for its first token at normal speed.
        self.work_s = work_s
        #: Time expected before that work begins.
        self.wait_s = wait_s
        #: Whether its first byte is yet to come.
        self.waits = True
        self.isolated = isolated


class LoadEstimate:
    """Requests at a place, its speed, and own attempts there.

    :param settings: ``RouterSettings``.
    """

    def __init__(self, settings):
        self.settings = settings
        self.attempts = {}
        #: Servers that share the work on prompts.
        self.servers = 1
        self.slowness = 1.0
        self.service_time_s = settings.service_time_ms / 1e3
        self._tokens_per_s = settings.prefill_tokens_per_second
        self._overhead_s = settings.request_overhead_ms / 1e3
        self._batch_s = settings.batch_delay_ms / 1e3
        self._reported = 0
        self._measured_s = -math.inf
        self._stale_s = -math.inf
        self._changes = collections.deque()
        self._changed = 0
        self._waiting = 0
        self._backlog_until_s = -math.inf
        self._observed_s = 0.0
        self._expected_s = 0.0

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
        self._stale_s = measured_s + self.settings.stale_load_ms / 1e3
        changes = self._changes
        while changes and changes[0][0] <= measured_s:
            self._changed -= changes.popleft()[1]

    def requests(self, now_s):
        """Estimate the requests there.

        :param now_s: the time.
        :returns: requests running or waiting; never below the own ones.
        """
        reported = self._reported
        if now_s > self._stale_s:
            late_s = now_s - self._stale_s
            stale_s = self.settings.stale_load_ms / 1e3
            reported *= 0.5 ** min(late_s / stale_s, 20.0)
        estimate = reported + self._changed
        own = len(self.attempts)
        return estimate if estimate > own else own

    def started(self, attempt_id, attempt):
        """Note the start of an own attempt.

        :param attempt_id: its id.
        :param attempt: the ``Attempt``.
        """
        self.attempts[attempt_id] = attempt
        self._waiting += 1
        start_s = max(self._backlog_until_s, attempt.started_s)
        prefill_s = attempt.prefill_s * self.slowness / self.servers
        self._backlog_until_s = start_s + prefill_s
        self._change(attempt.started_s, 1)

    def first_byte(self, attempt_id, now_s):
        """Note the first byte of an own attempt, and learn the speed.

        :param attempt_id: its id.
        :param now_s: the time.
        """
        attempt = self.attempts.get(attempt_id)
        if attempt is None or not attempt.waits:
            return
        self._leave(attempt, now_s)
        observed_s = now_s - attempt.started_s - attempt.wait_s
        observed_s = max(observed_s, 0.0)
        gain_s = (observed_s - self._observed_s) * SPEED_WEIGHT
        self._observed_s += gain_s
        gain_s = (attempt.work_s - self._expected_s) * SPEED_WEIGHT
        self._expected_s += gain_s
        expected_s = self._expected_s + SPEED_PRIOR_S
        ratio = (self._observed_s + SPEED_PRIOR_S) / expected_s
        self.slowness = min(max(ratio, LEAST_SLOWNESS), MOST_SLOWNESS)

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
        if attempt.waits:
            self._leave(attempt, now_s)
        if whole:
            held_s = now_s - attempt.started_s
            gain_s = (held_s - self.service_time_s) * SAMPLE_WEIGHT
            self.service_time_s += gain_s
        self._change(now_s, -1)
        return attempt

    def prefill_s(self, tokens):
        """Expect the work on a prompt, at normal speed.

        :param tokens: prompt tokens that are not cached.
        :returns: seconds.
        """
        return tokens / self._tokens_per_s + self._overhead_s

    def work_s(self, slots, tokens, load):
        """Expect the work for the first token, at normal speed.

        :param slots: requests that run at once, here.
        :param tokens: prompt tokens that are not cached.
        :param load: what :meth:`requests` gave.
        :returns: seconds.
        """
        batch_s = self._batch_s
        if load < slots:
            batch_s *= load / slots
        return self.prefill_s(tokens) + batch_s

    def wait_s(self, slots, load, now_s):
        """Expect the time before work for a new request begins.

        :param slots: requests that run at once, here.
        :param load: what :meth:`requests` gave.
        :param now_s: the time.
        :returns: seconds.
        """
        wait_s = self._backlog_until_s - now_s
        if wait_s < 0.0:
            wait_s = 0.0
        waiting = load + 1 - slots
        if waiting > 0:
            wait_s += waiting / slots * self.service_time_s
        return wait_s

    def first_token_s(self, slots, tokens, load, now_s):
        """Expect the time to the first token.

        :param slots: requests that run at once, here.
        :param tokens: prompt tokens that are not cached.
        :param load: what :meth:`requests` gave.
        :param now_s: the time.
        :returns: seconds.
        """
        work_s = self.work_s(slots, tokens, load)
        return self.slowness * work_s + self.wait_s(slots, load, now_s)

    def _leave(self, attempt, now_s):
        attempt.waits = False
        self._waiting -= 1
        if not self._waiting:
            self._backlog_until_s = now_s

    def _change(self, now_s, change):
        changes = self._changes
        changes.append((now_s, change))
        self._changed += change
        if len(changes) > MOST_CHANGES:
            _, oldest = changes.popleft()
            time_s, second = changes.popleft()
            changes.appendleft((time_s, oldest + second))
