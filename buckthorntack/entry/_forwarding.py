"""Origin side of forwarding to entry VMs of other failure domains."""

import asyncio
import functools

from buckthorntack import clock as clocks
from buckthorntack import errors
from buckthorntack import retries
from buckthorntack.entry import _attempt
from buckthorntack.entry import _errors
from buckthorntack.entry import _relay
from buckthorntack.schema import messages

#: Maximum size of one message with a part of the request body.
BODY_PART_BYTES = 65536
#: Number of response parts after which a flow control credit is sent.
PARTS_PER_CREDIT = 16
#: Delay before a part of the body that the link refused is sent again.
BODY_RETRY_DELAY_SECONDS = 0.01


class OutgoingForward:
    """State of one forwarded request at its origin."""

    def __init__(self, forward_id, node_id):
        self.forward_id = forward_id
        self.node_id = node_id
        self.inbox = asyncio.Queue()
        self.sequence = 0
        self.head = None
        self.body = []
        self.relay = None


class ForwardFailed(Exception):
    """Error response of the entry VM that a request was forwarded to.

    :param error: the :class:`ForwardedError`.
    :param target: name of the failure domain that the request was forwarded
        to, or empty.
    """

    def __init__(self, error, target):
        super().__init__(str(error))
        self.error = error
        self.target = target


class ForwardingTask:
    """Task that forwards requests and receives their responses.

    :param region: region of this entry VM.
    :param sender: sender of messages to other nodes.
    :param clock: source of time.
    :param idle_timeout: time without a message from the receiving side after
        which a forwarded request counts as failed.
    """

    def __init__(self, region, sender, clock, idle_timeout):
        self.region = region
        self.sender = sender
        self.clock = clock
        self.idle_timeout = idle_timeout
        self._outgoing = {}

    def deliver(self, sender, message):
        """Queue a part of a response for the request that it belongs to.

        :param sender: node id of the sender.
        :param message: message about a forwarded request.
        """
        outgoing = self._outgoing.get(message.forward_id)
        if outgoing is not None and outgoing.node_id == sender:
            outgoing.inbox.put_nowait(message)

    async def forward(
        self, forward_id, request, entries, target, sink, on_relay
    ):
        """Forward a request and receive its response.

        :param forward_id: id of the forwarded request.
        :param request: the ``GatewayRequest``.
        :param entries: node ids of entry VMs, in the order to try them.
        :param target: name of the failure domain, or empty.  A returned
            failure carries it, so that later attempts can exclude it.
        :param sink: sink that the events of a stream are written to.
        :param on_relay: function called with the ``EventRelay`` of a stream.
        :returns: ``Completed`` or a failure type of ``retries``.
        :raises ForwardFailed: the receiving side sent an error.
        """
        for number, node_id in enumerate(entries):
            outgoing = OutgoingForward(f"{forward_id}/{number}", node_id)
            if await self._send_request(outgoing, request):
                break
        else:
            return retries.ConnectRefused(target)
        self._outgoing[outgoing.forward_id] = outgoing
        try:
            return await self._receive_response(
                outgoing, request, target, sink, on_relay
            )
        except asyncio.CancelledError:
            self._cancel(outgoing)
            raise
        finally:
            del self._outgoing[outgoing.forward_id]

    def _cancel(self, outgoing):
        message = messages.ForwardCancel(outgoing.forward_id)
        self.sender.send(outgoing.node_id, message)

    async def _send_request(self, outgoing, request):
        """Send a request; return whether all parts were passed to the link.

        A request of which a part was not sent cannot have run.
        """
        now = self.clock.monotonic()
        remaining_ms = clocks.milliseconds(request.deadline - now)
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
            deadline_ms=max(1, remaining_ms),
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
        offsets = range(0, max(1, len(body)), BODY_PART_BYTES)
        for number, offset in enumerate(offsets):
            end = offset + BODY_PART_BYTES
            part = messages.ForwardBody(
                outgoing.forward_id, number, body[offset:end], end >= len(body)
            )
            if not await self._send_part(outgoing.node_id, part):
                return False
        return True

    async def _send_part(self, node_id, part):
        idle_timeout_s = self.idle_timeout.total_seconds()
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + idle_timeout_s
        while not self.sender.send(node_id, part):
            if loop.time() > deadline_s:
                return False
            await asyncio.sleep(BODY_RETRY_DELAY_SECONDS)
        return True

    async def _receive_response(
        self, outgoing, request, target, sink, on_relay
    ):
        idle_timeout_s = self.idle_timeout.total_seconds()
        while True:
            try:
                async with asyncio.timeout(idle_timeout_s):
                    message = await outgoing.inbox.get()
            except TimeoutError:
                self._cancel(outgoing)
                return retries.Silent(target)
            if isinstance(message, messages.ForwardAlive):
                continue
            if message.sequence != outgoing.sequence:
                self._cancel(outgoing)
                return _classify_loss(outgoing, target)
            outgoing.sequence += 1
            result = await self._on_part(
                message, outgoing, request, target, sink, on_relay
            )
            if result is not None:
                return result
            if outgoing.sequence % PARTS_PER_CREDIT == 0:
                credit = messages.ForwardCredit(
                    outgoing.forward_id, outgoing.sequence
                )
                self.sender.send(outgoing.node_id, credit)

    @functools.singledispatchmethod
    async def _on_part(
        self, message, outgoing, request, target, sink, on_relay
    ):
        raise TypeError(
            f"{type(message).__name__} is not a part of a response"
        )

    @_on_part.register
    async def _(
        self,
        message: messages.ForwardHead,
        outgoing,
        request,
        target,
        sink,
        on_relay,
    ):
        outgoing.head = message
        if request.streamed and message.status == 200:
            outgoing.relay = _relay.EventRelay(
                message.attempt_id, request.resume_after
            )
            on_relay(outgoing.relay)

    @_on_part.register
    async def _(
        self,
        message: messages.ForwardChunk,
        outgoing,
        request,
        target,
        sink,
        on_relay,
    ):
        if outgoing.relay is None:
            outgoing.body.append(message.data)
            return None
        events = outgoing.relay.feed(message.data)
        if outgoing.relay.error is not None:
            self._cancel(outgoing)
            return retries.CrossedAnswer(target)
        if events and outgoing.relay.last_event >= 0:
            await _write_events(events, outgoing.head, sink)
        return None

    @_on_part.register
    async def _(
        self,
        message: messages.ForwardEnd,
        outgoing,
        request,
        target,
        sink,
        on_relay,
    ):
        if message.error_number:
            raise ForwardFailed(_errors.ForwardedError(message), target)
        if outgoing.head is None:
            return _classify_loss(outgoing, target)
        if outgoing.relay is not None:
            if not outgoing.relay.done:
                return _classify_loss(outgoing, target)
            return _attempt.Completed(200, [], b"", outgoing.relay.last_event)
        headers = [(h.name, h.value) for h in outgoing.head.headers]
        body = b"".join(outgoing.body)
        return _attempt.Completed(outgoing.head.status, headers, body, 0)


async def _write_events(events, head, sink):
    """Write checked bytes of a stream, and before them the head once."""
    if not sink.started:
        headers = [(header.name, header.value) for header in head.headers]
        await sink.start(200, headers, head.attempt_id)
    await sink.write(events)


def _classify_loss(outgoing, target):
    if outgoing.head is None:
        return retries.LostBeforeHead(target)
    return retries.LostMidStream(target)


def is_retryable(error):
    """Return whether another target may serve a request after an error.

    :param error: the ``GatewayError`` of the failure domain that the request
        was forwarded to.
    """
    not_run = error.run_state is errors.RunState.NOT_RUN
    return not_run and error.status in (429, 503)
