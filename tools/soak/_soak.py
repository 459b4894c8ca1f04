"""One soak: a deployment, its traffic and its faults."""

import asyncio
import collections
import contextlib
import math
import os
import random
import signal

from buckthorntack import tasks
from tools.soak import _processes
from tools.soak import _promises
from tools.soak import _traffic

CALLERS = 12
#: Further callers with long requests for each of them, beside planned work.
LONG_CALLERS = 2
#: Time for the deployment to form, and to recover after the last fault.
SETTLE_S = 5.0
RECOVER_S = 10.0
PAUSE_S = (0.4, 2.0)
HOLD_S = (0.5, 3.0)
#: How long a sound server is silent.
SILENCE_S = (0.5, 1.5)
#: Pause between planned stops of a region's entry VMs.
SERIES_PAUSE_S = (0.3, 1.5)


class Soak:
    """One deployment, its traffic and its faults.

    :param seed: of all choices.
    :param folder: where logs and disks lie.
    :param checks_times: whether promises about times are checked.
    :param has_series: whether a part of prompts crashes server after server,
        and whether all entry VMs of a region stop one after the other.
    :param is_planned: whether there is planned work only, beside which each
        request must be answered or refused.
    """

    callers = CALLERS
    recover_s = RECOVER_S

    def __init__(
        self,
        seed,
        folder,
        checks_times=True,
        has_series=False,
        is_planned=False,
    ):
        self.has_series = has_series
        self.is_planned = is_planned
        self.rng = random.Random(seed)
        self.seed = seed
        self.folder = folder
        self.book = _promises.Book(checks_times)
        self.nodes = {}
        self.servers = []
        #: Begin and end of the faults that struck a node, by its name.
        self.faults = collections.defaultdict(list)
        self._stack = contextlib.AsyncExitStack()
        #: Coroutine functions of the faults to choose from.
        self.cases = (
            self.kill,
            self.kill,
            self.stop,
            self.pause,
            self.wipe,
            self.reset,
            self.silence,
            self.delay,
            self.cut_one_way,
            self.cut,
            self.drain,
            self.fail_server,
            self.herd,
        )
        if has_series:
            self.cases += (self.stop_region, self.stop_region)
        if is_planned:
            self.cases = (
                self.stop_entry,
                self.stop_entry,
                self.stop_region,
                self.hang_up,
                self.silence_server,
                self.silence_server,
                self.drain,
            )

    async def __aenter__(self):
        await self._stack.__aenter__()
        pid = os.getpid()
        public = f"127.{20 + pid % 70}.{pid // 70 % 250}"
        private = f"127.{160 + pid % 70}.{pid // 70 % 250}"
        seeds = [f"{public}.{n}:{_processes.CONTROL}" for n in (1, 2, 3)]
        for number, zone in enumerate(self._node_zones(), 1):
            role = "control" if number <= 3 else "entry"
            node = _processes.Node(
                f"{role}-{number}",
                role,
                zone,
                f"{public}.{number}",
                f"{private}.{number}",
                seeds,
                self.folder,
            )
            self.nodes[node.name] = node
            await self._stack.enter_async_context(node)
        for server in self._create_servers(public, private):
            await self._add_server(server)
        await self._start_operator()
        await asyncio.sleep(SETTLE_S)
        for number in range(self.callers):
            seed = self.rng.getrandbits(32) + number
            for caller in self._callers(seed):
                running = tasks.running(caller.run())
                await self._stack.enter_async_context(running)
        if self.has_series:
            await self._start_series()
        return self

    async def _start_operator(self):
        operating = _traffic.operate(
            self.book,
            self.controls,
            self._rng(),
            self.has_series,
            self.is_planned,
        )
        await self._stack.enter_async_context(tasks.running(operating))

    def _callers(self, seed):
        caller = _traffic.Caller(
            self.book, self.entries, seed, self.has_series, self.is_planned
        )
        if not self.is_planned:
            return [caller]
        # Names of requests hold the seed, so that no two may be the same.
        return [caller] + [
            _traffic.LongCaller(self.book, self.entries, f"{seed}-{number}")
            for number in range(LONG_CALLERS)
        ]

    async def _start_series(self):
        """Start what crashes server after server and asks directories."""
        rng = self._rng()
        caller = _traffic.CrashingCaller(
            self.book, self.entries, rng.getrandbits(32), True
        )
        homes = [
            node.address
            for node in self.entries
            if _processes.ZONES[node.zone] == _traffic.HOME_REGION
        ]
        resolving = _traffic.resolve(self.book, self.entries, homes, rng)
        restarting = [_traffic.restart(s, self._rng()) for s in self.servers]
        for running in (caller.run(), resolving, *restarting):
            await self._stack.enter_async_context(tasks.running(running))

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def _node_zones(self):
        """Failure domains of the control VMs, then of the entry VMs."""
        zones = list(_processes.ZONES)
        return [zones[number % 2] for number in range(1, 8)]

    def _create_servers(self, public, private):
        """Yield the servers.

        :param public: network of the addresses that others use.
        :param private: network of those behind proxies.
        """
        zones = list(_processes.ZONES)
        for number in range(8):
            yield _traffic.SoakServer(
                self.book,
                self._rng(),
                f"s{number}",
                f"{public}.{100 + number}",
                "text" if number % 2 else "desk",
                zones[number // 2 % 2],
            )

    async def _add_server(self, server):
        self.book.zones[server.server_id] = server.zone
        self.servers.append(server)
        await self._stack.enter_async_context(server)
        announcing = _traffic.announce(server, self.controls, self._rng())
        await self._stack.enter_async_context(tasks.running(announcing))

    def _rng(self):
        return random.Random(self.rng.getrandbits(64))

    @property
    def controls(self):
        """Nodes of control VMs."""
        return [n for n in self.nodes.values() if n.role == "control"]

    @property
    def entries(self):
        """Nodes of entry VMs."""
        return [n for n in self.nodes.values() if n.role == "entry"]

    async def run(self, seconds):
        """Inject faults, some of them overlapping, then look at recovery.

        :param seconds: how long faults are injected.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        running = set()
        while loop.time() < until:
            case = self.rng.choice(self.cases)
            node = self.rng.choice(list(self.nodes.values()))
            hold_s = self.rng.uniform(*HOLD_S)
            print(f"{loop.time():9.2f} {case.__name__} {node.name}")
            fault = self._inject(case, node, hold_s)
            running.add(loop.create_task(fault))
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
        await asyncio.gather(*running)
        for node in self.nodes.values():
            await node.ensure_running()
        await asyncio.sleep(self.recover_s)
        before = self.book.answers[200]
        streams_before = self._count_streams()
        await asyncio.sleep(2.0)
        if self.book.answers[200] - before < self.callers:
            self.book.break_time("nothing is served after the faults")
        if self._has_text_server() and self._count_streams() == streams_before:
            self.book.break_time("no stream is served after the faults")
        self.book.check_crashing_part(self.is_calm)
        if self.is_planned:
            stops_s = {node.name: node.stops_s for node in self.entries}
            self.book.check_answered(stops_s, _processes.GRACE_S)

    def _has_text_server(self):
        return self.has_series and any(
            server.service == "text" and not hasattr(server, "drains")
            for server in self.servers
        )

    def _count_streams(self):
        return sum(r.is_served for r in self.book.sound_requests)

    async def _inject(self, case, node, hold_s):
        loop = asyncio.get_running_loop()
        struck = self._list_struck(case, node)
        begin_s = loop.time()
        ongoing = (begin_s, math.inf)
        for each in struck:
            self.faults[each.name].append(ongoing)
        await case(node, hold_s)
        for each in struck:
            await each.wait_started()
            self.faults[each.name].remove(ongoing)
            self.faults[each.name].append((begin_s, loop.time()))

    def _list_struck(self, case, node):
        if case == self.herd:
            return [n for n in self.nodes.values() if n.role == node.role]
        if case == self.stop_region:
            return [n for n in self.entries if n.zone == node.zone]
        if case in (self.drain, self.fail_server, self.silence_server):
            return []
        return [node]

    def is_calm(self, name, begin_s, end_s):
        """Whether no fault struck a node between two times.

        :param name: name of the node.
        :param begin_s: first time.
        :param end_s: last time.
        """
        return all(
            until_s < begin_s or since_s > end_s
            for since_s, until_s in self.faults[name]
        )

    async def kill(self, node, hold_s):
        """A process is killed and starts again."""
        await node.kill()
        await asyncio.sleep(hold_s / 4)
        await node.ensure_running()

    async def herd(self, node, hold_s):
        """All control VMs, or all entry VMs, are killed at once."""
        victims = [n for n in self.nodes.values() if n.role == node.role]
        for victim in victims:
            await victim.kill()
        for victim in victims:
            await victim.ensure_running()

    async def stop(self, node, hold_s):
        """A planned stop, and a start."""
        if node.process.returncode is not None:
            return
        if not await node.stop() and node.process.returncode != -9:
            code = node.process.returncode
            self.book.break_time(f"{node.name} ended with {code}")
        await node.ensure_running()

    async def stop_entry(self, node, hold_s):
        """A planned stop of an entry VM, and a start."""
        if node.role == "entry":
            await self.stop(node, hold_s)

    async def hang_up(self, node, hold_s):
        """A process is told that its settings may have changed."""
        if node.process.returncode is None:
            node.signal(signal.SIGHUP)

    async def stop_region(self, node, hold_s):
        """Planned stops of a region's entry VMs, one after the other."""
        running = []
        for victim in [n for n in self.entries if n.zone == node.zone]:
            stopping = self.stop(victim, hold_s)
            running.append(asyncio.create_task(stopping))
            await asyncio.sleep(self.rng.uniform(*SERIES_PAUSE_S))
        await asyncio.gather(*running)

    async def pause(self, node, hold_s):
        """A process stands still for a while."""
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(hold_s)
        node.signal(signal.SIGCONT)

    async def wipe(self, node, hold_s):
        """A control VM loses its disk; one at a time, and given time."""
        if node.role != "control" or getattr(self, "_wiping", False):
            return
        self._wiping = True
        await node.kill()
        node.wipe()
        await node.ensure_running()
        await asyncio.sleep(RECOVER_S)
        self._wiping = False

    async def reset(self, node, hold_s):
        """Open connections are reset."""
        for proxy in node.proxies.values():
            proxy.reset()

    async def silence(self, node, hold_s):
        """Open connections go silent for good; new ones work."""
        for proxy in node.proxies.values():
            proxy.silence()

    async def delay(self, node, hold_s):
        """All bytes come late for a while."""
        for proxy in node.proxies.values():
            proxy.delay_s = 0.1
        await asyncio.sleep(hold_s)
        for proxy in node.proxies.values():
            proxy.delay_s = 0.0

    async def cut_one_way(self, node, hold_s):
        """Links to other nodes are held up in one direction."""
        direction = self.rng.choice(["in", "out"])
        node.proxies[_processes.LINK].held = {direction}
        await asyncio.sleep(hold_s)
        node.proxies[_processes.LINK].held = set()

    async def cut(self, node, hold_s):
        """Links to other nodes are held up."""
        node.proxies[_processes.LINK].held = {"in", "out"}
        await asyncio.sleep(hold_s)
        node.proxies[_processes.LINK].held = set()

    async def drain(self, node, hold_s):
        """A server says that it leaves; four stay."""
        left = [s for s in self.servers if not hasattr(s, "drains")]
        if len(left) > 4:
            self.rng.choice(left).drains = True

    async def fail_server(self, node, hold_s):
        """A server breaks off some of its answers for a while."""
        server = self.rng.choice(self.servers)
        server.failing = 0.5
        await asyncio.sleep(hold_s)
        server.failing = 0.0

    async def silence_server(self, node, hold_s):
        """A sound server is silent for a moment within each answer."""
        server = self.rng.choice(self.servers)
        server.silence_s = self.rng.uniform(*SILENCE_S)
        await asyncio.sleep(hold_s)
        server.silence_s = 0.0


async def soak(
    seed,
    seconds,
    folder,
    checks_times=True,
    has_series=False,
    is_planned=False,
):
    """Run one soak.

    :param seed: of all choices.
    :param seconds: how long faults are injected.
    :param folder: where logs and disks lie.
    :param checks_times: whether promises about times are checked.
    :param has_series: as of :class:`Soak`.
    :param is_planned: as of :class:`Soak`.
    :returns: the ``Book``.
    """
    async with Soak(
        seed, folder, checks_times, has_series, is_planned
    ) as running:
        await running.run(seconds)
        return running.book
