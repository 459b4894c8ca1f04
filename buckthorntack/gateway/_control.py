"""A control VM: directives by consensus, announcements, other nodes."""

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
from buckthorntack import storage
from buckthorntack import transport
from buckthorntack.gateway import _addresses
from buckthorntack.gateway import _errors
from buckthorntack.gateway import _events
from buckthorntack.gateway import _gathering
from buckthorntack.gateway import _identity
from buckthorntack.gateway import _loops
from buckthorntack.gateway import _node
from buckthorntack.gateway import _spreading
from buckthorntack.schema import messages

GROUP = "directives"
_MS = datetime.timedelta(milliseconds=1)
#: Longest wait for a majority; operators turn to another VM after a second.
ORDER_WAIT_S = 3.0
READ_WAIT_S = 0.9
#: Times of the group: the longest links are 55 ms one way.
TIMING = consensus.Timing(
    tick=100 * _MS,
    heartbeat=250 * _MS,
    election_timeout=900 * _MS,
    first_election_timeout=250 * _MS,
)
FORMATION_PERIOD = 500 * _MS
#: Time for the leadership to be handed over before a planned stop.
HAND_OVER_S = 1.5


class ControlNode(_node.Node):
    """One control VM.

    The handlers name ``control``, the one of operators and servers.

    :param files: file operations.
    """

    def __init__(self, *arguments, files=None, **options):
        super().__init__(*arguments, **options)
        self.files = files or storage.SystemFiles()
        self.identity = None
        self.gathering = None
        self.replica = None
        self.spreading = None
        self.listener = None

    def _described(self):
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
                settings.bound(settings.link_address),
                self._deliver,
            )
        )
        self.spreading = _spreading.SpreadingTask(self.links, self.clock)
        self.machine = directives.DirectivesMachine(self.spreading.changed)
        self.spreading.machine = self.machine
        replica = consensus.ReplicaTask(
            GROUP,
            node_id,
            self.identity.first_voters,
            os.path.join(settings.data_folder, GROUP),
            self.machine,
            self,
            self.clock,
            self.rng,
            TIMING,
            self.files,
        )
        self.spreading.replica = replica
        self.replica = await enter(replica)
        self.gathering = _gathering.GatheringTask(
            settings,
            node_id,
            self.registry,
            self.links,
            self.replica,
            self.spreading,
            self.timing,
            self.clock,
        )
        handlers = self.make_handlers(self)
        self.listener = await self._listen(
            "control", settings.service_address, handlers["control"]
        )
        await self._serve_metrics()
        for work in (
            self.gathering.run,
            self.gathering.expire,
            self._form,
        ):
            await enter(_loops.keep_running(work))

    def send(self, to, message):
        """Send a message of the group to another replica.

        :param to: its node id.
        :param message: the message.
        """
        if to not in self.links.addresses:
            address = _addresses.link_address_of(to, self.settings.link_port)
            self.links.learn(to, address)
        envelope = messages.ReplicaEnvelope(to, schema.pack(message))
        self.links.send(to, envelope)

    def _deliver(self, sender, message):
        if isinstance(message, messages.ReplicaEnvelope):
            self._deliver_to_replica(sender, message)
        elif self.gathering is None:
            return
        elif isinstance(message, messages.PresenceReport):
            self.gathering.take_report(sender, message)
        elif isinstance(message, messages.PresenceReply):
            self.gathering.take_reply(sender, message)
        elif isinstance(message, messages.RegistryChanges):
            self.gathering.take_changes(sender, message)

    def _deliver_to_replica(self, sender, envelope):
        """Hand over a message unless it is meant for a lost disk."""
        if self.replica is None:
            return
        if envelope.receiver == self.identity.node_id:
            self.replica.deliver(sender, schema.unpack(envelope.content))

    async def publish(self, content):
        """Put a configuration in force.

        :param content: its bytes.
        :returns: ``Result`` of the version in force.
        """
        read = self.dialect.read_configuration(content)
        if read.is_error():
            self._log_refused("publish", read.error)
            return read
        version = read.ok.version
        if version <= self.machine.directives.version:
            return Ok(self.machine.directives.version)
        command = messages.PublishVersion(version, content)
        ordered = await self._order(command)
        return ordered.map(lambda outcome: outcome.version)

    async def evacuate(self, failure_domain, evacuated):
        """Send no work to a failure domain, or take that back.

        :param failure_domain: the failure domain.
        :param evacuated: whether it gets none.
        :returns: ``Result`` of the version in force.
        """
        if failure_domain not in self.settings.regions:
            error = _errors.UnknownDomainError(failure_domain)
            self._log_refused("evacuate", error)
            return Error(error)
        command = messages.EvacuateDomain(failure_domain, evacuated)
        ordered = await self._order(command)
        return ordered.map(lambda outcome: outcome.version)

    async def _order(self, command):
        data = directives.encode_command(command)
        name = type(command).__name__
        try:
            async with asyncio.timeout(ORDER_WAIT_S):
                result = await self.replica.propose(data)
        except TimeoutError:
            result = Error(_errors.NoMajorityError(f"{name}: no answer"))
        if result.is_error():
            self._log_refused(name, result.error)
            return Error(_errors.NoMajorityError(str(result.error)))
        self._log.write(
            _events.DIRECTIVE_ACCEPTED,
            order=name,
            version=result.ok.version,
            changed=result.ok.changed,
            index=self.machine.directives.index,
        )
        return result

    def _log_refused(self, order, error):
        self._log.write(
            _events.DIRECTIVE_REFUSED, order=order, error=str(error)
        )

    async def read(self):
        """The newest directives.

        :returns: ``Result`` of ``Directives``; an error if a majority did
            not confirm in time that there are no newer ones.
        """
        try:
            async with asyncio.timeout(READ_WAIT_S):
                read = await self.replica.read_barrier()
        except TimeoutError:
            read = Error(_errors.NoMajorityError("no answer"))
        if read.is_error():
            self._log.write(_events.READ_REFUSED, error=str(read.error))
            return Error(_errors.NoMajorityError(str(read.error)))
        return Ok(self.machine.directives)

    async def _form(self):
        """Grow and mend the group while this replica leads it."""
        voters = 2 * self.settings.tolerated_losses + 1
        formation = None
        while True:
            await self.clock.sleep(FORMATION_PERIOD)
            if not self.replica.is_leader():
                formation = None
                continue
            if formation is None:
                formation = discovery.MemberChangePlanner(
                    voters, discovery.VOTER_ABSENCE_TIMEOUT
                )
            now = self.clock.monotonic()
            change = formation.next_change(
                self.replica.status(), self.gathering.present_controls(), now
            )
            if change is not None:
                result = await self._make(change)
                self._log.write(
                    _events.MEMBER_CHANGE,
                    change=type(change).__name__,
                    node_id=change.node_id,
                    outcome="done" if result.is_ok() else str(result.error),
                )

    @functools.singledispatchmethod
    async def _make(self, change):
        raise TypeError(f"{type(change).__name__} is no change of members")

    @_make.register
    async def _(self, change: discovery.AddLearner):
        return await self.replica.add_learner(change.node_id)

    @_make.register
    async def _(self, change: discovery.Promote):
        return await self.replica.promote(change.node_id)

    @_make.register
    async def _(self, change: discovery.Remove):
        return await self.replica.remove(change.node_id)

    def take_settings(self, settings):
        """Take settings that were read again.

        :param settings: ``NodeSettings``.
        """
        self.settings = settings
        self.gathering.settings = settings

    async def failed(self):
        """Wait until the replica has stopped by itself.

        :returns: the error that stopped it.
        """
        return await self.replica.wait_until_stopped()

    async def stop(self):
        """Hand the leadership on and finish what was begun."""
        self._note(_events.NODE_STOPPING)
        self.gathering.own.state = "stopping"
        self.listener.begin_close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HAND_OVER_S):
                await self.replica.transfer_leadership()
        self.listener.stop_accepting()
