"""ZeroMQ authenticator that can be stopped and replaced at once."""

import asyncio

import zmq.auth


class LinkAuthenticator(zmq.auth.Authenticator):
    """Answers the authentication requests of a context, on the event loop.

    pyzmq's own authenticator for asyncio closes its socket first and removes
    the reader of its file descriptor some iterations of the loop later.  By
    then another socket may have the same descriptor, and is never read.

    :param context: the ZeroMQ context.
    """

    def __init__(self, context):
        super().__init__(context)
        self._readable = asyncio.Event()
        self._loop = None
        self._task = None

    def start(self):
        """Start to answer requests."""
        super().start()
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self.zap_socket.FD, self._readable.set)
        self._task = asyncio.create_task(self._answer_requests())

    def stop(self):
        """Stop to answer requests and close the socket."""
        self._loop.remove_reader(self.zap_socket.FD)
        self._task.cancel()
        super().stop()

    async def _answer_requests(self):
        while True:
            # The descriptor tells of changes only, so all requests are read.
            while self.zap_socket.EVENTS & zmq.POLLIN:
                request = self.zap_socket.recv_multipart()
                await self.handle_zap_message(request)
            await self._readable.wait()
            self._readable.clear()
