"""A relay on loopback that delays, cuts, resets or silences connections."""

import asyncio
import contextlib

from buckthorntack import transport

_PART_BYTES = 65536
#: Pause of a direction that is held up, between two looks at it.
_HOLD_S = 0.02


class Proxy:
    """Relays one public address to a private one.

    :param public: IP address and port that others use.
    :param private: where the process listens.
    """

    def __init__(self, public, private):
        self.public = public
        self.private = private
        self.delay_s = 0.0
        #: Directions that are held up: ``in`` and ``out``; nothing is lost.
        self.held = set()
        #: Connections that are silent for good, while new ones work.
        self._silent = set()
        self._open = set()
        self._server = None

    async def __aenter__(self):
        host, _, port = self.public.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()
        self.reset()

    def reset(self, is_chosen=lambda: True):
        """Reset open connections.

        :param is_chosen: function that returns whether to reset the next one.
        """
        for writers in list(self._open):
            if not is_chosen():
                continue
            for writer in writers:
                _reset(writer)

    def silence(self):
        """Let all open connections go silent for good."""
        self._silent |= self._open

    async def _serve(self, reader, writer):
        host, _, port = self.private.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _reset(writer)
            return
        pair = (writer, far_writer)
        self._open.add(pair)
        try:
            await asyncio.gather(
                self._relay(reader, far_writer, pair, "in"),
                self._relay(far_reader, writer, pair, "out"),
            )
        finally:
            self._open.discard(pair)
            self._silent.discard(pair)
            for each in pair:
                each.transport.abort()

    async def _while_held(self, pair, direction):
        while pair in self._silent or direction in self.held:  # noqa: ASYNC110
            await asyncio.sleep(_HOLD_S)

    async def _relay(self, reader, writer, pair, direction):
        with contextlib.suppress(OSError):
            while data := await reader.read(_PART_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self._while_held(pair, direction)
                writer.write(data)
                await writer.drain()
            if pair not in self._silent:
                writer.write_eof()
                return
        for each in pair:
            _reset(each)


def _reset(writer):
    """Reset a connection, as its other side was reset."""
    transport.set_reset_on_close(writer.transport, True)
    writer.transport.abort()
