"""The task by which an entry VM reports to control VMs and follows one."""

import datetime
import zlib

from expression import Ok

from buckthorntack import discovery
from buckthorntack import events
from buckthorntack.gateway import _addresses
from buckthorntack.gateway import _events
from buckthorntack.gateway import _presence
from buckthorntack.schema import messages

#: Pause between reports of an entry VM that has no configuration yet.
STARTING_REPORT = datetime.timedelta(milliseconds=250)
#: Reports between two that go to all control VMs, so that these know the
#: entry VM when its own control VM is lost.
TELL_ALL_PERIOD = 4
#: Longest copy of the directives when it is unpacked.
MOST_CONTENT_BYTES = 64 * 1024 * 1024


class FollowingTask:
    """Keeps an entry VM's knowledge of servers, nodes and directives.

    :param settings: ``NodeSettings``.
    :param knowledge: the ``Knowledge``.
    :param links: ``transport.PlainLinks``.
    :param timing: ``discovery.Timing``.
    :param clock: source of time.
    :param rng: source of randomness.
    """

    def __init__(self, settings, knowledge, links, timing, clock, rng):
        self.settings = settings
        self.knowledge = knowledge
        self.registry = knowledge.registry
        self.links = links
        self.timing = timing
        self.clock = clock
        self.rng = rng
        self.own = _presence.OwnPresence(
            settings.service_address, "entry", "starting", clock
        )
        self.guides = discovery.ControlVmSelector(
            settings.region, settings.failure_domain, timing, rng
        )
        for seed in settings.seeds:
            self.learn_seed(seed)
        self._guide = None
        self._marks = {}
        self._rounds = 0
        self._log = events.EventLog("gateway")

    def learn_seed(self, seed):
        """Take in the address of a control VM.

        :param seed: its service address.
        """
        address = _addresses.link_address_of(seed, self.settings.link_port)
        self.links.learn(seed, address)
        self.guides.add(seed)

    def presence(self):
        """What this node says of itself."""
        return self.own.record(self.settings)

    @property
    def state(self):
        """State of this node, as control VMs are told it."""
        return self.own.state

    async def run(self):
        """Report until cancelled."""
        while True:
            self.report()
            starting = self.state == "starting"
            await self.clock.sleep(
                STARTING_REPORT if starting else self.timing.report_interval
            )

    def set_state(self, state):
        """Take another state and tell all control VMs.

        :param state: ``ready``, ``stopping`` or ``gone``.
        """
        if state != self.state:
            self.own.state = state
            self.own.sequence += 1
            self._rounds = 0
            self.report()

    def report(self):
        """Report to the control VM that is followed, at times to all."""
        now = self.clock.monotonic()
        self.own.sequence += 1
        targets = self.guides.select_targets(now)
        self._note_guide()
        if self._rounds % TELL_ALL_PERIOD == 0:
            others = [
                record.node_id
                for record in self.registry.nodes_with_role("control")
                if not record.silent
            ]
            targets = list(dict.fromkeys([*targets, *others]))
        self._rounds += 1
        for node_id in targets:
            self._report_to(node_id, now)

    def _report_to(self, node_id, now):
        follows = (
            node_id == self.guides.followed_id
            or self.guides.followed_id is None
        )
        epoch, stamp = self._marks.get(node_id, (0, 0))
        report = messages.PresenceReport(
            node=self.presence(),
            registry_epoch=epoch if follows else -1,
            registry_stamp=stamp,
            version=self.knowledge.version,
            directives_index=self.knowledge.directives_index,
            heard_servers=[],
            heard_nodes=[],
        )
        self.guides.on_report_sent(node_id, now)
        self.links.send(node_id, report)

    def _note_guide(self):
        chosen = self.guides.followed_id
        if chosen == self._guide:
            return
        former, self._guide = self._guide, chosen
        if chosen is None:
            self._log.write(_events.GUIDES_LOST, former=former)
        else:
            self._log.write(
                _events.GUIDE_CHANGED, former=former, chosen=chosen
            )

    def take_reply(self, sender, reply):
        """Take the answer to a report.

        :param sender: the control VM.
        :param reply: ``PresenceReply``.
        """
        now = self.clock.monotonic()
        self.guides.on_reply(sender, reply.has_majority, now)
        self.own.take_reply(reply)
        if reply.wants_servers:
            changes = self.registry.changes_for_servers(
                list(self.registry.servers), now
            )
            self.links.send(sender, changes)

    def take_changes(self, sender, changes):
        """Take changes of a control VM's registry.

        :param sender: the control VM.
        :param changes: ``RegistryChanges``.
        """
        now = self.clock.monotonic()
        epoch, stamp = self._marks.get(sender, (0, 0))
        if changes.stamp == 0:
            changed = self.registry.merge_changes(changes, now)
        else:
            continues = changes.registry_epoch == epoch
            known = stamp if continues else 0
            if changes.since_stamp > known:
                return
            changed = self.registry.adopt_changes(changes, now)
            self._marks[sender] = (
                changes.registry_epoch,
                max(known, changes.stamp),
            )
        self._log_servers(sender, changed)
        self.knowledge.servers_changed(changed)
        self._learn_nodes(changes.nodes)

    def _log_servers(self, sender, changed):
        for server_id in changed:
            view = self.registry.servers[server_id]
            record = view.record
            self._log.write(
                _events.SERVER_CHANGED,
                server=server_id,
                service=record.service,
                address=record.address,
                state=record.state,
                silent=record.silent,
                cold_left_ms=record.cold_left_ms,
                reclaim_left_ms=record.reclaim_left_ms,
                sequence=record.sequence,
                told_by=sender,
            )

    def _learn_nodes(self, records):
        for record in records:
            if record.node_id == self.settings.service_address:
                continue
            self.links.learn(record.node_id, record.link_address)
            if record.role != "control":
                continue
            if record.state == "gone":
                self.guides.remove(record.node_id)
            else:
                self.guides.add(
                    record.node_id, record.region, record.failure_domain
                )
        self.knowledge.set_members()

    def take_directives(self, sender, copy):
        """Take a copy of the directives.

        :param sender: the control VM.
        :param copy: ``DirectivesCopy``.
        """
        if copy.index <= self.knowledge.directives_index:
            return
        configuration = Ok(None)
        if copy.version > self.knowledge.version:
            if not copy.content:
                return
            content = unpack(copy.content)
            configuration = self.knowledge.dialect.read_configuration(content)
            if configuration.is_error():
                self._log.write(
                    _events.DIRECTIVES_UNREADABLE,
                    version=copy.version,
                    error=configuration.error.detail,
                )
                return
        self.knowledge.put_in_force(
            copy.index, configuration.ok, copy.evacuated
        )
        self._log.write(
            _events.DIRECTIVES_TAKEN,
            index=copy.index,
            version=self.knowledge.version,
            evacuated=",".join(copy.evacuated),
            confirmed=copy.confirmed,
            told_by=sender,
        )
        if self.state == "starting" and self.knowledge.version >= 0:
            self.set_state("ready")


def pack(content):
    """Bytes of a document, compressed.

    :param content: the document.
    """
    return zlib.compress(content, 6)


def unpack(data):
    """The document that :func:`pack` compressed.

    :param data: compressed bytes.
    :raises ValueError: it is larger than any document.
    """
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, MOST_CONTENT_BYTES)
    if not decompressor.eof:
        raise ValueError("the document is too large")
    return content
