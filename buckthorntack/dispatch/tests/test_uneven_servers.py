"""Load: servers that differ in speed, change it, restart, recover."""

import math
import random

import pytest

from buckthorntack import dispatch
from buckthorntack.dispatch import _server_speeds
from buckthorntack.dispatch.tests import _world
from buckthorntack.dispatch.tests import test_exchange

SERVERS = 31
ENTRY_VMS = 34
NOMINAL_MS = 100.0
#: Short prompts a second at a server.
PER_S = 14.0
#: Spread of the logarithm of the observed time.
NOISE = 0.25
#: Least factor by which a server that works at a fifth of its speed is known
#: as slower.
KNOWN_SLOW = 1.5
#: Factor within which an estimate is right.
RIGHT = 1.35


class _Load(test_exchange._Mesh):
    """Entry VMs of a region with short prompts at all servers."""

    def __init__(self, speeds, count=ENTRY_VMS, seed=1):
        super().__init__(count, seed)
        self.speeds = speeds
        self.born_ms = {}
        self.lost = False

    def run_s(self, seconds, servers=None):
        rounds = round(seconds / test_exchange.PERIOD_S)
        for _ in range(rounds):
            for server_id in servers or self.speeds:
                chance = PER_S * test_exchange.PERIOD_S
                if self.rng.random() < chance:
                    self.answer(server_id)
            if self.lost:
                for name in self.live_names():
                    self.exchanges[name].take_due_reports(self.now_s)
                self.now_s += test_exchange.PERIOD_S
            else:
                self.run_round()

    def answer(self, server_id):
        name = self.rng.choice(self.live_names())
        work = _server_speeds.SpeedWork(
            self.born_ms.get(server_id, 1), NOMINAL_MS, 0.0, 0.0
        )
        noise = math.exp(self.rng.gauss(0.0, NOISE))
        self.fleets[name].speeds.on_first_byte(
            server_id, work, NOMINAL_MS / self.speeds[server_id] * noise,
            self.now_s,
        )  # fmt: skip

    def known(self, server_id):
        """Slowdowns of a server as known to each entry VM."""
        return [
            self.fleets[name].speeds.slowdown(server_id)
            for name in self.live_names()
        ]

    def share_right(self, server_id):
        known = self.known(server_id)
        expected = 1.0 / self.speeds[server_id]
        right = sum(
            expected / RIGHT <= one <= expected * RIGHT for one in known
        )
        return right / len(known)

    def mean_share_right(self):
        shares = [self.share_right(server_id) for server_id in self.speeds]
        return sum(shares) / len(shares)


def _uneven():
    return {
        f"s{number:02}": 1.7 if number % 3 == 0 else 0.7
        for number in range(SERVERS)
    }


@pytest.mark.parametrize("seed", range(3))
def test_all_know_uneven_speeds_two_seconds_after_a_start(seed):
    load = _Load(_uneven(), seed=seed)
    load.run_s(2.0)
    assert load.mean_share_right() >= 0.9


@pytest.mark.parametrize("seed", range(3))
def test_a_server_that_turns_slow_is_known_within_two_seconds(seed):
    load = _Load(_uneven(), seed=seed)
    load.run_s(3.0)
    load.speeds["s01"] /= 5.0
    load.run_s(2.0)
    assert min(load.known("s01")) >= KNOWN_SLOW / 0.7
    assert load.mean_share_right() >= 0.85


# Guards against a server that is avoided as slow and never tried again.
def test_an_avoided_server_is_tried_again_and_recovers():
    load = _Load(_uneven())
    load.run_s(3.0)
    load.speeds["s01"] /= 5.0
    load.run_s(2.0)
    load.speeds["s01"] *= 5.0
    known = load.known("s01")
    others = [server_id for server_id in load.speeds if server_id != "s01"]
    load.run_s(2.0, others)
    # Some forget early, so that a few requests try it; most still know.
    tries = [
        one < 0.9 * slow
        for one, slow in zip(load.known("s01"), known, strict=True)
    ]
    assert 0 < sum(tries) < len(tries) / 2
    load.run_s(1.5)
    assert load.share_right("s01") >= 0.9


def test_noise_is_no_speed():
    load = _Load({f"s{number:02}": 1.0 for number in range(SERVERS)})
    load.run_s(2.0)
    worst = []
    for _ in range(10):
        load.run_s(0.5)
        worst.append(load.mean_share_right())
    assert min(worst) >= 0.95
    changes = [
        change
        for fleet in load.fleets.values()
        for change in fleet.speeds.take_changes(load.now_s)
    ]
    assert not changes


def test_short_prompts_say_little_of_how_long_ones_are_read():
    speeds = _server_speeds.ServerSpeeds(dispatch.DispatchSettings())
    short = _server_speeds.SpeedWork(1, 100.0, 5.0, 5.0)
    long = _server_speeds.SpeedWork(1, 100.0, 500.0, 500.0)
    for number in range(200):
        now_s = number * 0.1
        speeds.on_first_byte("s", short, 40.0 + 10.0, now_s)
        if number % 5 == 0:
            speeds.on_first_byte("s", long, 40.0 + 1000.0, now_s)
    assert 0.4 <= speeds.slowdown("s") <= 0.5
    assert 1.8 <= speeds.read_slowdown("s") <= 2.1


def test_one_outlier_moves_an_estimate_little():
    speeds = _server_speeds.ServerSpeeds(dispatch.DispatchSettings())
    work = _server_speeds.SpeedWork(1, NOMINAL_MS, 0.0, 0.0)
    for number in range(20):
        speeds.on_first_byte("s", work, NOMINAL_MS, number * 0.1)
    speeds.on_first_byte("s", work, 80 * NOMINAL_MS, 2.0)
    assert speeds.slowdown("s") < 1.15


def test_a_restarted_server_is_learnt_anew():
    load = _Load(_uneven())
    load.run_s(3.0)
    load.speeds["s01"] = 1.7
    load.born_ms["s01"] = 2
    for fleet in load.fleets.values():
        fleet.on_server_restarted("s01")
    assert min(load.known("s01")) > 1.0
    load.run_s(1.0)
    assert load.share_right("s01") >= 0.9


def test_samples_of_a_former_incarnation_say_nothing():
    speeds = _server_speeds.ServerSpeeds(dispatch.DispatchSettings())
    new = _server_speeds.SpeedWork(2, NOMINAL_MS, 0.0, 0.0)
    old = _server_speeds.SpeedWork(1, NOMINAL_MS, 0.0, 0.0)
    speeds.on_first_byte("s", new, NOMINAL_MS, 1.0)
    known = speeds.slowdown("s")
    speeds.on_first_byte("s", old, 8 * NOMINAL_MS, 1.1)
    assert speeds.slowdown("s") == known


# Guards against an entry VM that routes for seconds as if all were equal.
def test_an_entry_vm_that_starts_is_told_at_once():
    load = _Load(_uneven())
    load.run_s(3.0)
    name = "vm09"
    fleet = dispatch.Fleet(dispatch.DispatchSettings())
    exchange = dispatch.UsageExchange(fleet, name, load.exchanges[name]
                                      .failure_domain)  # fmt: skip
    exchange.set_members(
        {vm: one.failure_domain for vm, one in load.exchanges.items()}
    )
    load.fleets[name], load.exchanges[name] = fleet, exchange
    load.run_s(0.2)
    expected = {s: 1.0 / speed for s, speed in load.speeds.items()}
    right = [
        expected[s] / RIGHT <= fleet.speeds.slowdown(s) <= expected[s] * RIGHT
        for s in expected
    ]
    assert sum(right) >= 0.9 * len(right)


def test_statements_are_told_to_entry_vms_that_started_only():
    load = _Load(_uneven(), count=6)
    load.run_s(2.0)
    told = [
        report
        for name in load.live_names()
        for _, report in load.exchanges[name].take_due_reports(load.now_s)
        if report.known_speeds
    ]
    assert not told


def test_reports_lost_for_a_second_are_made_good_by_later_ones():
    load = _Load(_uneven())
    load.run_s(2.0)
    load.lost = True
    load.speeds["s01"] /= 5.0
    load.run_s(1.0)
    load.lost = False
    load.run_s(3.0)
    assert min(load.known("s01")) >= KNOWN_SLOW / 0.7
    assert load.mean_share_right() >= 0.85


def _world_of_uneven_servers():
    world = _world.World()
    for number in range(6):
        fast = number == 0
        world.add_server(f"s{number}", slots=32)
        work = _server_speeds.SpeedWork(1, NOMINAL_MS, 0.0, 0.0)
        for _ in range(60):
            world.fleet.speeds.on_first_byte(
                f"s{number}", work, NOMINAL_MS / (1.7 if fast else 0.7), 100.0
            )
    return world


def test_long_prompts_go_to_fast_servers_and_short_ones_elsewhere():
    world = _world_of_uneven_servers()
    long = world.make_request(_world.prompt(tokens=40_000))
    assert world.send(long).server_id == "s0"
    rng = random.Random(1)
    places = []
    for number in range(40):
        parts = (
            dispatch.Part(f"all{rng.randrange(9)}", 92),
            dispatch.Part(f"own{number}", 291),
        )
        prompt = dispatch.Prompt(parts, 383, 48)
        places.append(world.send(world.make_request(prompt)).server_id)
    assert places.count("s0") < 4


def test_expected_times_of_other_regions_follow_their_speeds():
    world = _world_of_uneven_servers()
    views = world.registry.servers
    request = world.make_request(_world.prompt())
    world.fleet.remote_usage = lambda *_: world.fleet.usage("s9")
    fast, slow = (
        world.dispatcher.estimator.estimate_remote(
            request, views[server_id], (), world.now_s
        )
        for server_id in ("s0", "s1")
    )
    assert fast.expected_ms * 1.5 < slow.expected_ms
