"""Orders of an operator who gives them up, beside control VMs at a stand."""

import asyncio
import collections
import contextlib
import itertools
import json
import math

from buckthorntack import tasks
from buckthorntack.platform.tests import _standins
from tools.soak import _processes
from tools.soak import _promises
from tools.soak import _soak
from tools.soak import _traffic

CONFIG_PATH = "/config"
#: Time without an answer after which an operator asks another control VM.
ANSWER_S = 1.0
RETRY_S = 0.1
#: Time after which the soak fails for want of an acknowledgement.
MAX_ORDER_S = 60.0
POLL_S = 0.01
#: Pauses between two orders for a subject.
ORDER_PAUSES_S = (0.0, 0.0, 0.1, 0.5, 1.0, 2.0)
#: Share of orders that go first to any control VM; others go to the one that
#: was struck since the last order, or acknowledged that.
ANY_SHARE = 0.3
#: Share of given up calls whose connections stay open, if there are any.
KEPT_SHARE = 0.2
#: Statuses of the 4xx after which an order is given again.
RETRIED = (408, 429)
#: How long control VMs stand still, and a second one beside the first.
STILL_S = (1.0, 12.0)
SECOND_STILL_S = (1.0, 6.0)
#: When the second one begins after the first, and share of such pauses.
SECOND_AFTER_S = (0.0, 3.0)
SECOND_SHARE = 0.4
#: The last pause of a round, and time in it until the last orders.
LAST_STILL_S = (6.0, 12.0)
LAST_ORDERS_S = (2.0, 4.0)
GAP_S = (0.2, 3.0)
#: Most faults of a round before its last pause.
MAX_FAULTS = 2
#: Time that a control VM has to catch up after a start.
CATCH_UP_S = 4.0
#: Time without faults and orders at the end of a round, and part of it in
#: which requests must be served.
CALM_S = _promises.CONTACT_S + _promises.EVACUATE_S + 3.0
SERVED_S = 2.0


class Operator:
    """Orders evacuations and configurations, one at a time for a subject.

    :param book: the ``Book``.
    :param controls: nodes of control VMs.
    :param rng: source of randomness.
    :param domain: failure domain that it evacuates.
    :param kept_share: share of given up calls whose connections stay open.
    """

    def __init__(self, book, controls, rng, domain, kept_share):
        self.book = book
        self.controls = controls
        self.rng = rng
        self.kept_share = kept_share
        self.version = 0
        self._path = f"/evacuations/{domain}"
        #: Control VMs that the next orders go to first, by paths.
        self._first = {}
        self._last = controls[0]
        self._is_ending = False
        self._kept = []

    async def run(self):
        """Give orders for both subjects until told to end."""
        self._is_ending = False
        await asyncio.gather(
            self._repeat(self.evacuate, self.book.evacuations),
            self._repeat(self.publish, self.book.route_changes),
        )

    def aim_at(self, node):
        """Give the next order for each subject to a control VM first.

        :param node: the control VM.
        """
        self._first = dict.fromkeys((self._path, CONFIG_PATH), node)

    def end(self):
        """Give no order after those in progress."""
        self._is_ending = True

    async def _repeat(self, give, orders):
        while not self._is_ending:
            await give(not (orders and orders[-1].is_wanted))
            await asyncio.sleep(self.rng.choice(ORDER_PAUSES_S))

    async def evacuate(self, evacuated):
        """Begin or end the evacuation.

        :param evacuated: whether the failure domain gets no requests.
        """
        method = "POST" if evacuated else "DELETE"
        await self._order(
            self.book.evacuations, evacuated, method, self._path, b""
        )

    async def publish(self, has_route):
        """Publish a configuration.

        :param has_route: whether it has the added route.
        """
        self.version += self.rng.randrange(1, 4)
        document = _standins.configuration(self.version)
        if has_route:
            route = _standins.route(
                _traffic.ADDED_ROUTE, "desk", type="unsafe", max_attempts=1
            )
            document["routes"].append(route)
        self.book.sent[self.version] = document
        body = json.dumps(document).encode()
        await self._order(
            self.book.route_changes, has_route, "PUT", CONFIG_PATH, body
        )

    async def _order(self, orders, is_wanted, method, path, body):
        """Give an order until it is acknowledged."""
        loop = asyncio.get_running_loop()
        orders.append(_promises.Order(is_wanted, loop.time()))
        is_any = self.rng.random() < ANY_SHARE
        node = self.rng.choice(self.controls) if is_any else self._last
        node = self._first.pop(path, node)
        async with asyncio.timeout(MAX_ORDER_S):
            node = await self._give(node, method, path, body)
        orders[-1] = orders[-1]._replace(acknowledged_s=loop.time())
        self._last = node
        print(f"{loop.time():9.2f} {method} {path} {node.name}")

    async def _give(self, node, method, path, body):
        """Give an order to one control VM after the other.

        :returns: the node of the one that acknowledged it.
        """
        while (status := await self._call(node, method, path, body)) != 200:
            if 400 <= status < 500 and status not in RETRIED:
                self.book.break_promise(f"{method} {path} was refused")
            await asyncio.sleep(RETRY_S)
            node = self.rng.choice([n for n in self.controls if n != node])
        return node

    async def _call(self, node, method, path, body):
        """Make a call and return its status; 0 if it is given up."""
        host, _, port = node.address.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(ANSWER_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(_encode(node, method, path, body))
                answer = await _standins.read_answer(reader)
                writer.close()
                return answer.status
        except (OSError, EOFError):
            if writer is None:
                pass
            elif self.rng.random() < self.kept_share:
                self._kept.append(writer)
            else:
                writer.close()
        return 0

    def close(self):
        """Close the connections that were kept."""
        for writer in self._kept:
            writer.close()

    async def read_back(self):
        """Read the configuration from each control VM."""
        for node in self.controls:
            known = self.version
            try:
                async with asyncio.timeout(_promises.CONTACT_S):
                    answer = await _read(node)
            except TimeoutError:
                self.book.break_time(f"{node.name} read no configuration")
                continue
            self.book.read_back(answer.status, answer.body, known)


def _encode(node, method, path, body):
    head = f"{method} {path} HTTP/1.1\r\nHost: {node.address}\r\n"
    head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    return head.encode() + body


async def _read(node):
    while True:
        with contextlib.suppress(OSError, EOFError):
            async with asyncio.timeout(ANSWER_S):
                answer = await _standins.call(node.address, "GET", CONFIG_PATH)
            if answer.status == 200:
                return answer
        await asyncio.sleep(RETRY_S)


class OrdersSoak(_soak.Soak):
    """A soak of orders beside faults of control VMs only.

    In each round orders and faults come together, then neither, so that what
    was acknowledged must be in force.

    :param seed: of all choices.
    :param folder: where logs and disks lie.
    :param keeps_calls: whether connections of some calls that the operator
        gives up stay open.
    """

    def __init__(self, seed, folder, keeps_calls=False):
        super().__init__(seed, folder)
        self.keeps_calls = keeps_calls
        self.domain = self.rng.choice(list(_processes.ZONES))
        self.operator = None
        self.cases = (
            self.pause,
            self.pause,
            self.pause,
            self.pause,
            self.kill,
            self.fall_silent,
            self.delay,
            self.cut_one_way,
            self.cut,
        )

    async def _start_operator(self):
        self.operator = Operator(
            self.book,
            self.controls,
            self._rng(),
            self.domain,
            KEPT_SHARE if self.keeps_calls else 0.0,
        )
        self._stack.callback(self.operator.close)
        await self.operator.publish(False)

    def _callers(self, seed):
        return [_traffic.RouteCaller(self.book, self.entries, seed)]

    async def run(self, seconds):
        """Run rounds, the first of which ends with an evacuation.

        :param seconds: how long rounds begin.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        await self._run_round(True)
        while loop.time() < until:
            await self._run_round(self.rng.random() < 0.5)
        self.book.check_evacuations(self.domain, self.is_settled)
        self.book.check_routes(self.is_settled)

    async def _run_round(self, evacuated):
        loop = asyncio.get_running_loop()
        async with tasks.running(self.operator.run()) as ordering:
            for _ in range(self.rng.randrange(MAX_FAULTS + 1)):
                await self._strike(self.rng.choice(self.cases), STILL_S)
                await asyncio.sleep(self.rng.uniform(*GAP_S))
            # The next order is the one that must not be in force at the end.
            while not (  # noqa: ASYNC110
                self._is_in_force(evacuated) or ordering.done()
            ):
                await asyncio.sleep(POLL_S)
            striking = self._strike(self.pause, LAST_STILL_S)
            async with tasks.running(striking) as last:
                await asyncio.sleep(self.rng.uniform(*LAST_ORDERS_S))
                self.operator.end()
                await ordering
                if not self._is_in_force(evacuated):
                    await self.operator.evacuate(evacuated)
                await last
        print(f"{loop.time():9.2f} calm, evacuated: {evacuated}")
        await asyncio.sleep(CALM_S - SERVED_S)
        self._check_served(evacuated, await self._watch(SERVED_S))
        await self.operator.read_back()

    def _is_in_force(self, evacuated):
        """Whether the last order is acknowledged and of this kind."""
        orders = self.book.evacuations
        return (
            bool(orders)
            and orders[-1].is_wanted is evacuated
            and orders[-1].acknowledged_s < math.inf
        )

    async def _watch(self, seconds):
        """Return how many requests run in each failure domain from now on."""
        since_s = asyncio.get_running_loop().time()
        await asyncio.sleep(seconds)
        return collections.Counter(
            self.book.zones[run.server_id]
            for runs in self.book.runs.values()
            for run in runs
            if run.at_s > since_s
        )

    def _check_served(self, evacuated, served):
        expected = set(_processes.ZONES)
        if evacuated:
            expected.remove(self.domain)
        for domain in expected:
            if not served[domain]:
                self.book.break_time(f"{domain} gets no requests")

    async def _strike(self, case, still_s):
        """Let a fault strike a control VM, and maybe a pause another one."""
        node, second = self.rng.sample(self.controls, 2)
        hold_s = self.rng.uniform(*still_s)
        is_pause = case == self.pause
        if not is_pause:
            hold_s = self.rng.uniform(*_soak.HOLD_S)
        self.operator.aim_at(node)
        loop = asyncio.get_running_loop()
        print(f"{loop.time():9.2f} {case.__name__} {node.name} {hold_s:.1f}")
        faults = [self._inject(case, node, hold_s)]
        if is_pause and self.rng.random() < SECOND_SHARE:
            faults.append(self._pause_later(second))
        await asyncio.gather(*faults)
        if case == self.kill:
            await asyncio.sleep(CATCH_UP_S)

    async def fall_silent(self, node, hold_s):
        """Open connections go silent and are reset later; new ones work."""
        await self.silence(node, hold_s)
        await asyncio.sleep(hold_s)
        await self.reset(node, hold_s)

    async def _pause_later(self, node):
        await asyncio.sleep(self.rng.uniform(*SECOND_AFTER_S))
        hold_s = self.rng.uniform(*SECOND_STILL_S)
        loop = asyncio.get_running_loop()
        print(f"{loop.time():9.2f} pause {node.name} {hold_s:.1f}")
        await self._inject(self.pause, node, hold_s)

    def is_settled(self, acknowledged_s, bound_s, at_s):
        """Whether an acknowledged order must be in force.

        Its bound holds while control VMs are stable, and with a stretch
        while most of them run.

        :param acknowledged_s: when it was acknowledged.
        :param bound_s: its bound after that.
        :param at_s: the time in question.
        """
        outer_s = bound_s + _promises.MAX_SKEW_S
        if at_s <= acknowledged_s + bound_s:
            return False
        calm_since_s = at_s - bound_s - _promises.CONTACT_S
        is_calm = all(
            self.is_calm(node.name, calm_since_s, at_s)
            for node in self.controls
        )
        return is_calm or (
            at_s > acknowledged_s + outer_s
            and self._has_majority(at_s - outer_s, at_s)
        )

    def _has_majority(self, begin_s, end_s):
        """Whether at most one control VM at a time was struck by a fault."""
        spans = [
            (max(since_s, begin_s), min(until_s, end_s))
            for node in self.controls
            for since_s, until_s in self.faults[node.name]
        ]
        spans = sorted(span for span in spans if span[0] <= span[1])
        return all(
            earlier[1] < later[0]
            for earlier, later in itertools.pairwise(spans)
        )


async def soak(seed, seconds, folder, keeps_calls=False):
    """Run one soak of orders.

    :param seed: of all choices.
    :param seconds: how long rounds begin.
    :param folder: where logs and disks lie.
    :param keeps_calls: as of :class:`OrdersSoak`.
    :returns: the ``Book``.
    """
    async with OrdersSoak(seed, folder, keeps_calls) as running:
        await running.run(seconds)
        return running.book
