"""Counters and histograms of an entry VM."""

import prometheus_client

#: Bounds of latency histograms; objectives lie between 0.3 and 2 s.
SECONDS = (
    0.02,
    0.05,
    0.1,
    0.2,
    0.35,
    0.5,
    0.8,
    1.2,
    2.0,
    4.0,
    8.0,
)


class EntryMetrics:
    """What an entry VM counts.

    :param registry: ``prometheus_client.CollectorRegistry``.
    """

    def __init__(self, registry):
        self._ended = prometheus_client.Counter(
            "gateway_requests",
            "Requests that have ended.",
            ["kind", "status", "outcome"],
            registry=registry,
        )
        self._took = prometheus_client.Histogram(
            "gateway_request_seconds",
            "Time from the last byte of a request to its end.",
            ["kind"],
            buckets=SECONDS,
            registry=registry,
        )
        self._first = prometheus_client.Histogram(
            "gateway_first_byte_seconds",
            "Time from the last byte of a request to its answer's first.",
            ["kind"],
            buckets=SECONDS,
            registry=registry,
        )
        self._failed = prometheus_client.Counter(
            "gateway_failed_attempts",
            "Attempts at servers and regions that gave no whole answer.",
            ["result"],
            registry=registry,
        )

    def ended(self, kind, status, outcome, took_s):
        """Count a request.

        :param kind: kind of its route; empty if it has none.
        :param status: status of its answer; 0 if it got none.
        :param outcome: how it ended.
        :param took_s: how long it took.
        """
        self._ended.labels(kind, str(status), outcome).inc()
        self._took.labels(kind).observe(took_s)

    def first_byte(self, kind, first_s):
        """Count the first byte of an answer.

        :param kind: kind of the request's route.
        :param first_s: time since the request was read.
        """
        self._first.labels(kind).observe(first_s)

    def attempt_failed(self, result):
        """Count a failed attempt.

        :param result: what became of it.
        """
        self._failed.labels(result).inc()
