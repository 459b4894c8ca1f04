"""Simulation of control VMs: consensus, their reports and member changes.

Decisions are the real ones: replicas, registries, reports and the planner of
member changes.  Processes, disks and links are simulated.
"""

import datetime
import heapq
import itertools
import random
from typing import Any
from typing import NamedTuple

from buckthorntack import clock as clocks
from buckthorntack import discovery
from buckthorntack.consensus.tests import simulation as simulations
from buckthorntack.gateway import _control
from buckthorntack.gateway import _gathering
from buckthorntack.gateway import _settings
from buckthorntack.schema import messages

S = datetime.timedelta(seconds=1)
MS = datetime.timedelta(milliseconds=1)
STEP = 25 * MS
#: One-way latency between regions.
LATENCY = 55 * MS
#: Time from the start of a process until it takes part.
PROCESS_START = 400 * MS
#: Period of the checks for silent nodes.
SILENCE_CHECK_PERIOD = _gathering.EXPIRE_PERIOD
REGIONS = ("kagoshima", "kumamoto", "fukuoka")
#: Time after which a VM that is back, or new, no longer counts as lost.
CATCH_UP = 4 * S
#: Time by which the list of seeds is behind.
LAG = 3 * S
#: Time after which service is back once all VMs are.
RECOVERY = 12 * S


class _Datagram(NamedTuple):
    due: datetime.timedelta
    number: int
    sender: str
    receiver: str
    message: Any


class _Links:
    """Stands in for ``transport.PlainLinks`` of one control VM."""

    def __init__(self, network, own_address):
        self.network = network
        self.own_address = own_address

    def set_address(self, node_id, address):
        pass

    def send(self, node_id, message):
        receiver = discovery.address_of(node_id)
        self.network.post(self.own_address, receiver, message)


class _Distribution:
    """Stands in for the distribution to entry VMs, of which there is none."""

    def on_presence_report(self, report, follows, now):
        pass


class _ReplicaView:
    """The part of ``consensus.ReplicaTask`` that reports need."""

    def __init__(self, vm):
        self.vm = vm

    def is_in_step(self):
        return self.vm.node.replica.is_in_step(self.vm.network.now)


class ControlVm:
    """One control VM; its process may be down."""

    def __init__(self, network, address, region, seeds, is_first):
        self.network = network
        self.address = address
        self.settings = _make_settings(address, region, seeds, is_first)
        self.node_id = ""
        self.is_up = False
        self.starts_at = None
        self.stops_by = None
        #: Time since when it is whole: up, with all its links.
        self.whole_since = None

    @property
    def node(self):
        return self.network.nodes[self.node_id]

    @property
    def replica(self):
        return self.node.replica

    def status(self):
        node = self.node
        return node.replica.status(self.network.now, node.applied_index, "")

    def is_due(self, now):
        """Whether its process has to start now."""
        is_starting = not self.is_up and self.starts_at is not None
        return is_starting and now >= self.starts_at

    def start_process(self):
        now = self.network.now
        if self.node.replica is None:
            self.network.restart(self.node_id)
        self.settings = self.settings._replace(seeds=self.network.list_seeds())
        timing = discovery.Timing()
        epoch = self.network.rng.getrandbits(40) + 1
        self.registry = discovery.Registry(epoch, timing, now)
        self.gathering = _gathering.GatheringTask(
            self.settings,
            self.node_id,
            self.registry,
            _Links(self.network, self.address),
            _ReplicaView(self),
            _Distribution(),
            timing,
            self.network.clock,
        )
        self.planner = None
        phase = self.network.rng.random()
        self.next_tick = now
        self.next_report = now
        self.next_silence_check = now + phase * SILENCE_CHECK_PERIOD
        self.next_plan = now + phase * _control.MEMBER_CHECK_PERIOD
        self.stops_by = None
        self.is_up = True

    def end_process(self):
        self.network.crash(self.node_id)
        self.is_up = False
        self.starts_at = None
        self.whole_since = None

    def step(self, now):
        """Do what the tasks of its process do up to now."""
        self.network.finish_writes(self.node)
        if now >= self.next_tick:
            self.next_tick = now + _control.TIMING.tick
            self.gathering.flush()
            self.replica.tick(now)
            self.network.execute_commands(self.node)
        if now >= self.next_report:
            self.next_report = (
                now + self.gathering.timing.control_report_interval
            )
            self.gathering.report()
        if now >= self.next_silence_check:
            self.next_silence_check = now + SILENCE_CHECK_PERIOD
            self.registry.mark_silent(now)
            self.gathering._send_changes(now)
        if now >= self.next_plan:
            self.next_plan = now + _control.MEMBER_CHECK_PERIOD
            self._plan(now)
        if self.stops_by is not None and self._may_end(now):
            self.end_process()

    def _plan(self, now):
        state = self.replica.state
        if not state.is_leader:
            self.planner = None
            return
        if self.planner is None:
            self.planner = _control.make_planner(self.settings)
        if state.history[-1][0] > state.commit_index:
            return
        change = _control.plan_change(
            self.planner, self.status(), self.gathering, now
        )
        if change is not None:
            self.network.changes.append((now, change))
            self.network.change_members(self.node_id, change)

    def has_ended(self):
        """Whether it ended by plan and does not come back."""
        return not self.is_up and self.starts_at is None

    def begin_stop(self, now):
        """Do what SIGTERM causes."""
        self.gathering.local_presence.state = "stopping"
        self.gathering.report()
        self.network.transfer(self.node_id)
        self.stops_by = now + 3 * S

    def _may_end(self, now):
        if now >= self.stops_by:
            return True
        return _control.has_handed_over(
            self.status(), self.replica.may_be_voter(), self.gathering
        )

    def receive(self, sender, message):
        if isinstance(message, messages.ReplicaEnvelope):
            if message.receiver == self.node_id:
                self.network.finish_writes(self.node)
                self.replica.receive(sender, message.content, self.network.now)
                self.network.execute_commands(self.node)
        elif isinstance(message, messages.PresenceReport):
            self.gathering.on_presence_report(sender, message)
        elif isinstance(message, messages.PresenceReply):
            self.gathering.on_presence_reply(sender, message)
        elif isinstance(message, messages.RegistryChanges):
            self.gathering.on_registry_changes(sender, message)
        elif isinstance(message, messages.PackedChanges):
            self.gathering.on_packed_changes(sender, message)


class ControlVms(simulations.Simulation):
    """Control VMs of a deployment, their network, and faults.

    :param count: number of control VMs that start first; at most three are
        seeds.
    :param seed: seed of all randomness.
    """

    def __init__(self, count=3, seed=0):
        super().__init__((), seed, timing=_control.TIMING, holds_writes=True)
        self.clock = clocks.ManualClock()
        self.vms = {}
        self.changes = []
        self.acknowledged = []
        self._datagrams = []
        self._numbers = itertools.count()
        self._cut = set()
        self._disks = itertools.count(1)
        addresses = [f"10.{n % 3 + 1}.0.{n + 1}:80" for n in range(count)]
        self.seeds = tuple(sorted(addresses[:3]))
        #: Times and addresses of the control VMs that operators listed.
        self._lists = []
        for number, address in enumerate(addresses):
            self._create(address, REGIONS[number % 3], is_first=True)
        self.advance(4 * S)

    def _create(self, address, region, is_first):
        vm = ControlVm(self, address, region, self.seeds, is_first)
        self.vms[address] = vm
        self._give_disk(vm, is_first)
        self.start(address)

    def _give_disk(self, vm, is_first=False):
        """Give a VM an empty disk, and with it a new node id."""
        if is_first and vm.address in self.seeds:
            vm.node_id, first_voters = vm.address, self.seeds
        else:
            separator = discovery.DISK_ID_SEPARATOR
            vm.node_id = f"{vm.address}{separator}{next(self._disks):04x}"
            first_voters = ()
        self.add_node(vm.node_id, first_voters)
        self.crash(vm.node_id)

    # Faults.

    def start(self, address, delay=0 * S):
        """Start the process of a VM after a delay."""
        vm = self.vms[address]
        vm.starts_at = self.now + delay + PROCESS_START
        vm.whole_since = self.now + delay

    def kill(self, address, back_after=1 * S):
        """End a process, or its VM's power; its disk is kept."""
        self.vms[address].end_process()
        self.start(address, back_after)

    def lose_disk(self, address, back_after=1 * S):
        """End a VM; it comes back with an empty disk."""
        vm = self.vms[address]
        vm.end_process()
        self.nodes.pop(vm.node_id)
        self._give_disk(vm)
        self.start(address, back_after)

    def lose(self, address):
        """Lose a VM for good.

        :returns: the :class:`ControlVm`.
        """
        vm = self.vms.pop(address)
        vm.end_process()
        self.nodes.pop(vm.node_id)
        return vm

    def add(self, region):
        """Start a new VM in a region."""
        number = REGIONS.index(region) + 1
        address = f"10.{number}.1.{next(self._disks)}:80"
        self._create(address, region, is_first=False)
        return address

    def list_seeds(self):
        """Addresses that a process is told when it starts."""
        known = [names for at, names in self._lists if at <= self.now - LAG]
        return tuple(known[-1][:3]) if known else self.seeds

    def replace(self, address, delay=1 * S):
        """Lose a VM for good; an empty one comes at another address."""
        vm = self.lose(address)
        self.advance(delay)
        return self.add(vm.settings.region)

    def stop(self, address):
        """Send a VM's process SIGTERM; it does not come back."""
        self.vms[address].begin_stop(self.now)

    def leader_address(self):
        """Address of the VM that leads."""
        return discovery.address_of(self.find_leaders()[0].name)

    def cut_off(self, address):
        """Cut a VM off from all others."""
        self._cut.add(address)
        self.vms[address].whole_since = None

    def heal(self):
        """Rejoin all VMs that are cut off."""
        for address in self._cut & self.vms.keys():
            self.vms[address].whole_since = self.now
        self._cut.clear()

    def are_all_whole(self):
        """Whether no VM counts as lost."""
        return all(
            vm.whole_since is not None
            and self.now >= vm.whole_since + CATCH_UP
            for vm in self.vms.values()
        )

    # Time and network.

    def post(self, sender, receiver, message):
        """Send a message from one address to another."""
        datagram = _Datagram(
            self.now + LATENCY, next(self._numbers), sender, receiver, message
        )
        heapq.heappush(self._datagrams, datagram)

    def _on_Send(self, node, command):  # noqa: N802
        sender = discovery.address_of(node.name)
        envelope = messages.ReplicaEnvelope(command.to, command.message)
        self.post(sender, discovery.address_of(command.to), envelope)

    def advance(self, duration):
        """Let time pass."""
        end = self.now + duration
        while self.now < end:
            self.now += STEP
            self.clock.advance(STEP)
            names = sorted(self.vms)
            if not self._lists or self._lists[-1][1] != names:
                self._lists.append((self.now, names))
            self._deliver_due()
            for vm in list(self.vms.values()):
                if vm.is_due(self.now):
                    vm.start_process()
                if vm.is_up:
                    vm.step(self.now)

    def _deliver_due(self):
        while self._datagrams and self._datagrams[0].due <= self.now:
            datagram = heapq.heappop(self._datagrams)
            vm = self.vms.get(datagram.receiver)
            ends = {datagram.sender, datagram.receiver}
            if vm is None or not vm.is_up or ends & self._cut:
                continue
            sender = datagram.sender
            if sender in self.vms:
                sender = self.vms[sender].node_id
            vm.receive(sender, datagram.message)

    def change_members(self, node_id, change):
        """Request a member change of the planner at the leader."""
        kinds = {
            discovery.AddLearner: "add_learner",
            discovery.Promote: "promote",
            discovery.Replace: "replace",
            discovery.Remove: "remove",
        }
        self.change(kinds[type(change)], node_id, *change)

    # Checks.

    def begin_change(self, node_id):
        """Send a command to a control VM, without waiting.

        :returns: id of its proposal.
        """
        before = self.sequence
        self.propose(node_id)
        return f"{node_id}/{before + 1}"

    def voters(self):
        """Voters that the leader with the highest term knows."""
        return set(self.find_leaders()[0].replica.state.configuration.voters)

    def change_configuration(self, within=6 * S):
        """Propose a command and wait until it is acknowledged.

        :returns: whether it was.
        """
        end = self.now + within
        while self.now < end:
            for leader in self.find_leaders():
                before = self.sequence
                self.propose(leader.name)
                proposal = f"{leader.name}/{before + 1}"
                self.advance(500 * MS)
                if proposal in self.applied_index_by_proposal:
                    self.acknowledged.append(proposal)
                    return True
            self.advance(100 * MS)
        return False

    def check_served(self, within=RECOVERY):
        """Check that changes and reads are answered, with nothing lost."""
        end = self.now + within
        self.check(
            self.change_configuration(within), self._describe("no leader")
        )
        unread = set(self.vms)
        while unread and self.now < end:
            for address in sorted(unread):
                vm = self.vms[address]
                if not vm.is_up or vm.stops_by is not None:
                    unread.discard(address)
                    continue
                self.read(vm.node_id)
                read_id = self.sequence
                self.advance(300 * MS)
                if read_id in self.answers:
                    unread.discard(address)
        self.check(not unread, self._describe(f"no read at {unread}"))
        leader = self.find_leaders()[0]
        for proposal in self.acknowledged:
            index = self.applied_index_by_proposal[proposal]
            self.check(leader.applied_index >= index, f"{proposal} was lost")

    def _describe(self, what):
        views = {
            vm.node_id: (
                str(vm.replica.state.role),
                sorted(vm.replica.state.configuration.voters),
            )
            for vm in self.vms.values()
            if vm.is_up
        }
        return f"{what} at {self.now}: {views}"


def _make_settings(address, region, seeds, is_first):
    return _settings.NodeSettings(
        role="control",
        node_name=address,
        region=region,
        failure_domain=f"{region}-a",
        regions={f"{name}-a": name for name in REGIONS},
        ip_address=address.partition(":")[0],
        service_address=address,
        readiness_address="",
        directory_address="",
        link_port=7300,
        forward_port=7301,
        metrics_port=7302,
        seeds=seeds,
        is_first_start=is_first,
        data_folder="/data",
        announcement_period=1200 * MS,
        tolerated_losses=1,
        repeat_ratio=0.2,
        repeat_slack=1,
        directory_ttl=2 * S,
        stop_grace=8 * S,
    )


class Losses:
    """Random losses of control VMs within what is tolerated.

    :param vms: the :class:`ControlVms`.
    :param seed: seed of the schedule.
    """

    def __init__(self, vms, seed):
        self.vms = vms
        self.rng = random.Random(seed)
        self.log = []

    def run(self, count):
        """Let a number of losses happen, then a final one.

        :param count: number of losses before the final one.
        """
        for _ in range(count):
            self.vms.change_configuration(1 * S)
            self._strike()
            self.vms.advance(self.rng.choice([0.2, 1, 3, 6]) * S)
        self.vms.heal()
        self._wait_until_whole()
        self.vms.change_configuration(1 * S)
        self._lose_a_disk_and_all_power()
        self.vms.advance(2 * S)

    def _strike(self):
        anytime = [self._kill_all, self._cut_off_half]
        if not self.vms.are_all_whole():
            if self.rng.random() < 0.2:
                self._record(self.rng.choice(anytime))
            else:
                self._wait_until_whole()
            return
        losses = [
            self._replace,
            self._replace_by_plan,
            self._lose_a_disk,
            self._lose_a_disk_and_all_power,
            self._lose_a_disk_behind_a_cut,
            self._restart_one,
            self._cut_one,
            self._add_spare,
        ]
        self._record(self.rng.choice([*losses, *anytime]))

    def _record(self, loss):
        self.log.append((str(self.vms.now), loss.__name__))
        loss()

    def _wait_until_whole(self):
        for _ in range(400):
            if self.vms.are_all_whole():
                return
            self.vms.advance(100 * MS)
        raise AssertionError("not whole")

    def _address(self):
        return self.rng.choice(sorted(self.vms.vms))

    def _running_addresses(self):
        return sorted(a for a, vm in self.vms.vms.items() if vm.is_up)

    def _running_address(self):
        return self.rng.choice(self._running_addresses())

    def _down(self):
        return self.rng.choice([0.2, 1.0, 2.0]) * S

    def _replace(self):
        self.vms.replace(self._address(), self._down())

    def _replace_by_plan(self):
        address = self._address()
        self.vms.add(self.vms.vms[address].settings.region)
        self.vms.advance(CATCH_UP)
        self.vms.stop(address)
        self.vms.advance(4 * S)
        self.vms.lose(address)

    def _lose_a_disk(self):
        self.vms.lose_disk(self._address(), self._down())

    def _lose_a_disk_and_all_power(self, address=None):
        address = address or self._address()
        for other in list(self.vms.vms):
            if other == address:
                self.vms.lose_disk(other, self._down())
            elif not self.vms.vms[other].has_ended():
                self.vms.kill(other, self._down())

    def run_to_final_loss(self):
        """Lose a disk and all other power close to an acknowledgement.

        A control VM may be replaced by plan, or all may have lost power,
        shortly before.
        """
        self._wait_until_whole()
        self.vms.change_configuration()
        self.rng.choice([self._begin_replacement, self._end_all, str])()
        address = self._running_address()
        leaders = [node.name for node in self.vms.find_leaders()]
        proposer = self.rng.choice([*leaders, self.vms.vms[address].node_id])
        proposal = self.vms.begin_change(proposer)
        self._await_moment(proposal)
        if proposal in self.vms.applied_index_by_proposal:
            self.vms.acknowledged.append(proposal)
        running = self._running_addresses()
        candidates = [*map(discovery.address_of, [*leaders, proposer])]
        candidates += [running[0], self._running_address()]
        lost = self.rng.choice([a for a in candidates if a in running])
        self.log.append((str(self.vms.now), "final", lost, proposer))
        self._lose_a_disk_and_all_power(lost)
        self.vms.advance(2 * S)

    def _begin_replacement(self):
        """Start a planned replacement and let it get to any step."""
        address = self._address()
        self.vms.add(self.vms.vms[address].settings.region)
        self.vms.advance(PROCESS_START + CATCH_UP)
        self.vms.stop(address)
        self.vms.advance(self.rng.randrange(0, 60) * STEP)

    def _end_all(self):
        self._kill_all()
        self._wait_until_whole()
        self.vms.advance(self.rng.randrange(0, 20) * STEP)

    def _await_moment(self, proposal):
        """Wait for 0 to 400 ms, or until the proposal is acknowledged."""
        is_awaited = self.rng.random() < 0.5
        for _ in range(self.rng.randrange(17)):
            known = self.vms.applied_index_by_proposal
            if is_awaited and proposal in known:
                return
            self.vms.advance(STEP)

    def _lose_a_disk_behind_a_cut(self):
        """Let one VM miss changes before another loses its disk."""
        behind = self._address()
        self.vms.cut_off(behind)
        self.vms.advance(4 * S)
        self.vms.change_configuration(1 * S)
        others = sorted(set(self.vms.vms) - {behind})
        lost = self.rng.choice(others)
        for other in others:
            if other == lost:
                self.vms.lose_disk(other)
            else:
                self.vms.kill(other)
        self.vms.heal()

    def _restart_one(self):
        self.vms.kill(self._address(), self._down())

    def _kill_all(self):
        for address in list(self.vms.vms):
            self.vms.kill(address, self._down())

    def _cut_one(self):
        self.vms.cut_off(self._address())
        self.vms.advance(self.rng.choice([1, 4, 15]) * S)
        self.vms.heal()

    def _cut_off_half(self):
        addresses = sorted(self.vms.vms)
        self.rng.shuffle(addresses)
        for address in addresses[: len(addresses) // 2]:
            self.vms.cut_off(address)
        self.vms.advance(3 * S)
        self.vms.heal()

    def _add_spare(self):
        if len(self.vms.vms) < 5:
            self.vms.add(self.rng.choice(REGIONS))
