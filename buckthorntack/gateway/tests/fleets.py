"""Control VMs, entry VMs and servers that count their messages.

There is no network: what is sent arrives at the next step of the clock.
"""

import collections
import datetime
import itertools
import random

from buckthorntack import clock as clocks
from buckthorntack import discovery
from buckthorntack import schema
from buckthorntack.gateway import _gathering
from buckthorntack.gateway import _packing
from buckthorntack.gateway.tests import control_vms
from buckthorntack.schema import messages

S = datetime.timedelta(seconds=1)
MS = datetime.timedelta(milliseconds=1)
STEP = 50 * MS
ANNOUNCEMENT_MS = 1200
COLD_MS = 3000
#: Servers for each VM of ours.
SERVERS_PER_VM = 10
CONTROL_VMS = 6


class Traffic:
    """Messages and bytes that one control VM sent and received."""

    def __init__(self):
        self.messages = collections.Counter()
        self.bytes = collections.Counter()

    def count(self, kind, size_bytes):
        self.messages[kind] += 1
        self.bytes[kind] += size_bytes


class _Links:
    def __init__(self, fleet, own_id):
        self.fleet = fleet
        self.own_id = own_id

    def set_address(self, node_id, address):
        pass

    def send(self, to, message):
        self.fleet.post(self.own_id, to, message)


class _Replica:
    def is_in_step(self):
        return True


class _EntryVm:
    """An entry VM: reports, and copies of the records of servers."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.node_id = f"10.9.{number // 200}.{number % 200}:80"
        self.domain = fleet.domain_of(number)
        self.state = "starting"
        self.protocol_version = discovery.PROTOCOL_VERSION
        self.sequence = 0
        self.servers = {}
        self.stamps = {}

    def presence(self):
        return messages.NodePresence(
            node_id=self.node_id,
            incarnation=1,
            sequence=self.sequence,
            role="entry",
            state=self.state,
            link_address=self.node_id,
            service_address=self.node_id,
            failure_domain=self.domain,
            region=self.domain[:-2],
            silent=False,
            unreachable_services=[],
            protocol_version=self.protocol_version,
        )

    def report(self, followed, targets):
        self.sequence += 1
        for to in targets:
            epoch, stamp = self.stamps.get(to, (0, 0))
            report = messages.PresenceReport(
                node=self.presence(),
                registry_epoch=epoch if to == followed else -1,
                registry_stamp=stamp,
                version=0 if self.state == "ready" else -1,
                directives_index=0,
                heard_servers=[],
                heard_nodes=[],
            )
            self.fleet.post(self.node_id, to, report)

    def receive(self, sender, message):
        if isinstance(message, messages.PackedChanges):
            message = _packing.unpack(message)
        if isinstance(message, messages.RegistryChanges):
            for record in message.servers:
                self.servers[record.server_id] = record
            if message.stamp:
                self.stamps[sender] = message.registry_epoch, message.stamp
            return
        copy = discovery.select_returned(self.servers.values(), message)
        if copy:
            changes = messages.RegistryChanges(1, 0, 0, copy, [])
            self.fleet.post(self.node_id, sender, changes)


class Fleet:
    """A deployment whose processes all start at once.

    :param size: number of VMs of ours.
    :param seed: seed of all randomness.
    """

    def __init__(self, size, seed=0):
        self.rng = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.clock.advance(S)
        self.traffic = collections.defaultdict(Traffic)
        self._posted = []
        self._mute = set()
        self.controls = {}
        addresses = [
            f"10.{n % 3 + 1}.0.{n + 1}:80" for n in range(CONTROL_VMS)
        ]
        self.addresses = addresses
        for number in range(CONTROL_VMS):
            self.start_control(number)
        self.entries = {
            vm.node_id: vm
            for vm in (_EntryVm(self, n) for n in range(size - CONTROL_VMS))
        }
        count = size * SERVERS_PER_VM
        self.servers = [self._make_server(n) for n in range(count)]
        self._steps = itertools.count()

    def domain_of(self, number):
        region = control_vms.REGIONS[number % 3]
        return f"{region}-a"

    def start_control(self, number):
        """Start the process of a control VM, with an empty registry."""
        address = self.addresses[number]
        region = control_vms.REGIONS[number % 3]
        settings = control_vms._make_settings(
            address, region, tuple(self.addresses[:3]), True
        )
        registry = discovery.Registry(
            self.rng.getrandbits(40) + 1,
            discovery.Timing(),
            self.clock.monotonic(),
        )
        self.controls[address] = _gathering.GatheringTask(
            settings,
            address,
            registry,
            _Links(self, address),
            _Replica(),
            control_vms._Distribution(),
            registry.timing,
            self.clock,
        )

    def _make_server(self, number):
        domain = self.domain_of(number)
        return messages.AnnouncedServer(
            server_id=f"i-{number:08x}",
            born_ms=1_764_900_000_000,
            sequence=0,
            state="ready",
            service="triage-llm",
            address=f"10.7.{number // 250}.{number % 250}:8080",
            failure_domain=domain,
            region=domain[:-2],
            slots=32,
            cold_left_ms=COLD_MS,
            reclaim_left_ms=-1,
            silent=False,
            software_version="v1",
        )

    def post(self, sender, to, message):
        """Send a message; what control VMs send and receive is counted."""
        kind = type(message).__name__
        size_bytes = len(schema.pack(message))
        for node_id, way in ((sender, "sent"), (to, "received")):
            if node_id in self.controls:
                self.traffic[node_id].count((kind, way), size_bytes)
        self._posted.append((sender, to, message))

    def announce(self, number, control=None, **changes):
        """Let a server announce itself at a random control VM."""
        record = self.servers[number]
        cold_left_ms = max(0, COLD_MS - record.sequence * ANNOUNCEMENT_MS)
        record = record._replace(
            sequence=record.sequence + 1, cold_left_ms=cold_left_ms, **changes
        )
        self.servers[number] = record
        control = control or self.rng.choice(self.addresses)
        self.controls[control].on_announcement(record)

    def mute(self, number):
        """Let a server announce itself no more."""
        self._mute.add(number)

    def advance(self, duration):
        """Let time pass."""
        end = self.clock.monotonic() + duration
        while self.clock.monotonic() < end:
            self.clock.advance(STEP)
            self._step(next(self._steps))

    def _step(self, step):
        posted, self._posted = self._posted, []
        for sender, to, message in posted:
            self._deliver(sender, to, message)
        period_steps = ANNOUNCEMENT_MS * MS // STEP
        for number in range(
            step % period_steps, len(self.servers), period_steps
        ):
            if number not in self._mute:
                self.announce(number)
        for n, control in enumerate(self.controls.values()):
            if (step + n) % 10 == 0:
                control.report()
            if (step + n) % 5 == 0:
                now = self.clock.monotonic()
                control.registry.mark_silent(now)
                control._send_changes(now)
            if step % 2 == 0:
                control.flush()
        for n, entry in enumerate(self.entries.values()):
            if (step + n) % 16 == 0:
                followed = self.addresses[n % CONTROL_VMS]
                everyone = (step // 16 + n) % 4 == 0
                targets = self.addresses if everyone else [followed]
                entry.report(followed, targets)
                if step > 40:
                    entry.state = "ready"

    def _deliver(self, sender, to, message):
        entry = self.entries.get(to)
        if entry is not None:
            entry.receive(sender, message)
            return
        control = self.controls[to]
        if isinstance(message, messages.PresenceReport):
            control.on_presence_report(sender, message)
        elif isinstance(message, messages.PresenceReply):
            control.on_presence_reply(sender, message)
        elif isinstance(message, messages.RegistryChanges):
            control.on_registry_changes(sender, message)
        elif isinstance(message, messages.PackedChanges):
            control.on_packed_changes(sender, message)

    def busiest(self):
        """Messages and bytes of the control VM with most bytes."""
        return max(
            self.traffic.values(), key=lambda one: sum(one.bytes.values())
        )

    def forget_traffic(self):
        self.traffic.clear()
