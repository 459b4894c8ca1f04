"""Control VM: replicates directives and collects server announcements."""

import asyncio
import contextlib
import datetime
import functools
import os

from expression import Error
from expression import Ok

from buckthorntack import consensus
from buckthorntack import directives
from buckthorntack import discovery
from buckthorntack import schema
from buckthorntack import shutdown
from buckthorntack import storage
from buckthorntack import transport
from buckthorntack.gateway import _addresses
from buckthorntack.gateway import _call_times
from buckthorntack.gateway import _distribution
from buckthorntack.gateway import _errors
from buckthorntack.gateway import _events
from buckthorntack.gateway import _gathering
from buckthorntack.gateway import _identity
from buckthorntack.gateway import _incarnation_tasks
from buckthorntack.gateway import _metrics
from buckthorntack.gateway import _node
from buckthorntack.gateway import _notices
from buckthorntack.gateway import _origin_tasks
from buckthorntack.gateway import _supervision
from buckthorntack.schema import messages

#: Name of the consensus group and of its folder.
GROUP_NAME = "directives"
_MS = datetime.timedelta(milliseconds=1)
#: Longest wait for a majority to commit a directive.
PROPOSE_TIMEOUT = 3000 * _MS
#: Longest wait for a majority to confirm a read; operators try another control
#: VM after one second.
READ_TIMEOUT = 900 * _MS
#: Retry-After of calls that a planned stop leaves no time for; other control
#: VMs serve them at once.
STOP_RETRY_AFTER_MS = 50.0
#: Version of the messages between nodes that has ``OrderEvacuation``.
ORDERED_EVACUATIONS_VERSION = 2
#: Timing of the consensus group; the longest links take 55 ms one way.  The
#: largest configuration, 4 MiB, is a snapshot of 16 chunks and round trips.
TIMING = consensus.Timing(
    tick=100 * _MS,
    heartbeat=250 * _MS,
    election_timeout=900 * _MS,
    first_election_timeout=100 * _MS,
    chunk_bytes=256 * 1024,
)
#: Period of the check for membership changes of the consensus group.
MEMBER_CHECK_PERIOD = 100 * _MS
#: Period at which the state of the group is observed.
OBSERVATION_PERIOD = 1000 * _MS
#: Time without a leader that exceeds that of an election.
LEADERLESS_DELAY = 3000 * _MS
#: Interval between two reports that the group has no leader.
LEADERLESS_INTERVAL = 10_000 * _MS
#: Longest wait for a leadership transfer before a planned stop.
LEADERSHIP_TRANSFER_TIMEOUT = 1500 * _MS
#: Longest wait for a learner to take this voter's place before a planned stop.
VOTE_HANDOVER_TIMEOUT = 2000 * _MS


def make_planner(settings):
    """Return a planner of the member changes of the control group.

    :param settings: ``NodeSettings`` of the leader.
    :returns: ``discovery.MemberChangePlanner``.
    """
    return discovery.MemberChangePlanner(2 * settings.tolerated_losses + 1)


def plan_change(planner, status, gathering, now):
    """Return the next member change of the control group, if one is needed.

    :param planner: ``discovery.MemberChangePlanner`` of the leader.
    :param status: ``consensus.ReplicaStatus`` of the leader.
    :param gathering: ``GatheringTask`` of the leader.
    :param now: monotonic time.
    """
    control_vms = discovery.ControlVms(
        gathering.list_live_controls(),
        frozenset(gathering.list_stopping_controls()),
    )
    return planner.next_change(status, control_vms, now)


def has_handed_over(status, may_be_voter, gathering):
    """Whether a control VM that stops may end.

    It may not while it leads, while it is a voter and a live learner can take
    its place, or before its replacement is committed.

    :param status: its ``consensus.ReplicaStatus``.
    :param may_be_voter: what ``may_be_voter`` of its replica returns.
    :param gathering: its ``GatheringTask``.
    """
    if status.leader == status.node_id:
        return False
    if not may_be_voter:
        return True
    if status.node_id not in status.voters:
        return False
    live = gathering.list_live_controls()
    return not any(learner in live for learner in status.learners)


def _build_stop_error(name):
    return _errors.ControlStoppingError(
        f"{name}: the control VM stops", STOP_RETRY_AFTER_MS
    )


@functools.singledispatch
def _describe_order(command):
    """Return the log fields that name the order of a command."""
    raise TypeError(f"{type(command).__name__} is not a directive")


@_describe_order.register
def _(command: messages.PublishVersion):
    return {"order": "PublishVersion", "version": command.version}


@_describe_order.register(messages.EvacuateDomain)
@_describe_order.register(messages.OrderEvacuation)
def _(command):
    return {"order": type(command).__name__, **command._asdict()}


def _join_versions(counts):
    return ",".join(str(version) for version in sorted(counts))


class ControlNode(_node.Node):
    """Control VM.

    The handlers must contain ``control``, the handler of operators and
    servers.

    :param files: ``storage.Files``; None for those of the operating system.
    """

    def __init__(self, *arguments, files=None, **options):
        super().__init__(*arguments, **options)
        self.files = files or storage.SystemFiles()
        self.identity = None
        self.gathering = None
        self.origin_keeper = None
        self.replica = None
        self.distribution = None
        self.listener = None
        self.call_times = _call_times.CallTimes(self.clock)
        self.metrics = _metrics.ControlMetrics(self.metrics_registry)
        self._leaderless = _notices.LastingCondition(
            LEADERLESS_DELAY, LEADERLESS_INTERVAL
        )
        self._protocol_versions = {}

    def _start_log_fields(self):
        return {
            "node_id": self.identity.node_id,
            "operators": self.listener.address,
        }

    async def _start(self):
        settings = self.settings
        enter = self._stack.enter_async_context
        self.identity = await asyncio.to_thread(
            _identity.load_identity, self.files, settings, self.rng
        )
        node_id = self.identity.node_id
        self.links = await enter(
            transport.PlainLinks(
                node_id,
                settings.to_bind_address(settings.link_address),
                self._on_message,
            )
        )
        self.distribution = _distribution.DistributionTask(
            self.links, self.clock
        )
        self.machine = directives.DirectivesMachine(
            self.distribution.on_directives_changed, self._log_applied
        )
        self.distribution.machine = self.machine
        replica = consensus.ReplicaTask(
            GROUP_NAME,
            node_id,
            self.identity.first_voters,
            os.path.join(settings.data_folder, GROUP_NAME),
            self.machine,
            self,
            self.clock,
            self.rng,
            TIMING,
            self.files,
        )
        self.distribution.replica = replica
        self.replica = await enter(replica)
        self.gathering = _gathering.GatheringTask(
            settings,
            node_id,
            self.registry,
            self.links,
            self.replica,
            self.distribution,
            self.timing,
            self.clock,
        )
        self.origin_keeper = _origin_tasks.OriginKeeper(
            self.registry, self.links, self.clock
        )
        handlers = self.make_handlers(self)
        self.listener = await self._listen(
            "control", settings.service_address, handlers["control"]
        )
        await self._serve_metrics()
        for work in (
            self.gathering.run,
            self.gathering.expire,
            self.gathering.flush_changes,
            self.origin_keeper.run,
            self._form,
            self._observe,
        ):
            await enter(_supervision.supervise(work))

    def send(self, to, message):
        """Send a consensus message to another replica.

        :param to: node id of the replica.
        :param message: the message.
        """
        if to not in self.links.addresses:
            address = _addresses.link_address_of(to, self.settings.link_port)
            self.links.set_address(to, address)
        envelope = messages.ReplicaEnvelope(to, schema.pack(message))
        self.links.send(to, envelope)

    def _on_message(self, sender, message):
        if isinstance(message, messages.ReplicaEnvelope):
            self._on_replica_envelope(sender, message)
        elif self.gathering is None or self.origin_keeper is None:
            return
        elif isinstance(message, messages.PresenceReport):
            self.gathering.on_presence_report(sender, message)
        elif isinstance(message, messages.PresenceReply):
            self.gathering.on_presence_reply(sender, message)
        elif isinstance(message, messages.RegistryChanges):
            self.gathering.on_registry_changes(sender, message)
        elif isinstance(message, messages.PackedChanges):
            self.gathering.on_packed_changes(sender, message)
        elif isinstance(message, messages.StreamOrigins):
            self.origin_keeper.on_origins(message)
        elif isinstance(message, messages.OriginQuery):
            self.origin_keeper.on_query(sender, message)
        elif isinstance(message, messages.IncarnationQuery):
            _incarnation_tasks.answer_query(
                self.registry,
                self.links,
                sender,
                message,
                self.clock.monotonic(),
            )

    def _on_replica_envelope(self, sender, envelope):
        """Deliver a consensus message unless it is for a replaced disk."""
        if self.replica is None:
            return
        if envelope.receiver != self.identity.node_id:
            return
        try:
            message = schema.unpack(envelope.content)
        except schema.MalformedMessageError as error:
            self._log.write(
                _events.REPLICA_MESSAGE_REFUSED, peer=sender, error=str(error)
            )
            return
        self.replica.deliver(sender, message)

    async def publish(self, content, operator):
        """Publish a configuration.

        :param content: the serialized configuration.
        :param operator: the ``Operator`` who gave the order.
        :returns: ``Result`` of the active version.
        """
        parsed = self.dialect.parse_configuration(content)
        if parsed.is_error():
            self._log_refused("publish", parsed.error)
            return parsed
        version = parsed.ok.version
        if version <= self.machine.directives.version:
            return Ok(self.machine.directives.version)
        # The version tells a late order from a newer one.
        command = messages.PublishVersion(version, content)
        fields = {"order": "PublishVersion", "version": version}
        ordered = await self._carry_out(
            lambda: self._propose(command), fields, operator
        )
        return ordered.map(lambda outcome: outcome.version)

    async def evacuate(self, failure_domain, evacuated, operator):
        """Start or end the evacuation of a failure domain.

        :param failure_domain: name of the failure domain.
        :param evacuated: whether the domain receives no requests.
        :param operator: the ``Operator`` who gave the order.
        :returns: ``Result`` of the active version.
        """
        if failure_domain not in self.settings.regions:
            error = _errors.UnknownDomainError(failure_domain)
            self._log_refused("evacuate", error)
            return Error(error)
        fields = {
            "order": "OrderEvacuation",
            "failure_domain": failure_domain,
            "evacuated": evacuated,
        }
        ordered = await self._carry_out(
            lambda: self._order_evacuation(
                failure_domain, evacuated, operator
            ),
            fields,
            operator,
        )
        return ordered.map(lambda outcome: outcome.version)

    async def _order_evacuation(self, failure_domain, evacuated, operator):
        """Commit an order that follows all that were acknowledged before.

        An operator gives newer orders only after this one is acknowledged or
        given up.  One who still waits after the last order that was applied
        here was looked up has given none that was applied before it.  The
        read in front of it takes a round trip, in which the close arrives of
        an operator who has left.

        :returns: ``Result`` of the ``Outcome``.
        """
        read = await self.replica.read_barrier()
        while read.is_ok():
            last_index = self.machine.last_order_index(failure_domain)
            if not operator.is_waiting():
                return Error(_errors.OperatorLeftError(operator.peer))
            command = messages.EvacuateDomain(failure_domain, evacuated)
            if self._may_order_evacuations():
                command = messages.OrderEvacuation(*command, last_index)
            result = await self._propose(command)
            if result.is_error() or not result.ok.overtaken:
                return result
        return Error(_errors.NoMajorityError(str(read.error)))

    def _may_order_evacuations(self):
        """Whether all control VMs can apply an ``OrderEvacuation``."""
        if self.machine.has_ordered_evacuations:
            return True
        status = self.replica.status()
        return discovery.can_members_follow(
            self.registry,
            ORDERED_EVACUATIONS_VERSION,
            [*status.voters, *status.outgoing, *status.learners],
        )

    async def _carry_out(self, work, fields, operator):
        """Carry out an order within its time.

        :param work: coroutine function that returns the ``Result`` of the
            ``Outcome``.
        :param fields: log fields that name the order.
        :param operator: the ``Operator`` who gave the order.
        :returns: what ``work`` returns, or an error.
        """
        fields = {**fields, "peer": operator.peer}
        self._log.write(
            _events.DIRECTIVE_ORDERED,
            **fields,
            age_ms=operator.measure_age_ms(),
        )
        try:
            result = await self._work_in_time(work)
        except asyncio.CancelledError:
            self._log.write(_events.DIRECTIVE_ABANDONED, **fields)
            raise
        if result.is_error():
            self._log_refused(fields["order"], result.error)
            return result
        self._log.write(
            _events.DIRECTIVE_ACCEPTED,
            **fields,
            active_version=result.ok.version,
            changed=result.ok.changed,
            index=result.ok.index,
        )
        return result

    async def _work_in_time(self, work):
        if not self.call_times.may_begin(PROPOSE_TIMEOUT):
            return Error(_build_stop_error("order"))
        try:
            async with self.call_times.limit(PROPOSE_TIMEOUT):
                return await work()
        except TimeoutError:
            return Error(_errors.NoMajorityError("no response"))

    async def _propose(self, command):
        result = await self.replica.propose(directives.encode_command(command))
        if result.is_error():
            return Error(_errors.NoMajorityError(str(result.error)))
        return result

    def _log_applied(self, index, command, outcome):
        self._log.write(
            _events.DIRECTIVE_APPLIED,
            index=index,
            changed=outcome.changed,
            overtaken=outcome.overtaken,
            **_describe_order(command),
        )

    def _log_refused(self, order, error):
        self._log.write(
            _events.DIRECTIVE_REFUSED, order=order, error=str(error)
        )

    async def read_directives(self):
        """Read the newest directives from a majority.

        :returns: ``Result`` of ``Directives``; an error if a majority did
            not confirm in time that there are no newer ones.
        """
        if not self.call_times.may_begin(READ_TIMEOUT):
            error = _build_stop_error("read")
            self._log.write(_events.READ_REFUSED, error=str(error))
            return Error(error)
        try:
            async with self.call_times.limit(READ_TIMEOUT):
                barrier = await self.replica.read_barrier()
        except TimeoutError:
            barrier = Error(_errors.NoMajorityError("no response"))
        if barrier.is_error():
            self._log.write(_events.READ_REFUSED, error=str(barrier.error))
            return Error(_errors.NoMajorityError(str(barrier.error)))
        return Ok(self.machine.directives)

    async def _form(self):
        """Change the members of the group while this replica is leader."""
        planner = None
        while True:
            await self.clock.sleep(MEMBER_CHECK_PERIOD)
            if not self.replica.is_leader():
                planner = None
                continue
            if planner is None:
                planner = make_planner(self.settings)
            change = plan_change(
                planner,
                self.replica.status(),
                self.gathering,
                self.clock.monotonic(),
            )
            if change is not None:
                result = await self._change_members(change)
                self._log.write(
                    _events.MEMBER_CHANGE,
                    change=type(change).__name__,
                    **change._asdict(),
                    outcome="done" if result.is_ok() else str(result.error),
                )

    async def _observe(self):
        """Observe the group periodically until cancelled."""
        while True:
            await self.clock.sleep(OBSERVATION_PERIOD)
            self._observe_group()

    def _observe_group(self):
        """Record the state of the group; log if it stays without a leader."""
        self._observe_protocol_versions()
        status = self.replica.status()
        live = self.gathering.list_live_controls()
        self.metrics.record_group(status, live)
        lasted = self._leaderless.check(
            not status.leader, self.clock.monotonic()
        )
        if lasted is not None:
            self._log.write(
                _events.GROUP_WITHOUT_LEADER,
                lasted_ms=lasted // _MS,
                term=status.term,
                can_vote=status.can_vote,
                voters=",".join(status.voters),
                learners=",".join(status.learners),
                live=",".join(sorted(live)),
            )

    def _observe_protocol_versions(self):
        """Record which versions nodes have; log if one appears or is gone."""
        counts = discovery.count_protocol_versions(self.registry)
        former = self._protocol_versions
        if counts == former:
            return
        self._protocol_versions = counts
        self.metrics.record_protocol_versions(counts, former)
        if counts.keys() != former.keys():
            self._log.write(
                _events.PROTOCOL_VERSIONS_CHANGED,
                former=_join_versions(former),
                current=_join_versions(counts),
            )

    @functools.singledispatchmethod
    async def _change_members(self, change):
        raise TypeError(f"{type(change).__name__} is not a membership change")

    @_change_members.register
    async def _(self, change: discovery.AddLearner):
        return await self.replica.add_learner(change.node_id)

    @_change_members.register
    async def _(self, change: discovery.Promote):
        return await self.replica.promote(change.node_id)

    @_change_members.register
    async def _(self, change: discovery.Replace):
        return await self.replica.replace(*change)

    @_change_members.register
    async def _(self, change: discovery.Remove):
        return await self.replica.remove(change.node_id)

    def apply_settings(self, settings):
        """Apply reloaded settings.

        :param settings: ``NodeSettings``.
        """
        self.settings = settings
        self.gathering.settings = settings

    async def failed(self):
        """Wait until the replica fails.

        :returns: the error that stopped the replica.
        """
        return await self.replica.wait_until_stopped()

    async def stop(self):
        """Hand over leadership and vote, then wait for pending calls."""
        window = shutdown.plan_stop(
            self.clock.monotonic(), self.settings.stop_grace
        )
        self._log_node_event(_events.NODE_STOPPING)
        self.call_times.begin_stop(window)
        self.gathering.local_presence.state = "stopping"
        self.gathering.report()
        self.listener.disable_keep_alive()
        with contextlib.suppress(TimeoutError):
            async with self.call_times.limit(LEADERSHIP_TRANSFER_TIMEOUT):
                await self.replica.transfer_leadership()
        await self._hand_over_vote(window.answers_until)
        self.listener.stop_accepting()
        await self._wait_until_answered([self.listener], window.closes_at)

    def _has_handed_over(self):
        return has_handed_over(
            self.replica.status(), self.replica.may_be_voter(), self.gathering
        )

    async def _hand_over_vote(self, ends_by):
        """Wait until a learner has taken this voter's place, if one can.

        :param ends_by: monotonic time of the end of the wait.
        """
        deadline = self.clock.monotonic() + VOTE_HANDOVER_TIMEOUT
        deadline = min(deadline, ends_by)
        while not self._has_handed_over():
            if self.clock.monotonic() >= deadline:
                self._log_node_event(_events.VOTE_KEPT)
                return
            await self.clock.sleep(MEMBER_CHECK_PERIOD)
