"""Checks with control VMs that records of servers are not out of date."""

import asyncio
import datetime
import itertools

from buckthorntack import events
from buckthorntack import resumption
from buckthorntack.schema import messages

#: Longest wait for the replies of control VMs; a few inter-region round trips.
CHECK_TIMEOUT = datetime.timedelta(milliseconds=400)


class IncarnationTask:
    """Asks control VMs, for an entry VM.

    A server that starts again under its id at another software version looks
    the same to an entry VM that was not told of it.

    :param shared_state: the ``SharedState``.
    :param links: the ``transport.PlainLinks``.
    """

    def __init__(self, shared_state, links):
        self.registry = shared_state.registry
        self.links = links
        self._numbers = itertools.count(1)
        #: Pairs of ``resumption.IncarnationCheck`` and future, by number.
        self._open = {}
        self._log = events.EventLog("resumption")

    async def check(self, record):
        """Check whether a server has started again unknown to this node.

        :param record: its ``AnnouncedServer``.
        :returns: ``resumption.IncarnationState``.
        """
        control_vms = self.registry.nodes_with_role("control")
        number = next(self._numbers)
        query = messages.IncarnationQuery(
            number, record.server_id, record.born_ms
        )
        asked = [
            node.node_id
            for node in control_vms
            if not node.silent and self.links.send(node.node_id, query)
        ]
        check = resumption.IncarnationCheck(asked, len(control_vms))
        if not check.is_complete:
            await self._wait(number, check)
        if check.result is not resumption.IncarnationState.NEWEST:
            self._log.write(
                resumption.INCARNATION_UNCONFIRMED,
                server=record.server_id,
                born_ms=record.born_ms,
                state=check.result.value,
                asked=len(asked),
                control_vms=len(control_vms),
            )
        return check.result

    async def _wait(self, number, check):
        future = asyncio.get_running_loop().create_future()
        self._open[number] = (check, future)
        try:
            await asyncio.wait([future], timeout=CHECK_TIMEOUT.total_seconds())
        finally:
            del self._open[number]

    def on_reply(self, sender, reply):
        """Process the reply of a control VM.

        :param sender: its id.
        :param reply: ``IncarnationReply``.
        """
        check, future = self._open.get(reply.number, (None, None))
        if check is None:
            return
        check.on_reply(sender, resumption.IncarnationState(reply.state))
        if check.is_complete and not future.done():
            future.set_result(None)


def answer_query(registry, links, sender, query, now):
    """Answer an entry VM which incarnation of a server is the newest.

    :param registry: the ``discovery.Registry`` of this control VM.
    :param links: the ``transport.PlainLinks``.
    :param sender: id of the entry VM.
    :param query: ``IncarnationQuery``.
    :param now: monotonic time.
    """
    view = registry.servers.get(query.server_id)
    state = resumption.compare_incarnation(
        query.born_ms, None if view is None else view.record.born_ms
    )
    if state is resumption.IncarnationState.REPLACED:
        # The reply must not overtake what it refers to.
        changes = registry.changes_for_servers([query.server_id], now)
        links.send(sender, changes)
    reply = messages.IncarnationReply(query.number, state.value)
    links.send(sender, reply)
