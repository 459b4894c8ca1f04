"""Metrics in the text format of Prometheus."""

import prometheus_client


def metrics_handler(registry):
    """Handler that answers with all metrics of a registry.

    :param registry: ``prometheus_client.CollectorRegistry``.
    :returns: coroutine function of a request and a reply.
    """

    async def handle(request, reply):
        body = prometheus_client.generate_latest(registry)
        kind = prometheus_client.CONTENT_TYPE_LATEST.encode()
        reply.send(200, [(b"Content-Type", kind)], body)

    return handle
