"""HTTP listeners on uvicorn that stop gracefully."""

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
#: An idle connection is kept for longer than clients usually keep theirs, so
#: that none is closed just as its client uses it again.
KEEP_ALIVE_SECONDS = 75


def mounted_app(handle):
    """Application that leaves all paths to one ASGI function.

    The path of the scope is that of the request, without the changes that
    mounting makes to it.

    :param handle: the function.
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
    """uvicorn without signal handlers: the process owns them."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Leave signals to the process."""
        yield


class HttpListener:
    """Serves an ASGI application until its context ends.

    Leaving the context is graceful: no new connections are taken, and
    requests in progress are answered to their end.

    :param app: ASGI application.
    :param listener: bound socket; owned from here on.
    :param certificate_file: TLS certificate chain, or ``None``.
    :param private_key_file: key of the certificate, or ``None``.
    :param header_bytes: largest request head.
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
        self._serving = None
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
        self._serving = asyncio.create_task(
            self._server.serve(sockets=[self.listener])
        )
        while not self._server.started:
            if self._serving.done():
                self._serving.result()
            await asyncio.sleep(START_POLL_SECONDS)
        self._log.write(_events.HTTP_LISTENING, url=self.url)
        return self

    async def __aexit__(self, *exc_info):
        await self.stop()

    async def stop(self):
        """Take no new connections and finish the requests in progress."""
        self._server.should_exit = True
        await asyncio.shield(self._serving)

    async def kill(self):
        """Drop all connections at once, as a crash would."""
        self._server.should_exit = True
        self._server.force_exit = True
        for server in self._server.servers:
            server.close()
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()
        await self._serving
