"""HTTP application for metrics, health and readiness."""

import litestar
import prometheus_client


class MonitoringApp:
    """Endpoints for monitoring systems.

    :param registry: Prometheus registry of the node's metrics.
    :param is_ready: function that returns whether the node accepts requests.
    """

    def __init__(self, registry, is_ready):
        self.registry = registry
        self.is_ready = is_ready

    def asgi(self):
        """Create the ASGI application."""

        @litestar.get("/metrics", media_type="text/plain")
        async def metrics() -> bytes:
            return prometheus_client.generate_latest(self.registry)

        @litestar.get("/healthz", media_type="text/plain")
        async def health() -> str:
            return "ok"

        @litestar.get("/readyz", media_type="text/plain")
        async def readiness() -> litestar.Response:
            if self.is_ready():
                return litestar.Response("ready", media_type="text/plain")
            return litestar.Response(
                "not ready", status_code=503, media_type="text/plain"
            )

        return litestar.Litestar(
            [metrics, health, readiness],
            openapi_config=None,
            logging_config=None,
        )
