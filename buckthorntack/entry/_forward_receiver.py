"""Receiving side of forwarding: runs requests of other entry VMs."""

import asyncio
import contextlib
import datetime
import functools

from buckthorntack import errors
from buckthorntack import events
from buckthorntack import routing
from buckthorntack import tasks
from buckthorntack.entry import _errors
from buckthorntack.entry import _events
from buckthorntack.entry import _link_sink
from buckthorntack.entry import _request
from buckthorntack.schema import messages

#: Maximum wait for a configuration revision that the origin already has.
REVISION_TIMEOUT = datetime.timedelta(seconds=2)
#: Maximum number of forwarded requests received at the same time.
MAX_INCOMING = 4000
#: Keepalives that are sent within the origin's idle timeout.
KEEPALIVES_PER_TIMEOUT = 4
#: Keepalive periods without a part of the body after which an incomplete
#: request is dropped.
MAX_IDLE_PERIODS = 4 * KEEPALIVES_PER_TIMEOUT


class _IncomingForward:
    """State of one forwarded request at the receiving side."""

    def __init__(self, origin, message, sink):
        self.origin = origin
        self.message = message
        self.sink = sink
        self.body_parts = []
        self.task = None
        self.idle_periods = 0


class ForwardReceiverTask:
    """Task that runs the requests forwarded by other entry VMs.

    :param components: the ``EntryComponents``.
    :param runner: the ``Runner``.
    :param idle_timeout: time without a message after which the origin gives
        up.
    """

    def __init__(self, components, runner, idle_timeout):
        self.components = components
        self.runner = runner
        self.idle_timeout = idle_timeout
        self._incoming = {}
        self._log = events.EventLog("entry")
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        await self._stack.enter_async_context(
            tasks.running(self._send_keepalives())
        )
        return self

    async def __aexit__(self, *exc_info):
        await self.drain()
        await self._stack.aclose()

    async def drain(self):
        """Wait until all received requests have got their response."""
        while running := [i.task for i in self._incoming.values() if i.task]:
            await asyncio.wait(running)

    def abort(self):
        """End the requests in progress; their origins resume them.

        Origins are told nothing, as an error would end a stream.
        """
        for incoming in self._incoming.values():
            if incoming.task is not None:
                incoming.task.cancel()

    def __len__(self):
        return len(self._incoming)

    @functools.singledispatchmethod
    def deliver(self, message, sender):
        """Handle a message about a forwarded request.

        :param message: the message.
        :param sender: node id of the origin.
        """

    @deliver.register
    def _(self, message: messages.ForwardRequest, sender):
        key = (sender, message.forward_id)
        if key in self._incoming:
            return
        sink = _link_sink.LinkSink(
            message.forward_id,
            sender,
            self.components.sender,
            self.idle_timeout.total_seconds(),
        )
        incoming = _IncomingForward(sender, message, sink)
        self._incoming[key] = incoming
        if len(self._incoming) > MAX_INCOMING:
            error = _errors.BusyError("too many forwarded requests")
            self._start(key, incoming, self._refuse(sink, error))

    @deliver.register
    def _(self, message: messages.ForwardBody, sender):
        key = (sender, message.forward_id)
        incoming = self._incoming.get(key)
        if incoming is None or incoming.task is not None:
            return
        if message.sequence != len(incoming.body_parts):
            del self._incoming[key]
            return
        incoming.body_parts.append(message.data)
        incoming.idle_periods = 0
        if message.last:
            self._start(key, incoming, self._run(incoming))

    @deliver.register
    def _(self, message: messages.ForwardCancel, sender):
        incoming = self._incoming.get((sender, message.forward_id))
        if incoming is None:
            return
        if incoming.task is None:
            del self._incoming[sender, message.forward_id]
        else:
            incoming.task.cancel()

    @deliver.register
    def _(self, message: messages.ForwardCredit, sender):
        incoming = self._incoming.get((sender, message.forward_id))
        if incoming is not None:
            incoming.sink.acknowledge(message.sequence)

    def _start(self, key, incoming, work):
        incoming.task = asyncio.create_task(work)
        incoming.task.add_done_callback(
            lambda _: self._incoming.pop(key, None)
        )

    async def _run(self, incoming):
        sink = incoming.sink
        try:
            request = await self._validate_request(incoming)
            async with self.components.planned_stop.limit(sink):
                await self.runner.run(request, sink)
        except errors.GatewayError as error:
            await self._refuse(sink, error)
        except asyncio.CancelledError:
            raise
        except Exception as fault:
            self._log.write(
                _events.FAULT,
                request=incoming.message.request_id,
                fault=repr(fault),
            )
            error = _errors.InternalError(incoming.message.request_id)
            await self._refuse(sink, error)

    async def _refuse(self, sink, error):
        with contextlib.suppress(_errors.ForwardingLostError):
            await sink.fail(error)

    async def _validate_request(self, incoming):
        """Check a request against the active configuration of this node."""
        message = incoming.message
        published = await self._wait_for_revision(message.revision)
        allowed = published.allowed_regions(message.organisation)
        if self.components.region not in allowed:
            detail = f"{message.organisation} may not be served in this region"
            raise routing.ResidencyError(detail)
        if not published.may_use(message.organisation, message.service):
            raise _errors.NotFoundError(message.service)
        body = b"".join(incoming.body_parts)
        if len(body) != message.body_bytes:
            raise _errors.ForwardingError("the received body is incomplete")
        return self._build_request(message, body, allowed, published.revision)

    async def _wait_for_revision(self, revision):
        current = self.components.configuration.current()
        if current is not None and current.revision >= revision:
            return current
        reached = await self.components.configuration.wait_for(
            revision, REVISION_TIMEOUT
        )
        if reached.is_error():
            raise _errors.NotReadyError(reached.error.detail)
        return reached.ok

    def _build_request(self, message, body, allowed, revision):
        now = self.components.clock.monotonic()
        deadline = datetime.timedelta(milliseconds=message.deadline_ms)
        return _request.GatewayRequest(
            message.request_id,
            message.organisation,
            message.service,
            message.model_version,
            message.method,
            message.path,
            body,
            message.content_type,
            message.idempotent,
            message.streamed,
            message.idempotency_key,
            message.prompt_tokens,
            _compute_prefix_hashes(message, body),
            message.fingerprint,
            allowed,
            revision,
            now + deadline,
            origin_region=message.origin_region,
            resumed_attempt=message.resumed_attempt,
            resume_after=message.resume_after,
        )

    async def _send_keepalives(self):
        while True:
            await self.components.clock.sleep(
                self.idle_timeout / KEEPALIVES_PER_TIMEOUT
            )
            for key, incoming in list(self._incoming.items()):
                self._send_keepalive_or_drop(key, incoming)

    def _send_keepalive_or_drop(self, key, incoming):
        """Send a keepalive for a running request or drop an abandoned one.

        A request whose body stays incomplete is dropped without a message
        to its origin, so that the origin's idle timeout expires and it takes
        the next step of its retry policy.
        """
        if incoming.task is not None:
            message = messages.ForwardAlive(incoming.message.forward_id)
            self.components.sender.send(incoming.origin, message)
            return
        incoming.idle_periods += 1
        if incoming.idle_periods > MAX_IDLE_PERIODS:
            del self._incoming[key]


def _compute_prefix_hashes(message, body):
    if not message.model_version or not body:
        return ()
    prompt = routing.read_prompt(body)
    if prompt.is_error():
        return ()
    return routing.prefix_hashes(prompt.ok.content)
