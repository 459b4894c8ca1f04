"""Sends an answer back over a link to the entry VM that asked."""

import asyncio

from buckthorntack.entry import _errors
from buckthorntack.schema import messages

PART_BYTES = 65536
#: Parts that may be on their way without having been acknowledged.
WINDOW_PARTS = 64
RETRY_SECONDS = 0.02


class LinkSink:
    """Sends one answer in numbered parts, with flow control.

    :param forward_id: names the hand-over.
    :param origin: node that asked.
    :param sender: sends messages.
    :param patience_s: seconds without progress after which it gives up.
    """

    def __init__(self, forward_id, origin, sender, patience_s):
        self.forward_id = forward_id
        self.origin = origin
        self.sender = sender
        self.patience_s = patience_s
        self.started = False
        self.sequence = 0
        self._acknowledged = 0
        self._credit = asyncio.Event()

    def acknowledge(self, sequence):
        """Take note of the parts that the origin has handed on.

        :param sequence: their number.
        """
        self._acknowledged = max(self._acknowledged, sequence)
        self._credit.set()

    async def start(self, status, headers, attempt_id):
        """Send the head.

        :param status: HTTP status.
        :param headers: pairs of name and value.
        :param attempt_id: attempt that gives the answer, or empty.
        """
        self.started = True
        told = [messages.ForwardHeader(*pair) for pair in headers]
        await self._send(
            messages.ForwardHead(
                forward_id=self.forward_id,
                sequence=self.sequence,
                status=status,
                headers=told,
                attempt_id=attempt_id,
            )
        )

    async def write(self, data):
        """Send a part of the body.

        :param data: the bytes.
        """
        for begin in range(0, len(data), PART_BYTES):
            part = data[begin : begin + PART_BYTES]
            await self._send(
                messages.ForwardChunk(self.forward_id, self.sequence, part)
            )

    async def finish(self):
        """Send the end of a whole answer."""
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
        """Send an error in place of the rest of the answer.

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
        async with asyncio.timeout(self.patience_s) as limit:
            try:
                await self._wait_for_credit()
                await self._send_until_taken(message)
            except asyncio.CancelledError:
                if limit.expired():
                    detail = f"{self.origin} takes no more of the answer"
                    raise _errors.ForwardingLostError(detail) from None
                raise
        self.sequence += 1

    async def _send_until_taken(self, message):
        while not self.sender.send(self.origin, message):  # noqa: ASYNC110
            await asyncio.sleep(RETRY_SECONDS)

    async def _wait_for_credit(self):
        while self.sequence - self._acknowledged >= WINDOW_PARTS:
            self._credit.clear()
            await self._credit.wait()
