"""What operators do with the configuration, for the administration API."""

import asyncio
import datetime
import inspect

import expression

from buckthorntack import schema
from buckthorntack.configuration import _content
from buckthorntack.configuration import _errors
from buckthorntack.configuration import _machine
from buckthorntack.configuration import _status
from buckthorntack.configuration import _times
from buckthorntack.configuration import _waiting
from buckthorntack.schema import documents
from buckthorntack.schema import messages

#: How long the answer to a pending change is awaited.
SETTLE_TIMEOUT = datetime.timedelta(seconds=8)


class Administration:
    """Changes, reads and status of the configuration on a control VM.

    :param machine: the :class:`ConfigurationMachine` of this node.
    :param replica: the configuration group, as ``Replicas``.
    :param source_task: the :class:`ConfigurationSourceTask` of this node.
    :param clock: the clock.
    """

    def __init__(self, machine, replica, source_task, clock):
        self.machine = machine
        self.replica = replica
        self.source_task = source_task
        self.clock = clock

    async def apply(self, change: documents.Change, operator: str):
        """Have a change applied, or get the answer that it got before.

        :param change: the change.
        :param operator: name from the operator's token.
        :returns: ``Result`` of a ``ChangeResult``.
        """
        findings = schema.validate_document("admin", "Change", change)
        if findings:
            detail = "; ".join(
                f"{one.path}: {one.message}" for one in findings
            )
            return expression.Error(_errors.InvalidChangeError(detail))
        proposal = make_proposal(change, operator, _times.wall_ms(self.clock))
        result = await self.replica.propose(schema.pack(proposal))
        if result.is_error():
            return result
        answer = result.ok
        if answer.is_ok() and isinstance(answer.ok, _machine.ChangePending):
            return await self._settled(proposal)
        return answer

    async def _settled(self, proposal):
        settled = asyncio.get_running_loop().create_future()

        def look():
            answer = self.machine.answer(
                proposal.change_id, proposal.fingerprint
            )
            if not settled.done() and _is_settled(answer):
                settled.set_result(answer)

        self.machine.listen(look)
        try:
            look()
            await _waiting.wait_until(settled, self.clock, SETTLE_TIMEOUT)
        finally:
            self.machine.ignore(look)
        if settled.done():
            return settled.result()
        detail = f"change {proposal.change_id!r} is not settled yet"
        return expression.Error(_errors.ChangeOutcomeUnknownError(detail))

    async def objects(self, kind=None, name=None, linearizable=True):
        """Published objects and their revision.

        :param kind: only objects of this kind.
        :param name: only the object of this name.
        :param linearizable: whether a quorum must confirm that the objects
            are the newest.
        :returns: ``Result`` of the revision and a list of ``NamedObject``.
        """
        if linearizable:
            barrier = await self.replica.read_barrier()
            if barrier.is_error():
                return barrier
        published = self.machine.published
        found = [
            entry
            for entry in published.named_objects()
            if kind in (None, entry["kind"])
            and name in (None, entry["object"]["name"])
        ]
        return expression.Ok((published.revision, found))

    def history(self, after=0):
        """Answers to changes, oldest first.

        :param after: only those that name a higher revision.
        :returns: list of ``ChangeRecord``.
        """
        records = self.machine.answers.records()
        return [record for record in records if record.revision > after]

    def status(self):
        """Where recent changes are in force.

        :returns: a :class:`ConfigurationStatus`.
        """
        return _status.status(
            self.machine, self.source_task.reports(), self.clock.monotonic()
        )

    def replicas(self):
        """Node ids that vote in the group."""
        return list(self.replica.voters())

    async def add_replica(self, node_id):
        """Add a control VM to the group.

        :param node_id: the node.
        :returns: ``Result`` of the group.
        """
        return await self._change_replicas("add_replica", node_id)

    async def remove_replica(self, node_id):
        """Take a control VM out of the group.

        :param node_id: the node.
        :returns: ``Result`` of the group.
        """
        return await self._change_replicas("remove_replica", node_id)

    async def _change_replicas(self, method, node_id):
        change = getattr(self.replica, method, None)
        if change is None:
            detail = f"the group offers no {method}"
            return expression.Error(
                _errors.ReplicaChangeUnavailableError(detail)
            )
        result = change(node_id)
        return await result if inspect.isawaitable(result) else result


def _is_settled(answer):
    if answer is None:
        return False
    pending = answer.is_ok() and isinstance(answer.ok, _machine.ChangePending)
    return not pending


def make_proposal(change: documents.Change, operator, proposed_at_ms):
    """Turn a change into a command for the log.

    :param change: the change, of valid form.
    :param operator: name from the operator's token.
    :param proposed_at_ms: wall time.
    :returns: a ``ConfigurationProposal``.
    """
    put = _content.encode(change.get("put", []))
    remove = _content.encode(change.get("remove", []))
    replace_all = change.get("replace_all", False)
    note = change.get("note", "")
    stopped = sorted(change.get("stopped_entry_vms", []))
    base_revision = change["base_revision"]
    content = [base_revision, replace_all, operator, note, stopped]
    return messages.ConfigurationProposal(
        change_id=change["change_id"],
        fingerprint=_content.digest(_content.encode(content), put, remove),
        base_revision=base_revision,
        put=put,
        remove=remove,
        replace_all=replace_all,
        operator=operator,
        note=note,
        stopped_entry_vms=stopped,
        proposed_at_ms=proposed_at_ms,
    )
