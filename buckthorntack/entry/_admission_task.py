"""Admission task: queues requests until the controller admits them."""

import asyncio
import contextlib
import datetime

from buckthorntack import admission
from buckthorntack import interfaces
from buckthorntack import tasks
from buckthorntack.schema import messages

#: Interval between checks of the queues.
TICK = datetime.timedelta(milliseconds=50)
#: Interval between usage reports to other entry VMs.
REPORT_PERIOD = datetime.timedelta(milliseconds=500)
#: Practically unlimited quota for forwarded requests, which the entry VM of
#: the origin has already charged to the organisation's quota.
UNLIMITED_QUOTA = admission.QuotaLimits(1e9, 10**9, 10**12)


class AdmissionTask:
    """Task that runs an admission controller.

    :param controller: the ``AdmissionController``.
    :param list_recipients: function that returns the node ids of the entry
        VMs to send usage reports to.
    :param sender: sender of the usage reports.
    :param clock: source of time.
    """

    def __init__(
        self,
        controller: admission.AdmissionController,
        list_recipients,
        sender: interfaces.Sender,
        clock,
    ):
        self.controller = controller
        self.list_recipients = list_recipients
        self.sender = sender
        self.clock = clock
        self._pending = {}
        self._last_report_at = datetime.timedelta()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        await self._stack.enter_async_context(tasks.running(self._run()))
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def now(self):
        """Time that the controller is told; it counts suspensions.

        Parts of quotas are lent under leases, which go on meanwhile.
        """
        return self.clock.boottime()

    def deliver(self, sender, message: messages.UsageReport):
        """Merge another entry VM's usage report.

        :param sender: node id of the sender.
        :param message: the report.
        """
        now = self.now()
        self.controller.on_usage_report(message, now)

    async def admit(self, request: admission.AdmissionRequest):
        """Wait until the controller admits a request.

        :param request: the request.
        :raises GatewayError: the request was refused and did not run.
        """
        now = self.now()
        offered = self.controller.offer(request, now)
        if offered.is_ok() and isinstance(offered.ok, admission.Queued):
            await self._wait(request)
        self._execute_commands()
        if offered.is_error():
            raise offered.error

    def refuse_waiting(self, error):
        """Refuse the requests that wait in the queues.

        :param error: the ``GatewayError``.
        """
        for request_id, future in self._pending.items():
            if not future.done():
                self.controller.cancel_request(request_id)
                future.set_exception(error)

    async def _wait(self, request):
        admitted = asyncio.get_running_loop().create_future()
        self._pending[request.request_id] = admitted
        self._execute_commands()
        try:
            await admitted
        except asyncio.CancelledError:
            self.controller.cancel_request(request.request_id)
            raise
        finally:
            self._pending.pop(request.request_id, None)

    def on_request_finished(self, request_id, tokens):
        """Release the slot of an admitted request that has ended.

        :param request_id: id of the request.
        :param tokens: number of tokens generated for it.
        """
        now = self.now()
        self.controller.on_request_finished(request_id, tokens, now)
        self._execute_commands()

    def set_capacity(self, service, slots):
        """Set how many requests of a service this VM may have in flight.

        :param service: name of the service.
        :param slots: maximum number of requests in flight.
        """
        now = self.now()
        self.controller.set_capacity(service, slots, now)
        self._execute_commands()

    def _execute_commands(self):
        for command in self.controller.tick(self.now()):
            future = self._pending.get(command.request_id)
            if future is None or future.done():
                continue
            if isinstance(command, admission.Refused):
                future.set_exception(command.error)
            else:
                future.set_result(None)

    async def _run(self):
        while True:
            await self.clock.sleep(TICK)
            self._execute_commands()
            now = self.now()
            if now - self._last_report_at >= REPORT_PERIOD:
                self._last_report_at = now
                self._send_report(now)

    def _send_report(self, now):
        report = self.controller.build_usage_report(now)
        if not report.needs and not report.grants:
            return
        for node_id in self.list_recipients():
            self.sender.send(node_id, report)
