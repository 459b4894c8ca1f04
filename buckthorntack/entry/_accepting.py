"""Takes requests that entry VMs of other failure domains hand over."""

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

#: Longest wait for a revision that the origin already has.
CATCH_UP = datetime.timedelta(seconds=2)
MOST_INCOMING = 4000
ALIVE_SHARE = 4
#: Periods without a part of the body after which a request is forgotten.
ABANDONED_PERIODS = 4 * ALIVE_SHARE


class _Incoming:
    """One hand-over, as the answering side sees it."""

    def __init__(self, origin, message, sink):
        self.origin = origin
        self.message = message
        self.sink = sink
        self.parts = []
        self.task = None
        self.idle_periods = 0


class AcceptingTask:
    """Answering side of forwarding.

    :param parts: the ``EntryParts``.
    :param runner: the ``Runner``.
    :param progress: longest silence before the origin gives up.
    """

    def __init__(self, parts, runner, progress):
        self.parts = parts
        self.runner = runner
        self.progress = progress
        self._incoming = {}
        self._log = events.EventLog("entry")
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        await self._stack.enter_async_context(
            tasks.running(self._tell_alive())
        )
        return self

    async def __aexit__(self, *exc_info):
        await self.drain()
        await self._stack.aclose()

    async def drain(self):
        """Wait until all requests taken are answered."""
        while tasks := [i.task for i in self._incoming.values() if i.task]:
            await asyncio.wait(tasks)

    def __len__(self):
        return len(self._incoming)

    @functools.singledispatchmethod
    def deliver(self, message, sender):
        """Take a message of forwarding.

        :param message: the message.
        :param sender: node that sent it.
        """

    @deliver.register
    def _(self, message: messages.ForwardRequest, sender):
        key = (sender, message.forward_id)
        if key in self._incoming:
            return
        sink = _link_sink.LinkSink(
            message.forward_id,
            sender,
            self.parts.sender,
            self.progress.total_seconds(),
        )
        incoming = _Incoming(sender, message, sink)
        self._incoming[key] = incoming
        if len(self._incoming) > MOST_INCOMING:
            error = _errors.BusyError("too many forwarded requests")
            self._start(key, incoming, self._refuse(sink, error))

    @deliver.register
    def _(self, message: messages.ForwardBody, sender):
        key = (sender, message.forward_id)
        incoming = self._incoming.get(key)
        if incoming is None or incoming.task is not None:
            return
        if message.sequence != len(incoming.parts):
            del self._incoming[key]
            return
        incoming.parts.append(message.data)
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
            request = await self._accept(incoming)
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

    async def _accept(self, incoming):
        """Check a request against the configuration in force here."""
        message = incoming.message
        published = await self._published(message.revision)
        allowed = published.allowed_regions(message.organisation)
        if self.parts.region not in allowed:
            detail = f"{message.organisation} may not be served here"
            raise routing.ResidencyError(detail)
        if not published.may_use(message.organisation, message.service):
            raise _errors.NotFoundError(message.service)
        body = b"".join(incoming.parts)
        if len(body) != message.body_bytes:
            raise _errors.ForwardingError("the body did not arrive whole")
        return self._request(message, body, allowed, published.revision)

    async def _published(self, revision):
        current = self.parts.configuration.current()
        if current is not None and current.revision >= revision:
            return current
        reached = await self.parts.configuration.wait_for(revision, CATCH_UP)
        if reached.is_error():
            raise _errors.NotReadyError(reached.error.detail)
        return reached.ok

    def _request(self, message, body, allowed, revision):
        now = self.parts.clock.monotonic()
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
            _prefix_hashes(message, body),
            message.fingerprint,
            allowed,
            revision,
            now + deadline,
            origin_region=message.origin_region,
            resumed_attempt=message.resumed_attempt,
            resume_after=message.resume_after,
        )

    async def _tell_alive(self):
        while True:
            await self.parts.clock.sleep(self.progress / ALIVE_SHARE)
            for key, incoming in list(self._incoming.items()):
                self._tell_or_drop(key, incoming)

    def _tell_or_drop(self, key, incoming):
        """Tell of a request that runs; forget one whose body stays out.

        The origin of the latter is told nothing, so that it goes on.
        """
        if incoming.task is not None:
            message = messages.ForwardAlive(incoming.message.forward_id)
            self.parts.sender.send(incoming.origin, message)
            return
        incoming.idle_periods += 1
        if incoming.idle_periods > ABANDONED_PERIODS:
            del self._incoming[key]


def _prefix_hashes(message, body):
    if not message.model_version or not body:
        return ()
    prompt = routing.read_prompt(body)
    if prompt.is_error():
        return ()
    return routing.prefix_hashes(prompt.ok.content)
