"""Sink that sends a response over a link to the origin entry VM."""

import asyncio

from buckthorntack.entry import _errors
from buckthorntack.schema import messages

#: Maximum size of one message with a part of the response body.
PART_BYTES = 65536
#: Maximum number of parts sent but not acknowledged.
WINDOW_PARTS = 64
#: Delay before a part that the link refused is sent again.
RETRY_DELAY_SECONDS = 0.02


class LinkSink:
    """Sink that sends one response in numbered parts with flow control.

    :param forward_id: id of the forwarded request.
    :param origin: node id of the entry VM that forwarded the request.
    :param sender: sender of messages to other nodes.
    :param idle_timeout_s: seconds without progress after which sending fails.
    """

    def __init__(self, forward_id, origin, sender, idle_timeout_s):
        self.forward_id = forward_id
        self.origin = origin
        self.sender = sender
        self.idle_timeout_s = idle_timeout_s
        self.started = False
        self.sequence = 0
        self._acknowledged = 0
        self._window_update = asyncio.Event()

    def acknowledge(self, sequence):
        """Record how many parts the origin has processed.

        :param sequence: number of processed parts.
        """
        self._acknowledged = max(self._acknowledged, sequence)
        self._window_update.set()

    async def start(self, status, headers, attempt_id):
        """Send the head of the response.

        :param status: HTTP status code.
        :param headers: pairs of name and value.
        :param attempt_id: id of the attempt that responds, or empty.
        """
        self.started = True
        header_messages = [messages.ForwardHeader(*pair) for pair in headers]
        await self._send(
            messages.ForwardHead(
                forward_id=self.forward_id,
                sequence=self.sequence,
                status=status,
                headers=header_messages,
                attempt_id=attempt_id,
            )
        )

    async def write(self, data):
        """Send a part of the body.

        :param data: the bytes.
        """
        for offset in range(0, len(data), PART_BYTES):
            part = data[offset : offset + PART_BYTES]
            await self._send(
                messages.ForwardChunk(self.forward_id, self.sequence, part)
            )

    async def finish(self):
        """Send the end of a complete response."""
        await self._send(
            messages.ForwardEnd(
                forward_id=self.forward_id,
                sequence=self.sequence,
                error_number=0,
                error_kind="",
                error_detail="",
                remedy="",
                status=200,
                run_state="ran",
                retry_after_ms=0,
            )
        )

    async def fail(self, error):
        """Send an error in place of the rest of the response.

        :param error: the ``GatewayError``.
        """
        await self._send(
            messages.ForwardEnd(
                forward_id=self.forward_id,
                sequence=self.sequence,
                error_number=error.number,
                error_kind=error.kind,
                error_detail=error.detail,
                remedy=error.remedy,
                status=error.status,
                run_state=error.run_state.value,
                retry_after_ms=error.retry_after_ms or 0,
            )
        )

    async def _send(self, message):
        async with asyncio.timeout(self.idle_timeout_s) as limit:
            try:
                await self._wait_for_credit()
                await self._send_with_retries(message)
            except asyncio.CancelledError:
                if limit.expired():
                    detail = f"{self.origin} no longer receives the response"
                    raise _errors.ForwardingLostError(detail) from None
                raise
        self.sequence += 1

    async def _send_with_retries(self, message):
        while not self.sender.send(self.origin, message):  # noqa: ASYNC110
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _wait_for_credit(self):
        while self.sequence - self._acknowledged >= WINDOW_PARTS:
            self._window_update.clear()
            await self._window_update.wait()
