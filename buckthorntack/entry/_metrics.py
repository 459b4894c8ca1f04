"""Prometheus metrics of the entry role."""

import prometheus_client


class EntryMetrics:
    """Counts requests.

    :param registry: where the metrics are registered.
    """

    def __init__(self, registry):
        self.registry = registry
        self._answered = prometheus_client.Counter(
            "buckthorntack_requests_answered",
            "Callers' requests answered whole.",
            ["method"],
            registry=registry,
        )
        self._refused = prometheus_client.Counter(
            "buckthorntack_requests_refused",
            "Callers' requests answered with an error.",
            ["kind", "run_state"],
            registry=registry,
        )

    def watch(self, name, meaning, read):
        """Show a value as it is when it is asked for.

        :param name: name of the metric, without the program's.
        :param meaning: its help text.
        :param read: gives the value.
        """
        gauge = prometheus_client.Gauge(
            f"buckthorntack_{name}", meaning, registry=self.registry
        )
        gauge.set_function(read)

    def answered(self, method):
        """Count a request that was answered whole.

        :param method: HTTP method.
        """
        self._answered.labels(method).inc()

    def refused(self, error):
        """Count a request that was answered with an error.

        :param error: the ``GatewayError``.
        """
        self._refused.labels(error.kind, error.run_state.value).inc()
