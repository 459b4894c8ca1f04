"""HTTP listeners on uvicorn with graceful shutdown."""

import asyncio
import contextlib
import urllib.parse

import litestar
from litestar import types
import uvicorn

from buckthorntack import events
from buckthorntack.transport import _events
from buckthorntack.transport import _sockets

BACKLOG_CONNECTIONS = 2048
START_POLL_SECONDS = 0.005
#: Longer than the idle timeout of most clients, so that the server does not
#: close a connection at the moment its client reuses it.
KEEP_ALIVE_SECONDS = 75


def mounted_app(handle):
    """Return an application that passes all paths to one ASGI function.

    The scope has the path of the request itself, as litestar changes the path
    of a mounted application.

    :param handle: ASGI function.
    :returns: a ``litestar.Litestar`` application.
    """

    @litestar.asgi("/", is_mount=True, copy_scope=False)
    async def mounted(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        path = urllib.parse.unquote_to_bytes(scope["raw_path"])
        scope["path"] = path.decode(errors="replace")
        await handle(scope, receive, send)

    return litestar.Litestar(
        [mounted], openapi_config=None, logging_config=None
    )


class _Server(uvicorn.Server):
    """uvicorn server that installs no signal handlers.

    The process that runs the server handles signals itself.
    """

    @contextlib.contextmanager
    def capture_signals(self):
        """Replace the signal handlers of uvicorn by an empty context."""
        yield


class HttpListener:
    """HTTP server for an ASGI application, as asynchronous context manager.

    Leaving the context is graceful: the server accepts no new connections and
    completes the requests in progress.

    :param app: ASGI application.
    :param listener: bound socket; the server closes it.
    :param certificate_file: TLS certificate chain, or ``None``.
    :param private_key_file: key of the certificate, or ``None``.
    :param header_bytes: maximum size of a request head; not enforced.
    """

    def __init__(
        self,
        app,
        listener,
        certificate_file=None,
        private_key_file=None,
        header_bytes=16384,
    ):
        self.app = app
        self.listener = listener
        self.certificate_file = certificate_file
        self.private_key_file = private_key_file
        self.header_bytes = header_bytes
        self._server = None
        self._serve_task = None
        self._log = events.EventLog("transport")

    @property
    def url(self):
        """Base URL of the listener."""
        scheme = "https" if self.certificate_file else "http"
        return _sockets.listener_url(self.listener, scheme)

    async def __aenter__(self):
        config = uvicorn.Config(
            self.app,
            lifespan="off",
            log_config=None,
            access_log=False,
            backlog=BACKLOG_CONNECTIONS,
            timeout_keep_alive=KEEP_ALIVE_SECONDS,
            http="httptools",
            ws="none",
            server_header=False,
            date_header=False,
            ssl_certfile=self.certificate_file,
            ssl_keyfile=self.private_key_file,
        )
        self._server = _Server(config)
        self._serve_task = asyncio.create_task(
            self._server.serve(sockets=[self.listener])
        )
        while not self._server.started:
            if self._serve_task.done():
                self._serve_task.result()
            await asyncio.sleep(START_POLL_SECONDS)
        self._log.write(_events.HTTP_LISTENING, url=self.url)
        return self

    async def __aexit__(self, *exc_info):
        await self.stop()

    async def stop(self):
        """Stop accepting connections and finish the requests in progress."""
        self._server.should_exit = True
        await asyncio.shield(self._serve_task)

    async def kill(self):
        """Abort all connections at once, to simulate a crash."""
        self._server.should_exit = True
        self._server.force_exit = True
        for server in self._server.servers:
            server.close()
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()
        await self._serve_task
