"""Task that issues engine orders for one failure domain."""

import asyncio
import datetime
import functools
import uuid

import httpx
import msgspec

from buckthorntack import clock as clocks
from buckthorntack import events
from buckthorntack import schema
from buckthorntack.placement import _events
from buckthorntack.placement import _planner
from buckthorntack.schema import messages

#: Kind of the membership item that lists the engines being drained.
DRAIN_KIND = "placement-drain"
#: Number of low bits of an item version that hold the counter; the fencing
#: number is above them.
_VERSION_BITS = 32


class PlacementTask:
    """Task that holds the issuer lease, plans and sends engine orders.

    :param lease: an :class:`IssuerLease`.
    :param planner: a :class:`PlacementPlanner`.
    :param control: node ids of control VMs that grant leases.
    :param sender: a ``Sender``.
    :param client: an ``httpx.AsyncClient`` for engines.
    :param clock: a ``Clock``.
    :param read_inputs: callable that returns the present :class:`Inputs`.
    :param publish: callable that propagates a membership ``Item``.
    """

    def __init__(
        self,
        lease,
        planner,
        control,
        sender,
        client,
        clock,
        read_inputs,
        publish,
    ):
        self.lease = lease
        self.planner = planner
        self.control = list(control)
        self.sender = sender
        self.client = client
        self.clock = clock
        self.read_inputs = read_inputs
        self.publish = publish
        self._log = events.EventLog("placement")
        self._was_issuer = False
        self._requests_sent = 0
        self._version = 0
        self._was_draining = False
        self._runner = None
        self._orders = set()

    async def __aenter__(self):
        self._runner = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *_):
        tasks = [self._runner, *self._orders]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self):
        milliseconds = self.lease.timing.plan_period_ms
        period = datetime.timedelta(milliseconds=milliseconds)
        while True:
            self._try_step()
            await self.clock.sleep(period)

    def _try_step(self):
        try:
            self.step()
        except Exception as error:
            self._log.write(_events.STEP_FAILED, error=repr(error))

    def _now_ms(self):
        return clocks.milliseconds(self.clock.boottime())

    def deliver(self, _sender, message):
        """Process the answer to a lease request without blocking.

        :param message: a ``LeaseGrant``.
        """
        if isinstance(message, messages.LeaseGrant):
            self.lease.on_grant(message, self._now_ms())

    def step(self):
        """Request the lease if due, and plan if this node is the issuer."""
        request = self.lease.next_request(self._now_ms())
        if request is not None:
            self._requests_sent += 1
            to = self.control[self._requests_sent % len(self.control)]
            self.sender.send(to, request)
        is_issuer = self.lease.is_held(self._now_ms())
        if is_issuer != self._was_issuer:
            self._change_issuer(is_issuer)
        if is_issuer:
            self._plan()

    def _change_issuer(self, is_issuer):
        self._was_issuer = is_issuer
        self.planner.reset()
        self._log.write(
            _events.ISSUER_CHANGED,
            failure_domain=self.lease.failure_domain,
            issues=is_issuer,
            fencing=self.lease.fencing,
        )

    def _plan(self):
        now = self.clock.monotonic()
        commands = self.planner.plan(self.read_inputs(), self._may_issue, now)
        for command in commands:
            self._log.write(
                _events.PLACEMENT_DECIDED,
                decision=type(command).__name__,
                server=command.server_id,
                reason=command.reason,
            )
            self._execute(command)
        self._publish_draining()

    def _publish_draining(self):
        self._version += 1
        ids = self.planner.draining()
        if not ids and not self._was_draining:
            return
        self._was_draining = bool(ids)
        item = build_drain_item(self.lease, ids, self._version)
        self.publish(item)

    def _may_issue(self, checks_fencing):
        return self.lease.may_issue(checks_fencing, self._now_ms())

    @functools.singledispatchmethod
    def _execute(self, command):
        """Execute a command; only orders need an action.

        The published drain item covers the commands to drain and to return
        an engine.
        """

    @_execute.register
    def _(self, command: _planner.OrderEngine):
        task = asyncio.create_task(self._send_order(command))
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)

    async def _send_order(self, command):
        if not self._may_issue(command.checks_fencing):
            return
        order = build_order(self.lease, command.target)
        timeout_s = self.lease.timing.max_order_delay_ms / 1000
        url = f"{command.url}/orders"
        try:
            async with asyncio.timeout(timeout_s):
                response = await self.client.post(url, json=order)
            answer = response.json()
        except (httpx.HTTPError, TimeoutError, ValueError) as error:
            self._log_unanswered(command, f"{type(error).__name__}: {error}")
            return
        findings = schema.validate_document(
            "backend", "EngineOrderAnswer", answer
        )
        if findings:
            self._log_unanswered(command, findings[0].message)
        else:
            self._on_order_answer(command, answer)

    def _log_unanswered(self, command, reason):
        self._log.write(
            _events.ORDER_UNANSWERED, server=command.server_id, reason=reason
        )

    def _on_order_answer(self, command, answer):
        if answer["accepted"]:
            self._log.write(_events.ORDER_ACCEPTED, server=command.server_id)
            return
        self._log.write(
            _events.ORDER_REFUSED,
            server=command.server_id,
            fencing=answer["fencing"],
            reason=answer.get("reason", ""),
        )
        self.lease.on_higher_fencing(int(answer["fencing"]))


def build_drain_item(lease, server_ids, version):
    """Build the item that lists the engines that get no new requests.

    :param lease: the :class:`IssuerLease` held.
    :param server_ids: ids of the engines.
    :param version: counter that grows with each item under the same fencing
        number.
    """
    return messages.Item(
        DRAIN_KIND,
        lease.failure_domain,
        msgspec.msgpack.encode(server_ids),
        (lease.fencing << _VERSION_BITS) + version,
        lease.timing.drain_item_ttl_ms,
    )


def read_drain_item(item):
    """Return the ids of the engines listed in a drain item.

    :param item: an ``Item`` of kind :data:`DRAIN_KIND`.

    >>> read_drain_item(messages.Item(DRAIN_KIND, "a", b"\\x90", 1, 1))
    []
    """
    return msgspec.msgpack.decode(item.value, type=list[str])


def build_order(lease, target):
    """Build the order document for an engine.

    :param lease: the :class:`IssuerLease` held.
    :param target: the :class:`Target` to reach.
    """
    return {
        "issuer": lease.failure_domain,
        "fencing": lease.fencing,
        "order_id": uuid.uuid4().hex,
        "model_versions": list(target.model_versions),
        "adapters": list(target.adapters),
        "role": target.role or "both",
    }
