"""Operations of the administration API on the configuration."""

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

#: Time to wait for the settlement of a pending change.
SETTLE_TIMEOUT = datetime.timedelta(seconds=8)
#: Maximum number of times that a change is proposed.
MAX_PROPOSAL_ATTEMPTS = 12
#: Time without a result after which a change is proposed again.
PROPOSAL_RETRY_INTERVAL = datetime.timedelta(milliseconds=500)
#: Time to wait for a new replica to catch up.
CATCH_UP_TIMEOUT = datetime.timedelta(seconds=20)
#: Delay between attempts to promote a new replica to voter.
PROMOTION_RETRY_INTERVAL = datetime.timedelta(milliseconds=500)


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
        """Apply a change, or return its earlier result.

        :param change: the change.
        :param operator: name from the operator's token.
        :returns: ``Result`` of a ``ChangeResult``.
        """
        built = self._build_proposal(change, operator)
        if built.is_error():
            return built
        proposal = built.ok
        proposed = await self._propose_until_answered(schema.pack(proposal))
        if proposed.is_error():
            return proposed
        result = proposed.ok
        if result.is_ok() and isinstance(result.ok, _machine.ChangePending):
            return await self._wait_until_settled(proposal)
        return result

    def _build_proposal(self, change, operator):
        findings = schema.validate_document("admin", "Change", change)
        if findings:
            problems = [f"{one.path}: {one.message}" for one in findings]
            error = _errors.InvalidChangeError("; ".join(problems))
            return expression.Error(error)
        now_ms = _times.wall_time_ms(self.clock)
        try:
            return expression.Ok(make_proposal(change, operator, now_ms))
        except (OverflowError, ValueError) as error:
            detail = f"a value cannot be stored: {error}"
            return expression.Error(_errors.InvalidChangeError(detail))

    async def _propose_until_answered(self, command):
        """Propose a change repeatedly until one proposal has a result.

        A single proposal to a leader that has just failed would wait until
        it times out.  Repeats are safe because a change is applied once.
        """
        first_result = asyncio.get_running_loop().create_future()
        attempts = []
        for _ in range(MAX_PROPOSAL_ATTEMPTS):
            proposed = asyncio.ensure_future(self.replica.propose(command))
            proposed.add_done_callback(
                functools.partial(_on_proposed, first_result)
            )
            attempts.append(proposed)
            if await clocks.completes(
                first_result, self.clock, PROPOSAL_RETRY_INTERVAL
            ):
                return first_result.result()
        return _choose_result(await asyncio.gather(*attempts))

    async def _wait_until_settled(self, proposal):
        settled = asyncio.get_running_loop().create_future()

        def check_result():
            result = self.machine.find_result(
                proposal.change_id, proposal.fingerprint
            )
            if not settled.done() and _is_settled(result):
                settled.set_result(result)

        self.machine.add_listener(check_result)
        try:
            check_result()
            await clocks.completes(settled, self.clock, SETTLE_TIMEOUT)
        finally:
            self.machine.remove_listener(check_result)
        if settled.done():
            return settled.result()
        detail = f"change {proposal.change_id!r} is not settled yet"
        return expression.Error(_errors.ChangeOutcomeUnknownError(detail))

    async def objects(self, kind=None, name=None, linearizable=True):
        """Return objects of the current revision.

        :param kind: only those of this kind, if given.
        :param name: only the one of this name, if given.
        :param linearizable: whether all accepted changes must be included.
        :returns: ``Result`` of an ``ObjectList``.
        """
        if linearizable:
            barrier = await self.replica.read_barrier()
            if barrier.is_error():
                return barrier
        published = self.machine.published
        result: documents.ObjectList = {
            "revision": published.revision,
            "objects": sorted(
                _select_objects(published, kind, name), key=_sort_key
            ),
        }
        return expression.Ok(result)

    async def history(self, after=0):
        """Return the accepted changes whose results are still kept.

        :param after: only changes with a later revision.
        :returns: ``Result`` of a ``History``.
        """
        barrier = await self.replica.read_barrier()
        if barrier.is_error():
            return barrier
        changes = [
            _status.change_record(record)
            for record in self.machine.change_history.records()
            if record.accepted and record.revision > after
        ]
        result: documents.History = {"changes": changes}
        return expression.Ok(result)

    async def status(self):
        """Return the state of the configuration as known to this control VM.

        :returns: ``Result`` of a ``Status``.
        """
        group = self.replica.status()
        entries = _status.entry_statuses(
            self.machine, self.source_task.reports(), self.clock.monotonic()
        )
        barrier = await self.replica.read_barrier()
        result: documents.Status = {
            "node_id": group.node_id,
            "revision": self.machine.revision,
            "has_quorum": barrier.is_ok(),
            "replicas": _status.replica_statuses(group),
            "regions": _status.region_statuses(self.machine, entries),
            "changes": _status.change_statuses(self.machine, entries),
        }
        if group.leader:
            result["leader"] = group.leader
        return expression.Ok(result)

    async def replicas(self):
        """Return the replicas of the configuration group.

        :returns: ``Result`` of a ``ReplicaList``.
        """
        statuses = _status.replica_statuses(self.replica.status())
        result: documents.ReplicaList = {"replicas": statuses}
        return expression.Ok(result)

    async def add_replica(self, node_id):
        """Add a replica as learner and promote it once it has caught up.

        The replica stays a learner if it does not catch up in time; calling
        this method again continues the promotion.

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
            await self.clock.sleep(PROMOTION_RETRY_INTERVAL)
        return await self.replicas()

    def _members(self):
        group = self.replica.status()
        return {*group.voters, *group.learners}

    async def remove_replica(self, node_id):
        """Remove a replica; a node that is not a member is ignored.

        :param node_id: the replica.
        :returns: ``Result`` of a ``ReplicaList``.
        """
        if node_id not in self._members():
            return await self.replicas()
        removed = await self.replica.remove(node_id)
        if removed.is_error():
            return removed
        return await self.replicas()


def _on_proposed(first_result, proposed):
    if proposed.cancelled() or first_result.done():
        return
    if proposed.result().is_ok():
        first_result.set_result(proposed.result())


def _choose_result(results):
    """Return a success, else an unknown outcome, else any error."""

    def sort_key(result):
        if result.is_ok():
            return 0
        return 1 if result.error.run_state == errors.RunState.UNKNOWN else 2

    return min(results, key=sort_key)


def _is_behind(error):
    return isinstance(error, consensus.LearnerBehindError)


def _select_objects(published, kind, name):
    for entry in published.named_objects():
        if kind not in (None, entry["kind"]):
            continue
        if name in (None, entry["object"]["name"]):
            yield entry


def _sort_key(entry):
    return entry["kind"], entry["object"]["name"]


def _is_settled(result):
    if result is None:
        return False
    pending = result.is_ok() and isinstance(result.ok, _machine.ChangePending)
    return not pending


def make_proposal(change: documents.Change, operator, proposed_at_ms):
    """Return a change as a command for the log.

    :param change: the change, already validated against the schema.
    :param operator: name from the operator's token.
    :param proposed_at_ms: wall time in milliseconds.
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
