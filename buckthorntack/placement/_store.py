"""Limits on loads from the weight store."""


class WeightStoreBudget:
    """Limit on the number and the rate of loads from the weight store.

    :param bytes_per_second: rate of the weight store.
    :param concurrent_loads: largest number of loads at once.
    """

    def __init__(self, bytes_per_second, concurrent_loads):
        self.bytes_per_second = bytes_per_second
        self.concurrent_loads = concurrent_loads
        self._free_at_ms = 0

    def load_ms(self, weights_bytes):
        """Estimate the time to read weights from the store.

        :param weights_bytes: size of the weights.
        :returns: milliseconds.
        """
        return int(weights_bytes * 1000 / self.bytes_per_second)

    def can_start_load(self, weights_bytes, loading, now_ms):
        """Whether a load may start.

        :param weights_bytes: size of the weights.
        :param loading: number of loads in progress.
        :param now_ms: monotonic time.
        """
        if loading >= self.concurrent_loads:
            return False
        ahead_ms = self.load_ms(weights_bytes) * (self.concurrent_loads - 1)
        return self._free_at_ms <= now_ms + ahead_ms

    def record_load(self, weights_bytes, now_ms):
        """Record the start of a load.

        :param weights_bytes: size of the weights.
        :param now_ms: monotonic time.
        """
        begin_ms = max(self._free_at_ms, now_ms)
        self._free_at_ms = begin_ms + self.load_ms(weights_bytes)
