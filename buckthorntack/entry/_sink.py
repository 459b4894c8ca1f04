"""Interface for sending a response, and its implementation for callers."""

from typing import Protocol


class Sink(Protocol):
    """Receiver of one response."""

    #: Whether the head of the response was sent.
    started: bool

    async def start(self, status, headers, attempt_id):
        """Send the head of the response.

        :param status: HTTP status code.
        :param headers: pairs of name and value.
        :param attempt_id: id of the attempt that responds, or empty.
        """

    async def write(self, data):
        """Send a part of the body.

        :param data: the bytes.
        """

    async def finish(self):
        """Send the end of a complete response."""


class CallerSink:
    """Sink that sends a response to a caller through ASGI.

    :param send: ASGI send function.
    :param request_id: id of the request, sent in a header.
    :param planned_stop: the ``PlannedStop``; responses announce the end of
        their connections during it.
    """

    def __init__(self, send, request_id, planned_stop):
        self.send = send
        self.request_id = request_id
        self.planned_stop = planned_stop
        self.started = False

    async def start(self, status, headers, attempt_id):
        """Send the head of the response.

        :param status: HTTP status code.
        :param headers: pairs of name and value.
        :param attempt_id: id of the attempt that responds, or empty.
        """
        all_headers = [*headers, ("x-request-id", self.request_id)]
        if attempt_id:
            all_headers.append(("x-attempt-id", attempt_id))
        if self.planned_stop.is_stopping:
            all_headers.append(("connection", "close"))
        pairs = [
            (name.encode(), value.encode()) for name, value in all_headers
        ]
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
        """Send the end of a complete response."""
        await self.send({"type": "http.response.body", "body": b""})
