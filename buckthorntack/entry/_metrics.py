"""Prometheus metrics of the entry role."""

import prometheus_client


class EntryMetrics:
    """Counters of requests and gauges of an entry VM.

    :param registry: Prometheus registry for the metrics.
    """

    def __init__(self, registry):
        self.registry = registry
        self._responses = prometheus_client.Counter(
            "buckthorntack_requests_answered",
            "Callers' requests with a complete response.",
            ["method"],
            registry=registry,
        )
        self._refusals = prometheus_client.Counter(
            "buckthorntack_requests_refused",
            "Callers' requests that ended with an error.",
            ["kind", "run_state"],
            registry=registry,
        )

    def register_gauge(self, name, help_text, read):
        """Register a gauge whose value is read at each scrape.

        :param name: name of the metric without the prefix ``buckthorntack_``.
        :param help_text: help text of the metric.
        :param read: function that returns the current value.
        """
        gauge = prometheus_client.Gauge(
            f"buckthorntack_{name}", help_text, registry=self.registry
        )
        gauge.set_function(read)

    def record_response(self, method):
        """Count a request with a complete response.

        :param method: HTTP method of the request.
        """
        self._responses.labels(method).inc()

    def record_refusal(self, error):
        """Count a request that ended with an error.

        :param error: the ``GatewayError``.
        """
        self._refusals.labels(error.kind, error.run_state.value).inc()
