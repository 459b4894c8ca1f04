"""Hands requests to entry VMs of other failure domains, and takes them."""

import asyncio
import functools

from buckthorntack import clock as clocks
from buckthorntack import errors
from buckthorntack import retries
from buckthorntack.entry import _attempt
from buckthorntack.entry import _errors
from buckthorntack.entry import _relay
from buckthorntack.schema import messages

BODY_PART_BYTES = 65536
#: Parts after which the answering side is told of progress.
CREDIT_PARTS = 16
BODY_RETRY_SECONDS = 0.01


class Outgoing:
    """One hand-over, as its origin sees it."""

    def __init__(self, forward_id, node_id):
        self.forward_id = forward_id
        self.node_id = node_id
        self.inbox = asyncio.Queue()
        self.sequence = 0
        self.head = None
        self.body = []
        self.relay = None


class ForwardFailed(Exception):
    """The other side answered with an error.

    :param error: :class:`ForwardedError`.
    :param place: where it was handed to.
    """

    def __init__(self, error, place):
        super().__init__(str(error))
        self.error = error
        self.place = place


class ForwardingTask:
    """Origin side of forwarding.

    :param region: region of this entry VM.
    :param sender: sends messages.
    :param clock: source of time.
    :param progress: longest silence of the other side.
    """

    def __init__(self, region, sender, clock, progress):
        self.region = region
        self.sender = sender
        self.clock = clock
        self.progress = progress
        self._outgoing = {}

    def deliver(self, sender, message):
        """Take a part of an answer.

        :param sender: node that sent it.
        :param message: a message of forwarding.
        """
        outgoing = self._outgoing.get(message.forward_id)
        if outgoing is not None and outgoing.node_id == sender:
            outgoing.inbox.put_nowait(message)

    async def forward(self, forward_id, request, entries, place, sink, seen):
        """Hand a request over and take its answer.

        :param forward_id: names the hand-over.
        :param request: the ``GatewayRequest``.
        :param entries: node ids of entry VMs, in the order to try them.
        :param place: name of where it is handed to, for exclusion.
        :param sink: where a stream goes.
        :param seen: called with the ``EventRelay`` of a stream.
        :returns: ``Done`` or a failure of ``retries``.
        :raises ForwardFailed: the other side answered with an error.
        """
        for number, node_id in enumerate(entries):
            outgoing = Outgoing(f"{forward_id}/{number}", node_id)
            if await self._hand_over(outgoing, request):
                break
        else:
            return retries.ConnectRefused(place)
        self._outgoing[outgoing.forward_id] = outgoing
        try:
            return await self._take_answer(
                outgoing, request, place, sink, seen
            )
        except asyncio.CancelledError:
            self._cancel(outgoing)
            raise
        finally:
            del self._outgoing[outgoing.forward_id]

    def _cancel(self, outgoing):
        message = messages.ForwardCancel(outgoing.forward_id)
        self.sender.send(outgoing.node_id, message)

    async def _hand_over(self, outgoing, request):
        """Send a request; False if it cannot have been sent whole."""
        now = self.clock.monotonic()
        left_ms = clocks.milliseconds(request.deadline - now)
        message = messages.ForwardRequest(
            forward_id=outgoing.forward_id,
            request_id=request.request_id,
            origin_region=self.region,
            revision=request.revision,
            organisation=request.organisation,
            service=request.service,
            model_version=request.model_version,
            method=request.method,
            path=request.path,
            idempotent=request.idempotent,
            streamed=request.streamed,
            resume_after=request.resume_after,
            fingerprint=request.fingerprint,
            deadline_ms=max(1, left_ms),
            body_bytes=len(request.body),
            content_type=request.content_type,
            idempotency_key=request.idempotency_key,
            prompt_tokens=request.prompt_tokens,
            resumed_attempt=request.resumed_attempt,
        )
        if not self.sender.send(outgoing.node_id, message):
            return False
        return await self._send_body(outgoing, request.body)

    async def _send_body(self, outgoing, body):
        begins = range(0, max(1, len(body)), BODY_PART_BYTES)
        for number, begin in enumerate(begins):
            end = begin + BODY_PART_BYTES
            part = messages.ForwardBody(
                outgoing.forward_id, number, body[begin:end], end >= len(body)
            )
            if not await self._send_part(outgoing.node_id, part):
                return False
        return True

    async def _send_part(self, node_id, part):
        patience_s = self.progress.total_seconds()
        loop = asyncio.get_running_loop()
        until = loop.time() + patience_s
        while not self.sender.send(node_id, part):
            if loop.time() > until:
                return False
            await asyncio.sleep(BODY_RETRY_SECONDS)
        return True

    async def _take_answer(self, outgoing, request, place, sink, seen):
        patience_s = self.progress.total_seconds()
        while True:
            try:
                async with asyncio.timeout(patience_s):
                    message = await outgoing.inbox.get()
            except TimeoutError:
                self._cancel(outgoing)
                return retries.Silent(place)
            if isinstance(message, messages.ForwardAlive):
                continue
            if message.sequence != outgoing.sequence:
                self._cancel(outgoing)
                return _lost(outgoing, place)
            outgoing.sequence += 1
            result = await self._take(
                message, outgoing, request, place, sink, seen
            )
            if result is not None:
                return result
            if outgoing.sequence % CREDIT_PARTS == 0:
                credit = messages.ForwardCredit(
                    outgoing.forward_id, outgoing.sequence
                )
                self.sender.send(outgoing.node_id, credit)

    @functools.singledispatchmethod
    async def _take(self, message, outgoing, request, place, sink, seen):
        raise TypeError(f"{type(message).__name__} is no part of an answer")

    @_take.register
    async def _(
        self,
        message: messages.ForwardHead,
        outgoing,
        request,
        place,
        sink,
        seen,
    ):
        outgoing.head = message
        if request.streamed and message.status == 200:
            outgoing.relay = _relay.EventRelay(
                message.attempt_id, request.resume_after
            )
            seen(outgoing.relay)

    @_take.register
    async def _(
        self,
        message: messages.ForwardChunk,
        outgoing,
        request,
        place,
        sink,
        seen,
    ):
        if outgoing.relay is None:
            outgoing.body.append(message.data)
            return None
        checked = outgoing.relay.feed(message.data)
        if outgoing.relay.error is not None:
            self._cancel(outgoing)
            return retries.CrossedAnswer(place)
        if checked and outgoing.relay.last_event >= 0:
            await _hand_on(checked, outgoing.head, sink)
        return None

    @_take.register
    async def _(
        self,
        message: messages.ForwardEnd,
        outgoing,
        request,
        place,
        sink,
        seen,
    ):
        if message.error_number:
            raise ForwardFailed(_errors.ForwardedError(message), place)
        if outgoing.head is None:
            return _lost(outgoing, place)
        if outgoing.relay is not None:
            if not outgoing.relay.done:
                return _lost(outgoing, place)
            return _attempt.Done(200, [], b"", outgoing.relay.last_event)
        headers = [(h.name, h.value) for h in outgoing.head.headers]
        body = b"".join(outgoing.body)
        return _attempt.Done(outgoing.head.status, headers, body, 0)


async def _hand_on(checked, head, sink):
    """Send events; the head, which names the attempt, with the first."""
    if not sink.started:
        headers = [(header.name, header.value) for header in head.headers]
        await sink.start(200, headers, head.attempt_id)
    await sink.write(checked)


def _lost(outgoing, place):
    if outgoing.head is None:
        return retries.LostBeforeHead(place)
    return retries.LostMidStream(place)


def retryable(error):
    """Whether an error of another region is worth another attempt.

    :param error: the ``GatewayError``.
    """
    not_run = error.run_state is errors.RunState.NOT_RUN
    return not_run and error.status in (429, 503)
