"""What operators do with the configuration, for the administration API."""

import asyncio
import datetime
import functools

import expression

from buckthorntack import clock as clocks
from buckthorntack import consensus
from buckthorntack import errors
from buckthorntack import schema
from buckthorntack.configuration import _content
from buckthorntack.configuration import _errors
from buckthorntack.configuration import _machine
from buckthorntack.configuration import _status
from buckthorntack.configuration import _times
from buckthorntack.schema import documents
from buckthorntack.schema import messages

#: How long the answer to a pending change is awaited.
SETTLE_TIMEOUT = datetime.timedelta(seconds=8)
#: Times that a change is proposed before its answer is given up.
PROPOSAL_TRIES = 12
#: Wait for an answer before the change is proposed again.
PROPOSAL_PAUSE = datetime.timedelta(milliseconds=500)
#: How long a new replica has to catch up before the call returns.
CATCH_UP_TIMEOUT = datetime.timedelta(seconds=20)
#: Pause between tries to give a new replica its vote.
PROMOTION_PAUSE = datetime.timedelta(milliseconds=500)


class Administration:
    """Changes, reads and status of the configuration on a control VM.

    :param machine: the :class:`ConfigurationMachine` of this node.
    :param replica: the configuration group, a ``consensus.ReplicaTask``.
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
        made = self._proposal(change, operator)
        if made.is_error():
            return made
        proposal = made.ok
        result = await self._propose(schema.pack(proposal))
        if result.is_error():
            return result
        answer = result.ok
        if answer.is_ok() and isinstance(answer.ok, _machine.ChangePending):
            return await self._settled(proposal)
        return answer

    def _proposal(self, change, operator):
        findings = schema.validate_document("admin", "Change", change)
        if findings:
            faults = [f"{one.path}: {one.message}" for one in findings]
            error = _errors.InvalidChangeError("; ".join(faults))
            return expression.Error(error)
        now_ms = _times.wall_ms(self.clock)
        try:
            return expression.Ok(make_proposal(change, operator, now_ms))
        except (OverflowError, ValueError) as error:
            detail = f"a value cannot be stored: {error}"
            return expression.Error(_errors.InvalidChangeError(detail))

    async def _propose(self, command):
        """Propose again if no answer comes: a change is applied once.

        A proposal to a leader that has just failed would otherwise be waited
        for until it times out.
        """
        answered = asyncio.get_running_loop().create_future()
        tries = []
        for _ in range(PROPOSAL_TRIES):
            proposed = asyncio.ensure_future(self.replica.propose(command))
            proposed.add_done_callback(functools.partial(_note, answered))
            tries.append(proposed)
            if await clocks.completes(answered, self.clock, PROPOSAL_PAUSE):
                return answered.result()
        return _best(await asyncio.gather(*tries))

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
            await clocks.completes(settled, self.clock, SETTLE_TIMEOUT)
        finally:
            self.machine.ignore(look)
        if settled.done():
            return settled.result()
        detail = f"change {proposal.change_id!r} is not settled yet"
        return expression.Error(_errors.ChangeOutcomeUnknownError(detail))

    async def objects(self, kind=None, name=None, linearizable=True):
        """Objects of the present revision.

        :param kind: only those of this kind, if given.
        :param name: only the one of this name, if given.
        :param linearizable: whether all accepted changes must be in.
        :returns: ``Result`` of an ``ObjectList``.
        """
        if linearizable:
            barrier = await self.replica.read_barrier()
            if barrier.is_error():
                return barrier
        published = self.machine.published
        answer: documents.ObjectList = {
            "revision": published.revision,
            "objects": sorted(_select(published, kind, name), key=_place),
        }
        return expression.Ok(answer)

    async def history(self, after=0):
        """Accepted changes, as far as their answers are kept.

        :param after: only those of a later revision.
        :returns: ``Result`` of a ``History``.
        """
        barrier = await self.replica.read_barrier()
        if barrier.is_error():
            return barrier
        changes = [
            _status.change_record(record)
            for record in self.machine.answers.records()
            if record.accepted and record.revision > after
        ]
        answer: documents.History = {"changes": changes}
        return expression.Ok(answer)

    async def status(self):
        """State of the configuration, as this control VM sees it.

        :returns: ``Result`` of a ``Status``.
        """
        group = self.replica.status()
        entries = _status.entry_statuses(
            self.machine, self.source_task.reports(), self.clock.monotonic()
        )
        barrier = await self.replica.read_barrier()
        answer: documents.Status = {
            "node_id": group.node_id,
            "revision": self.machine.revision,
            "has_quorum": barrier.is_ok(),
            "replicas": _status.replica_statuses(group),
            "regions": _status.region_statuses(self.machine, entries),
            "changes": _status.change_statuses(self.machine, entries),
        }
        if group.leader:
            answer["leader"] = group.leader
        return expression.Ok(answer)

    async def replicas(self):
        """Replicas of the configuration group.

        :returns: ``Result`` of a ``ReplicaList``.
        """
        statuses = _status.replica_statuses(self.replica.status())
        answer: documents.ReplicaList = {"replicas": statuses}
        return expression.Ok(answer)

    async def add_replica(self, node_id):
        """Add a replica and give it a vote once it has caught up.

        It stays without a vote if it does not catch up in time; the same
        call goes on then.

        :param node_id: a known control VM.
        :returns: ``Result`` of a ``ReplicaList``.
        """
        if node_id not in self._members():
            added = await self.replica.add_learner(node_id)
            if added.is_error():
                return added
        deadline = self.clock.monotonic() + CATCH_UP_TIMEOUT
        while node_id not in self.replica.voters():
            promoted = await self.replica.promote(node_id)
            if promoted.is_error() and not _is_behind(promoted.error):
                return promoted
            if promoted.is_ok() or self.clock.monotonic() >= deadline:
                break
            await self.clock.sleep(PROMOTION_PAUSE)
        return await self.replicas()

    def _members(self):
        group = self.replica.status()
        return {*group.voters, *group.learners}

    async def remove_replica(self, node_id):
        """Remove a replica; done already if it is no member.

        :param node_id: the replica.
        :returns: ``Result`` of a ``ReplicaList``.
        """
        if node_id not in self._members():
            return await self.replicas()
        removed = await self.replica.remove(node_id)
        if removed.is_error():
            return removed
        return await self.replicas()


def _note(answered, proposed):
    if proposed.cancelled() or answered.done():
        return
    if proposed.result().is_ok():
        answered.set_result(proposed.result())


def _best(results):
    """Of several tries an answer, else what may yet be committed."""

    def rank(result):
        if result.is_ok():
            return 0
        return 1 if result.error.run_state == errors.RunState.UNKNOWN else 2

    return min(results, key=rank)


def _is_behind(error):
    return isinstance(error, consensus.LearnerBehindError)


def _select(published, kind, name):
    for entry in published.named_objects():
        if kind not in (None, entry["kind"]):
            continue
        if name in (None, entry["object"]["name"]):
            yield entry


def _place(entry):
    return entry["kind"], entry["object"]["name"]


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
