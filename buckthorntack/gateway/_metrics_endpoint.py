"""HTTP endpoint of the metrics in the Prometheus text format."""

import prometheus_client


def make_metrics_handler(registry):
    """Return a handler that responds with all metrics of a registry.

    :param registry: ``prometheus_client.CollectorRegistry``.
    :returns: coroutine function that takes a request and a reply.
    """

    async def handle(request, reply):
        body = prometheus_client.generate_latest(registry)
        content_type = prometheus_client.CONTENT_TYPE_LATEST.encode()
        reply.send(200, [(b"Content-Type", content_type)], body)

    return handle
