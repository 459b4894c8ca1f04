"""Reports of an entry VM to control VMs, and updates that it gets back."""

import datetime

from expression import Ok

from buckthorntack import discovery
from buckthorntack import events
from buckthorntack.gateway import _addresses
from buckthorntack.gateway import _events
from buckthorntack.gateway import _notices
from buckthorntack.gateway import _packing
from buckthorntack.gateway import _presence
from buckthorntack.gateway import _records
from buckthorntack.schema import messages

#: Report period of an entry VM without a configuration.
STARTING_REPORT_PERIOD = datetime.timedelta(milliseconds=250)
#: Every nth report goes to all control VMs, so that they have a record of
#: the entry VM if the control VM that it follows fails.
BROADCAST_INTERVAL_REPORTS = 4
#: Time without a configuration that exceeds the usual one after a start, and
#: interval between two reports of it.
CONFIGURATION_DELAY = datetime.timedelta(seconds=3)


class FollowingTask:
    """Keeps servers, nodes and directives at an entry VM up to date.

    :param settings: ``NodeSettings``.
    :param shared_state: the ``SharedState``.
    :param links: ``transport.PlainLinks``.
    :param timing: ``discovery.Timing``.
    :param clock: source of time.
    :param rng: source of randomness.
    """

    def __init__(self, settings, shared_state, links, timing, clock, rng):
        self.settings = settings
        self.shared_state = shared_state
        self.registry = shared_state.registry
        self.links = links
        self.timing = timing
        self.clock = clock
        self.rng = rng
        self.local_presence = _presence.LocalPresence(
            settings.service_address, "entry", "starting", clock
        )
        self.control_selector = discovery.ControlVmSelector(
            settings.region, settings.failure_domain, timing, rng
        )
        for seed in settings.seeds:
            self.add_seed(seed)
        self._logged_control_vm = None
        self._merged_stamps = {}
        self._report_round = 0
        self._unconfigured = _notices.LastingCondition(
            CONFIGURATION_DELAY, CONFIGURATION_DELAY
        )
        self._log = events.EventLog("gateway")

    def add_seed(self, seed):
        """Add a control VM by its address.

        :param seed: service address of the control VM.
        """
        address = _addresses.link_address_of(seed, self.settings.link_port)
        self.links.set_address(seed, address)
        self.control_selector.add(seed)

    def presence(self):
        """Return the current ``NodePresence`` of this node."""
        return self.local_presence.to_message(self.settings)

    @property
    def state(self):
        """State of this node that is reported to control VMs."""
        return self.local_presence.state

    async def run(self):
        """Report periodically until cancelled."""
        while True:
            self.report()
            is_starting = self.state == "starting"
            self._observe_start(is_starting)
            await self.clock.sleep(
                STARTING_REPORT_PERIOD
                if is_starting
                else self.timing.report_interval
            )

    def _observe_start(self, is_starting):
        """Log if this node stays without a configuration."""
        lasted = self._unconfigured.check(is_starting, self.clock.monotonic())
        if lasted is None:
            return
        selector = self.control_selector
        self._log.write(
            _events.CONFIGURATION_AWAITED,
            lasted_ms=lasted // datetime.timedelta(milliseconds=1),
            followed=selector.followed_id,
            has_majority=selector.has_majority,
            control_vms=",".join(sorted(selector.control_vm_ids)),
        )

    def set_state(self, state):
        """Change the state of this node and report it to all control VMs.

        :param state: ``ready``, ``stopping`` or ``gone``.
        """
        if state != self.state:
            self.local_presence.state = state
            self.local_presence.sequence += 1
            self._report_round = 0
            self.report()

    def set_capacity(self, meter):
        """Set the capacity that is sent with the next reports.

        :param meter: the ``CapacityMeter`` of this VM.
        """
        self.local_presence.capacity = meter.reported
        self.local_presence.means = meter.nominal

    def set_unreachable_services(self, services):
        """Report to all control VMs which services cannot be reached.

        :param services: their names.
        """
        self.local_presence.unreachable_services = services
        self._report_round = 0
        self.report()

    def report(self):
        """Report to the followed control VM, and periodically to all."""
        now = self.clock.monotonic()
        self.local_presence.sequence += 1
        targets = self.control_selector.select_targets(now)
        self._log_followed_change()
        if self._report_round % BROADCAST_INTERVAL_REPORTS == 0:
            others = [
                record.node_id
                for record in self.registry.nodes_with_role("control")
                if not record.silent
            ]
            targets = list(dict.fromkeys([*targets, *others]))
        self._report_round += 1
        for node_id in targets:
            self._send_report(node_id, now)

    def _send_report(self, node_id, now):
        follows = (
            node_id == self.control_selector.followed_id
            or self.control_selector.followed_id is None
        )
        epoch, stamp = self._merged_stamps.get(node_id, (0, 0))
        report = messages.PresenceReport(
            node=self.presence(),
            registry_epoch=epoch if follows else -1,
            registry_stamp=stamp,
            version=self.shared_state.version,
            directives_index=self.shared_state.directives_index,
            heard_servers=[],
            heard_nodes=[],
        )
        self.control_selector.on_report_sent(node_id, now)
        self.links.send(node_id, report)

    def _log_followed_change(self):
        chosen = self.control_selector.followed_id
        if chosen == self._logged_control_vm:
            return
        former, self._logged_control_vm = self._logged_control_vm, chosen
        if chosen is None:
            self._log.write(_events.GUIDES_LOST, former=former)
        else:
            self._log.write(
                _events.GUIDE_CHANGED, former=former, chosen=chosen
            )

    def on_presence_reply(self, sender, reply):
        """Handle the reply to a report.

        :param sender: id of the control VM.
        :param reply: ``PresenceReply``.
        """
        now = self.clock.monotonic()
        self.control_selector.on_reply(sender, reply.has_majority, now)
        _records.take_presence_reply(
            self.local_presence, reply, sender, self._log
        )
        records = (view.record for view in self.registry.servers.values())
        returned = discovery.select_returned(records, reply)
        if returned:
            changes = self.registry.changes_for_servers(
                [record.server_id for record in returned], now
            )
            self.links.send(sender, changes)

    def on_packed_changes(self, sender, packed):
        """Apply compressed changes of a control VM's registry.

        :param sender: id of the control VM.
        :param packed: ``PackedChanges``.
        """
        changes = _packing.unpack_logged(packed, sender, self._log)
        if changes is not None:
            self.on_registry_changes(sender, changes)

    def on_registry_changes(self, sender, changes):
        """Apply changes of a control VM's registry.

        :param sender: id of the control VM.
        :param changes: ``RegistryChanges``.
        """
        now = self.clock.monotonic()
        changes = _records.set_aside_unsound(changes, sender, self._log)
        epoch, stamp = self._merged_stamps.get(sender, (0, 0))
        if changes.stamp == 0:
            changed = self.registry.merge_changes(changes, now)
        else:
            is_same_epoch = changes.registry_epoch == epoch
            last_stamp = stamp if is_same_epoch else 0
            if changes.since_stamp > last_stamp:
                return
            changed = self.registry.adopt_changes(changes, now)
            self._merged_stamps[sender] = (
                changes.registry_epoch,
                max(last_stamp, changes.stamp),
            )
        self._log_server_changes(sender, changed)
        self.shared_state.on_first_records(changed)
        self.shared_state.on_servers_changed(changed)
        self._update_nodes(changes.nodes)

    def _log_server_changes(self, sender, changed):
        for server_id in changed:
            view = self.registry.servers[server_id]
            record = view.record
            self._log.write(
                _events.SERVER_CHANGED,
                server=server_id,
                service=record.service,
                address=record.address,
                software_version=record.software_version,
                state=record.state,
                silent=record.silent,
                cold_left_ms=record.cold_left_ms,
                reclaim_left_ms=record.reclaim_left_ms,
                sequence=record.sequence,
                told_by=sender,
            )

    def _update_nodes(self, records):
        for record in records:
            if record.node_id == self.settings.service_address:
                continue
            self.links.set_address(record.node_id, record.link_address)
            if record.role != "control":
                continue
            if record.state == "gone":
                self.control_selector.remove(record.node_id)
            else:
                self.control_selector.add(
                    record.node_id, record.region, record.failure_domain
                )
        self.shared_state.update_members()

    def on_directives_copy(self, sender, copy):
        """Apply a copy of the directives.

        Evacuations are followed even if the configuration cannot be read.

        :param sender: id of the control VM.
        :param copy: ``DirectivesCopy``.
        """
        if copy.index <= self.shared_state.directives_index:
            return
        configuration = Ok(None)
        if copy.version > self.shared_state.version:
            if not copy.content:
                return
            try:
                content = _packing.decompress_content(copy.content)
            except _packing.DECOMPRESS_ERRORS as error:
                self._log_unreadable(copy.version, repr(error), sender)
                return
            configuration = self.shared_state.dialect.parse_configuration(
                content
            )
            if configuration.is_error():
                detail = configuration.error.detail
                self._log_unreadable(copy.version, detail, sender)
                self.shared_state.apply_evacuations(copy.index, copy.evacuated)
                return
        self.shared_state.apply_directives(
            copy.index, configuration.ok, copy.evacuated
        )
        self._log.write(
            _events.DIRECTIVES_TAKEN,
            index=copy.index,
            version=self.shared_state.version,
            evacuated=",".join(copy.evacuated),
            confirmed=copy.confirmed,
            told_by=sender,
        )
        if self.state == "starting" and self.shared_state.version >= 0:
            self.set_state("ready")

    def _log_unreadable(self, version, error, sender):
        self._log.write(
            _events.DIRECTIVES_UNREADABLE,
            version=version,
            error=error,
            told_by=sender,
        )
