"""Servers that crash and are back under their old ids, cold for some time."""

import asyncio
import bisect
import math
from typing import NamedTuple

from buckthorntack.platform.tests import _standins
from tools.soak import _orders
from tools.soak import _proxy
from tools.soak import _soak
from tools.soak import _traffic

#: How long a start is cold, and requests per second that it may get then; as
#: in the configuration.
WARMUP_S = 3.0
WARMUP_PER_S = 5.0
#: Most requests that may reach a cold server in any second.
MAX_IN_A_SECOND = WARMUP_PER_S * 1.5 + 3
#: Time after which a sound server whose connections were reset gets its share
#: again, and length of the time in which that is looked at.
SHARE_S = 2.0
LOOK_S = 1.0
#: Requests per second for each server from which load is high enough to tell.
HIGH_LOAD = 2 * MAX_IN_A_SECOND
#: Failure domains: of control VMs, entry VMs beside the servers, and entry VMs
#: that hand requests on to those.
CONTROL_ZONES = ["b1", "a1", "b1"]
ENTRY_ZONES = ["a1", "a1", "a1", "a1", "b1", "b1"]
SERVER_ZONE = "a1"
SERVERS = 4
CALLERS = 48
CALL_PAUSE_S = (0.1, 0.4)
#: Share of callers that open a connection for each request.
NEW_SHARE = 0.5
#: Time for which callers press before the first crash: entry VMs can't know of
#: one that ends no connection and refuses none.
LEAD_S = 2.0
RECOVER_S = 4.0
#: How many servers crash at once; at least one goes on.
CRASHES = (1, 1, 2, 3)
#: How long a server that crashed is away, and share of long absences.
SHORT_GAP_S, LONG_GAP_S = (0.02, 0.3), (0.3, 2.0)
LONG_SHARE = 0.6
#: When a server that is back announces itself late.
LATE_S = (0.3, 2.0)
#: How long control VMs are away after the return of a server.
UNHEARD_S = (0.5, 4.0)
#: Share of returns around which entry VMs are killed, how many at most, when,
#: counted from the return, and how long they are away.
KILL_SHARE = 0.3
MAX_KILLED = 3
KILL_AT_S = (-0.4, 0.4)
KILLED_S = (0.0, 0.5)
#: Share of returns with a second crash while the server is cold, and when.
AGAIN_SHARE = 0.3
AGAIN_S = (0.1, 2.5)
#: Share of a server's connections that are reset.
RESET_SHARES = (0.1, 0.5, 1.0)
#: How long links to a sound server are held up.
CUT_S = (0.2, 2.0)


class Span(NamedTuple):
    """A time at a server: that it is cold, or that a fault struck it."""

    server_id: str
    since_s: float
    until_s: float


class Journal:
    """What happened to servers, beside what the ``Book`` holds."""

    def __init__(self):
        self.cold = []
        #: Crashes with the time away, resets and cut links.
        self.strikes = []
        #: Resets of sound servers.
        self.resets = []

    def was_struck(self, server_id, begin_s, end_s):
        """Whether a fault struck a server between two times.

        :param server_id: the server.
        :param begin_s: first time.
        :param end_s: last time.
        """
        return _has_overlap(self.strikes, server_id, begin_s, end_s)

    def without(self, strike):
        """Return a journal without a strike.

        :param strike: its :class:`Span`.
        """
        journal = Journal()
        journal.cold = self.cold
        journal.strikes = [span for span in self.strikes if span != strike]
        return journal

    def is_sound(self, server_id, begin_s, end_s):
        """Whether a server was neither cold nor struck.

        :param server_id: the server.
        :param begin_s: first time.
        :param end_s: last time.
        """
        return not (
            _has_overlap(self.cold, server_id, begin_s, end_s)
            or self.was_struck(server_id, begin_s, end_s)
        )


def _has_overlap(spans, server_id, begin_s, end_s):
    return any(
        span.server_id == server_id
        and span.since_s <= end_s
        and span.until_s >= begin_s
        for span in spans
    )


def find_arrivals(book):
    """Return sorted times at which requests reached servers, by server id.

    :param book: the ``Book``.
    """
    arrivals = {}
    for runs in book.runs.values():
        for run in runs:
            arrivals.setdefault(run.server_id, []).append(run.at_s)
    return {name: sorted(times) for name, times in arrivals.items()}


def _count(times, begin_s, end_s):
    """Count sorted times from the first on, before the second."""
    return bisect.bisect_left(times, end_s) - bisect.bisect_left(
        times, begin_s
    )


def find_most(times, span):
    """Return the most times within one second of a span, and its begin.

    :param times: sorted times.
    :param span: the :class:`Span`.
    """
    within = [at_s for at_s in times if span.since_s <= at_s < span.until_s]
    return max(
        ((_count(within, at_s, at_s + 1.0), at_s) for at_s in within),
        default=(0, span.since_s),
    )


def check_cold(book, journal):
    """Check that cold servers get few requests in any second.

    :param book: the ``Book``.
    :param journal: the :class:`Journal`.
    :returns: the most that one got.
    """
    arrivals = find_arrivals(book)
    worst = 0
    for span in journal.cold:
        times = arrivals.get(span.server_id, [])
        most, at_s = find_most(times, span)
        worst = max(worst, most)
        if most > MAX_IN_A_SECOND:
            book.break_promise(
                f"cold server {span.server_id} got {most} requests in a"
                f" second from {at_s:.2f} on, {at_s - span.since_s:.2f} s"
                f" after its start; allowed {MAX_IN_A_SECOND}"
            )
    return worst


def check_shares(book, journal):
    """Check that sound servers get their share again after a reset.

    It is looked at under high load, where nothing else befell the server.

    :param book: the ``Book``.
    :param journal: the :class:`Journal`.
    :returns: how many were looked at.
    """
    arrivals = find_arrivals(book)
    looked = 0
    for reset in journal.resets:
        begin_s = reset.until_s + SHARE_S
        end_s = begin_s + LOOK_S
        is_alone = journal.without(reset).is_sound(
            reset.server_id, reset.since_s - WARMUP_S, end_s
        )
        total = sum(
            _count(arrivals.get(server_id, []), begin_s, end_s)
            for server_id in book.zones
        )
        if not is_alone or total < HIGH_LOAD * len(book.zones):
            continue
        looked += 1
        times = arrivals.get(reset.server_id, [])
        served = _count(times, begin_s, end_s)
        if served <= MAX_IN_A_SECOND:
            book.break_time(
                f"sound server {reset.server_id} got {served} requests in a"
                f" second, {SHARE_S} s after a reset at {reset.until_s:.2f};"
                f" all got {total}"
            )
    return looked


def check_answered(book, journal, are_calm):
    """Check that each caller got an answer.

    One that has begun may break off if its time is over, or if a fault struck
    its server or an entry VM.

    :param book: the ``Book``.
    :param journal: the :class:`Journal`.
    :param are_calm: function of names of entry VMs and two times that tells
        whether no fault struck them in between.
    """
    for request in book.unanswered:
        sent_s, ended_s = request.sent_s, request.ended_s
        if not are_calm([request.entry], sent_s, ended_s):
            continue
        may_break_off = (
            request.has_reached_deadline()
            or not are_calm(None, sent_s, ended_s)
            or any(
                journal.was_struck(run.server_id, run.at_s, ended_s)
                for run in book.runs[request.request_id]
            )
        )
        if request.status and may_break_off:
            continue
        book.break_promise(
            f"{request.request_id} got no whole answer of {request.entry}"
            f" from {sent_s:.2f} to {ended_s:.2f}, status {request.status}"
        )


class ReturningServer(_traffic.SoakServer):
    """A server behind a proxy that may crash, and is cold after its return.

    :param journal: the :class:`Journal`.
    :param proxy_address: address that others use.
    :param arguments: as of ``SoakServer``.
    """

    def __init__(self, journal, proxy_address, *arguments):
        super().__init__(*arguments)
        self.journal = journal
        self.proxy = _proxy.Proxy(proxy_address, self.address)
        self.cold_until_s = -math.inf
        #: Whether a fault is at work on it.
        self.is_struck = False

    async def __aenter__(self):
        await super().__aenter__()
        await self.proxy.__aenter__()
        return self

    async def __aexit__(self, *exc_info):
        await self.proxy.__aexit__(*exc_info)
        await super().__aexit__(*exc_info)

    def announcement(self, **fields):
        """What it tells control VMs."""
        left_s = self.cold_until_s - asyncio.get_running_loop().time()
        return super().announcement(
            address=self.proxy.public,
            warmup_left_ms=int(max(0.0, left_s) * 1e3),
            **fields,
        )

    async def crash_and_return(self, gap_s):
        """Crash, and be back some time later, cold and mute.

        :param gap_s: the time.
        """
        loop = asyncio.get_running_loop()
        crashed_s = loop.time()
        self._end_warmup(crashed_s)
        self.is_mute = True
        self.crash()
        # A proxy in the way of a server that is away would accept connections.
        await self.proxy.__aexit__(None, None, None)
        # Known while it is away, for streams that end before it is back.
        strike = Span(self.server_id, crashed_s, crashed_s + gap_s)
        self.journal.strikes.append(strike)
        await asyncio.sleep(gap_s)
        since_s = loop.time()
        self.cold_until_s = since_s + WARMUP_S
        span = Span(self.server_id, since_s, self.cold_until_s)
        self.journal.cold.append(span)
        await self.start_again()
        await self.proxy.__aenter__()

    def _end_warmup(self, at_s):
        """End the warm-up of a start that crashes while it is cold."""
        for number, span in enumerate(self.journal.cold):
            if span.server_id == self.server_id and at_s < span.until_s:
                self.journal.cold[number] = span._replace(until_s=at_s)

    def announce_now(self):
        """Announce itself from now on."""
        self.is_mute = False
        self.woken.set()

    def reset(self, share, rng):
        """Reset some of its connections.

        :param share: share of them.
        :param rng: source of randomness.
        """
        now_s = asyncio.get_running_loop().time()
        strike = Span(self.server_id, now_s, now_s)
        self.journal.strikes.append(strike)
        self.journal.resets.append(strike)
        self.proxy.reset(lambda: rng.random() < share)

    async def hold_up(self, seconds):
        """Hold its links up for a while.

        :param seconds: how long.
        """
        now_s = asyncio.get_running_loop().time()
        strike = Span(self.server_id, now_s, now_s + seconds)
        self.journal.strikes.append(strike)
        self.proxy.held = {"in", "out"}
        await asyncio.sleep(seconds)
        self.proxy.held = set()


def _has_ended(reader, writer):
    """Whether the other side has ended a connection."""
    return (
        writer.is_closing()
        or reader.at_eof()
        or reader.exception() is not None
    )


class StreamCaller(_traffic.Caller):
    """Sends streams only, on connections that it keeps or not."""

    def __init__(self, book, entries, seed):
        super().__init__(book, entries, seed, is_direct=True)
        self.is_new = self.rng.random() < NEW_SHARE

    def _kind(self):
        return "talk"

    def _pause_s(self):
        if self.is_new:
            self._drop()
        return self.rng.uniform(*CALL_PAUSE_S)

    async def _exchange(self, request_id, payload):
        if self._connection is not None and _has_ended(*self._connection):
            # Its entry VM closed it, or ended, after the last answer.
            self._drop()
        return await super()._exchange(request_id, payload)


class ColdReturnsSoak(_soak.Soak):
    """A soak of servers that are back under their old ids.

    :param seed: of all choices.
    :param folder: where logs and disks lie.
    :param checks_times: as of ``Soak``.
    """

    callers = CALLERS
    recover_s = RECOVER_S

    def __init__(self, seed, folder, checks_times=True):
        super().__init__(seed, folder, checks_times)
        self.journal = Journal()
        self.worst = 0
        self._controls_away = asyncio.Lock()
        self.cases = (
            self.return_at_once,
            self.return_late,
            self.return_late,
            self.return_unheard,
            self.reset_sound,
            self.reset_sound,
            self.cut_sound,
        )

    def _node_zones(self):
        return CONTROL_ZONES + ENTRY_ZONES

    def _create_servers(self, public, private):
        for number in range(1, SERVERS + 1):
            host = 100 + number
            yield ReturningServer(
                self.journal,
                f"{private}.{host}:{_standins.SERVER_PORT}",
                self.book,
                self._rng(),
                f"s{number}",
                f"{public}.{host}",
                "text",
                SERVER_ZONE,
            )

    async def _start_operator(self):
        operator = _orders.Operator(
            self.book, self.controls, self._rng(), SERVER_ZONE, 0.0
        )
        await operator.publish(False)

    def _callers(self, seed):
        return [StreamCaller(self.book, self.entries, seed)]

    async def run(self, seconds):
        """Let servers crash and return, then check what was seen.

        :param seconds: how long faults begin.
        """
        await asyncio.sleep(LEAD_S)
        await super().run(seconds)
        self.worst = check_cold(self.book, self.journal)
        looked = check_shares(self.book, self.journal)
        check_answered(self.book, self.journal, self._are_calm)
        print(
            f"cold starts {len(self.journal.cold)}, most requests in a second"
            f" {self.worst}, allowed {MAX_IN_A_SECOND}; resets looked at"
            f" {looked} of {len(self.journal.resets)}"
        )

    def _are_calm(self, names, begin_s, end_s):
        names = names or [node.name for node in self.entries]
        return all(self.is_calm(name, begin_s, end_s) for name in names)

    def _list_struck(self, case, node):
        return [] if case in self.cases else [node]

    async def return_at_once(self, node, hold_s):
        """Servers crash and announce themselves once they are back."""
        await self._crash_some(0.0)

    async def return_late(self, node, hold_s):
        """Servers crash and announce themselves late."""
        await self._crash_some(self.rng.uniform(*LATE_S))

    async def return_unheard(self, node, hold_s):
        """Servers crash and are back while no control VM hears them."""
        if self._controls_away.locked():
            return
        async with self._controls_away:
            case = self.rng.choice([self.pause, self.kill_for])
            away_s = self._draw_gap_s() + self.rng.uniform(*UNHEARD_S)
            print(f"          {case.__name__} control VMs {away_s:.2f}")
            await asyncio.gather(
                self._crash_some(0.0),
                *(self._inject(case, n, away_s) for n in self.controls),
            )

    async def kill_for(self, node, hold_s):
        """A process is killed and starts again after the whole time."""
        await self.kill(node, 4 * hold_s)

    def _draw_gap_s(self):
        is_long = self.rng.random() < LONG_SHARE
        return self.rng.uniform(*(LONG_GAP_S if is_long else SHORT_GAP_S))

    def _take_sound(self, number):
        """Choose servers for a fault; one at least is left out."""
        sound = [s for s in self.servers if not s.is_struck]
        taken = self.rng.sample(sound, max(0, min(number, len(sound) - 1)))
        for server in taken:
            server.is_struck = True
        return taken

    async def _crash_some(self, late_s):
        """Let some servers crash at once, and maybe entry VMs later."""
        servers = self._take_sound(self.rng.choice(CRASHES))
        returning = []
        for server in servers:
            gap_s = self._draw_gap_s()
            print(
                f"          {server.server_id} {gap_s:.2f} late {late_s:.2f}"
            )
            returning.append(self._return(server, gap_s, late_s))
        if servers and self.rng.random() < KILL_SHARE:
            kill_s = max(0.0, gap_s + self.rng.uniform(*KILL_AT_S))
            returning.append(self._kill_entries(kill_s))
        await asyncio.gather(*returning)

    async def _return(self, server, gap_s, late_s):
        """Let a server crash and come back, maybe twice."""
        await server.crash_and_return(gap_s)
        if self.rng.random() < AGAIN_SHARE:
            again_s = self.rng.uniform(*AGAIN_S)
            gap_s = self._draw_gap_s()
            name = server.server_id
            print(f"          {name} again after {again_s:.2f}, {gap_s:.2f}")
            if late_s < again_s:
                await asyncio.sleep(late_s)
                server.announce_now()
            await asyncio.sleep(max(again_s - late_s, 0.0))
            await server.crash_and_return(gap_s)
        await asyncio.sleep(late_s)
        server.announce_now()
        loop = asyncio.get_running_loop()
        await asyncio.sleep(server.cold_until_s - loop.time())
        server.is_struck = False

    async def _kill_entries(self, wait_s):
        """Kill some entry VMs later and start them again."""
        number = self.rng.randint(1, MAX_KILLED)
        nodes = self.rng.sample(self.entries, number)
        away_s = self.rng.uniform(*KILLED_S)
        await asyncio.sleep(wait_s)
        loop = asyncio.get_running_loop()
        names = [node.name for node in nodes]
        print(f"{loop.time():9.2f} kill {names} {away_s:.2f}")
        await asyncio.gather(
            *(self._inject(self.kill_for, node, away_s) for node in nodes)
        )

    async def reset_sound(self, node, hold_s):
        """Connections to a sound server are reset."""
        share = self.rng.choice(RESET_SHARES)
        for server in self._take_sound(1):
            print(f"          {server.server_id} {share}")
            server.reset(share, self._rng())
            await asyncio.sleep(SHARE_S + LOOK_S)
            server.is_struck = False

    async def cut_sound(self, node, hold_s):
        """Links to a sound server are held up."""
        for server in self._take_sound(1):
            await server.hold_up(self.rng.uniform(*CUT_S))
            server.is_struck = False


async def soak(seed, seconds, folder, checks_times=True):
    """Run one soak of cold returns.

    :param seed: of all choices.
    :param seconds: how long faults begin.
    :param folder: where logs and disks lie.
    :param checks_times: as of ``Soak``.
    :returns: the ``Book``.
    """
    async with ColdReturnsSoak(seed, folder, checks_times) as running:
        await running.run(seconds)
        return running.book
