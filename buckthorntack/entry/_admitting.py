"""Task that owns admission and lets requests wait for it."""

import asyncio
import contextlib
import datetime

from buckthorntack import admission
from buckthorntack import interfaces
from buckthorntack import tasks
from buckthorntack.schema import messages

TICK = datetime.timedelta(milliseconds=50)
REPORT_PERIOD = datetime.timedelta(milliseconds=500)
#: Quota of a forwarded request: its origin has charged it already.
CHARGED_ELSEWHERE = admission.QuotaLimits(1e9, 10**9, 10**12)


class AdmittingTask:
    """Owns an admission controller.

    :param controller: ``AdmissionController``.
    :param recipients: gives the node ids of entry VMs to report to.
    :param sender: sends usage reports.
    :param clock: source of time.
    """

    def __init__(
        self,
        controller: admission.AdmissionController,
        recipients,
        sender: interfaces.Sender,
        clock,
    ):
        self.controller = controller
        self.recipients = recipients
        self.sender = sender
        self.clock = clock
        self._waiting = {}
        self._reported = datetime.timedelta()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        await self._stack.enter_async_context(tasks.running(self._run()))
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def deliver(self, sender, message: messages.UsageReport):
        """Take another entry VM's usage report.

        :param sender: node that sent it.
        :param message: the report.
        """
        now = self.clock.monotonic()
        self.controller.on_usage_report(message, now)

    async def admit(self, request: admission.AdmissionRequest):
        """Wait until a request may start.

        :param request: the request.
        :raises GatewayError: it was refused; it did not run.
        """
        now = self.clock.monotonic()
        offered = self.controller.offer(request, now)
        if offered.is_ok() and isinstance(offered.ok, admission.Queued):
            await self._wait(request)
        self._tell()
        if offered.is_error():
            raise offered.error

    async def _wait(self, request):
        admitted = asyncio.get_running_loop().create_future()
        self._waiting[request.request_id] = admitted
        self._tell()
        try:
            await admitted
        except asyncio.CancelledError:
            self.controller.cancel_request(request.request_id)
            raise
        finally:
            self._waiting.pop(request.request_id, None)

    def finished(self, request_id, tokens):
        """Note the end of an admitted request.

        :param request_id: its id.
        :param tokens: tokens generated for it.
        """
        now = self.clock.monotonic()
        self.controller.on_request_finished(request_id, tokens, now)
        self._tell()

    def set_capacity(self, service, slots):
        """Set how many requests of a service may be in flight from here.

        :param service: its name.
        :param slots: how many.
        """
        now = self.clock.monotonic()
        self.controller.set_capacity(service, slots, now)
        self._tell()

    def _tell(self):
        for command in self.controller.tick(self.clock.monotonic()):
            future = self._waiting.get(command.request_id)
            if future is None or future.done():
                continue
            if isinstance(command, admission.Refused):
                future.set_exception(command.error)
            else:
                future.set_result(None)

    async def _run(self):
        while True:
            await self.clock.sleep(TICK)
            self._tell()
            now = self.clock.monotonic()
            if now - self._reported >= REPORT_PERIOD:
                self._reported = now
                self._report(now)

    def _report(self, now):
        report = self.controller.build_usage_report(now)
        if not report.needs and not report.grants:
            return
        for node_id in self.recipients():
            self.sender.send(node_id, report)
