"""Load estimates from delayed reports and local attempts in flight.

A target is a backend server or another failure domain.  Local attempts are
those that this entry VM sent to it.
"""

import collections
import math

#: Weight of a new sample in the moving average of the service time.
SERVICE_TIME_SAMPLE_WEIGHT = 0.1
#: Weight of a new sample in the moving averages behind the slowdown; lower
#: than that of the service time, as the slowdown varies more.
SLOWDOWN_SAMPLE_WEIGHT = 0.03
#: Added to both sides of the slowdown ratio, so that short work changes it
#: little.
SLOWDOWN_PRIOR_S = 0.2
#: Lower bound of the slowdown, the ratio of observed to expected work time.
MIN_SLOWDOWN = 0.5
#: Upper bound of the slowdown.
MAX_SLOWDOWN = 8.0
#: Starts and ends of local attempts kept one by one until a load report
#: covers them; beyond this number the oldest are merged.
MAX_LOAD_CHANGES = 512


class Attempt:
    """A local attempt in flight."""

    __slots__ = (
        "is_waiting",
        "isolated",
        "prefill_s",
        "started_s",
        "wait_s",
        "work_s",
    )

    def __init__(self, started_s, prefill_s, work_s, wait_s, isolated):
        self.started_s = started_s
        #: Expected prefill time, for which later attempts queue.
        self.prefill_s = prefill_s
        #: Expected time from start of work to first token, without slowdown.
        self.work_s = work_s
        #: Expected queueing time before the work begins.
        self.wait_s = wait_s
        #: Whether no byte of the answer has arrived yet.
        self.is_waiting = True
        self.isolated = isolated


class LoadEstimate:
    """Estimated load and speed of one target, and the local attempts on it.

    :param settings: ``RouterSettings``.
    """

    def __init__(self, settings):
        self.settings = settings
        self.attempts = {}
        #: Servers of the target that share the prefill work.
        self.servers = 1
        self.slowdown = 1.0
        self.service_time_s = settings.service_time_ms / 1e3
        self._tokens_per_s = settings.prefill_tokens_per_second
        self._overhead_s = settings.request_overhead_ms / 1e3
        self._batch_s = settings.batch_delay_ms / 1e3
        self._reported_requests = 0
        self._measured_s = -math.inf
        self._stale_from_s = -math.inf
        self._recent_changes = collections.deque()
        self._net_change = 0
        self._waiting_attempts = 0
        self._backlog_until_s = -math.inf
        self._mean_observed_s = 0.0
        self._mean_expected_s = 0.0

    def record_report(self, requests, measured_s):
        """Record a load report; ignore it if a newer one is known.

        Local attempts that started or ended after the measurement are added
        to or subtracted from the reported number.

        :param requests: requests running or waiting at the target.
        :param measured_s: monotonic time of the measurement, seconds.
        """
        if measured_s < self._measured_s:
            return
        self._reported_requests = requests
        self._measured_s = measured_s
        self._stale_from_s = measured_s + self.settings.stale_load_ms / 1e3
        changes = self._recent_changes
        while changes and changes[0][0] <= measured_s:
            self._net_change -= changes.popleft()[1]

    def estimate_requests(self, now_s):
        """Estimate the number of requests at the target.

        A stale report counts less the older it is.

        :param now_s: current monotonic time, seconds.
        :returns: requests running or waiting; at least the local attempts.
        """
        reported = self._reported_requests
        if now_s > self._stale_from_s:
            overdue_s = now_s - self._stale_from_s
            stale_s = self.settings.stale_load_ms / 1e3
            reported *= 0.5 ** min(overdue_s / stale_s, 20.0)
        estimate = reported + self._net_change
        own = len(self.attempts)
        return estimate if estimate > own else own

    def add_attempt(self, attempt_id, attempt):
        """Add a local attempt that started.

        :param attempt_id: its id.
        :param attempt: the ``Attempt``.
        """
        self.attempts[attempt_id] = attempt
        self._waiting_attempts += 1
        start_s = max(self._backlog_until_s, attempt.started_s)
        prefill_s = attempt.prefill_s * self.slowdown / self.servers
        self._backlog_until_s = start_s + prefill_s
        self._record_change(attempt.started_s, 1)

    def record_first_byte(self, attempt_id, now_s):
        """Record the first byte of a local attempt; update the slowdown.

        :param attempt_id: its id.
        :param now_s: current monotonic time, seconds.
        """
        attempt = self.attempts.get(attempt_id)
        if attempt is None or not attempt.is_waiting:
            return
        self._end_wait(attempt, now_s)
        observed_s = now_s - attempt.started_s - attempt.wait_s
        observed_s = max(observed_s, 0.0)
        gain_s = (observed_s - self._mean_observed_s) * SLOWDOWN_SAMPLE_WEIGHT
        self._mean_observed_s += gain_s
        gain_s = (
            attempt.work_s - self._mean_expected_s
        ) * SLOWDOWN_SAMPLE_WEIGHT
        self._mean_expected_s += gain_s
        expected_s = self._mean_expected_s + SLOWDOWN_PRIOR_S
        ratio = (self._mean_observed_s + SLOWDOWN_PRIOR_S) / expected_s
        self.slowdown = min(max(ratio, MIN_SLOWDOWN), MAX_SLOWDOWN)

    def remove_attempt(self, attempt_id, now_s, completed):
        """Remove a local attempt that ended.

        :param attempt_id: its id.
        :param now_s: current monotonic time, seconds.
        :param completed: whether it ran to completion; only then is its
            duration a sample of the service time.
        :returns: the ``Attempt``, or None if the id is unknown.
        """
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        if attempt.is_waiting:
            self._end_wait(attempt, now_s)
        if completed:
            duration_s = now_s - attempt.started_s
            gain_s = (
                duration_s - self.service_time_s
            ) * SERVICE_TIME_SAMPLE_WEIGHT
            self.service_time_s += gain_s
        self._record_change(now_s, -1)
        return attempt

    def estimate_prefill_s(self, tokens):
        """Estimate the prefill time of a prompt, without slowdown.

        :param tokens: prompt tokens that are not cached.
        :returns: seconds.
        """
        return tokens / self._tokens_per_s + self._overhead_s

    def estimate_work_s(self, slots, tokens, load):
        """Estimate the time from start of work to first token.

        The slowdown is left out.

        :param slots: requests that the target runs concurrently.
        :param tokens: prompt tokens that are not cached.
        :param load: number of requests from :meth:`estimate_requests`.
        :returns: seconds.
        """
        batch_s = self._batch_s
        if load < slots:
            batch_s *= load / slots
        return self.estimate_prefill_s(tokens) + batch_s

    def estimate_wait_s(self, slots, load, now_s):
        """Estimate the queueing time of a new request.

        :param slots: requests that the target runs concurrently.
        :param load: number of requests from :meth:`estimate_requests`.
        :param now_s: current monotonic time, seconds.
        :returns: seconds.
        """
        wait_s = self._backlog_until_s - now_s
        if wait_s < 0.0:
            wait_s = 0.0
        waiting = load + 1 - slots
        if waiting > 0:
            wait_s += waiting / slots * self.service_time_s
        return wait_s

    def estimate_ttft_s(self, slots, tokens, load, now_s):
        """Estimate the time to first token of a new request.

        :param slots: requests that the target runs concurrently.
        :param tokens: prompt tokens that are not cached.
        :param load: number of requests from :meth:`estimate_requests`.
        :param now_s: current monotonic time, seconds.
        :returns: seconds.
        """
        work_s = self.estimate_work_s(slots, tokens, load)
        return self.slowdown * work_s + self.estimate_wait_s(
            slots, load, now_s
        )

    def _end_wait(self, attempt, now_s):
        attempt.is_waiting = False
        self._waiting_attempts -= 1
        if not self._waiting_attempts:
            self._backlog_until_s = now_s

    def _record_change(self, now_s, change):
        changes = self._recent_changes
        changes.append((now_s, change))
        self._net_change += change
        if len(changes) > MAX_LOAD_CHANGES:
            _, oldest = changes.popleft()
            time_s, second = changes.popleft()
            changes.appendleft((time_s, oldest + second))
