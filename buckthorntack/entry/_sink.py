"""Where an answer goes: to a caller here, or back to another region."""

from typing import Protocol


class Sink(Protocol):
    """Takes one answer."""

    #: Whether the head of the answer was sent.
    started: bool

    async def start(self, status, headers, attempt_id):
        """Send the head.

        :param status: HTTP status.
        :param headers: pairs of name and value.
        :param attempt_id: attempt that gives the answer, or empty.
        """

    async def write(self, data):
        """Send a part of the body.

        :param data: the bytes.
        """

    async def finish(self):
        """Send the end of a whole answer."""


class CallerSink:
    """Sends an answer to a caller by ASGI.

    :param send: ASGI send.
    :param request_id: told in a header.
    """

    def __init__(self, send, request_id):
        self.send = send
        self.request_id = request_id
        self.started = False

    async def start(self, status, headers, attempt_id):
        """Send the head.

        :param status: HTTP status.
        :param headers: pairs of name and value.
        :param attempt_id: attempt that gives the answer, or empty.
        """
        told = [*headers, ("x-request-id", self.request_id)]
        if attempt_id:
            told.append(("x-attempt-id", attempt_id))
        pairs = [(name.encode(), value.encode()) for name, value in told]
        self.started = True
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": pairs,
            }
        )

    async def write(self, data):
        """Send a part of the body.

        :param data: the bytes.
        """
        await self.send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self):
        """Send the end of a whole answer."""
        await self.send({"type": "http.response.body", "body": b""})
