"""Usage reports within a region are complete, timely and counted once."""

import itertools
import random

import pytest

from buckthorntack import dispatch
from buckthorntack.dispatch import _exchange
from buckthorntack.schema import messages

PERIOD_S = 0.05
DOMAINS = ("a", "b")


class _Mesh:
    """Simulated entry VMs of a region that exchange reports."""

    def __init__(self, count, seed=1):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.down = set()
        self.messages = 0
        members = {f"vm{n:02}": DOMAINS[n % 2] for n in range(count)}
        settings = dispatch.DispatchSettings()
        self.fleets = {name: dispatch.Fleet(settings) for name in members}
        self.exchanges = {}
        for name, domain in members.items():
            exchange = dispatch.UsageExchange(self.fleets[name], name, domain)
            exchange.set_members(members)
            self.exchanges[name] = exchange

    def live_names(self):
        return [name for name in self.exchanges if name not in self.down]

    def restart(self, name):
        """Let an entry VM start again, which knows nothing of before."""
        members = self.exchanges[name]._domain_of
        self.fleets[name] = dispatch.Fleet(dispatch.DispatchSettings())
        self.exchanges[name] = dispatch.UsageExchange(
            self.fleets[name], name, members[name]
        )
        self.exchanges[name].set_members(members)

    def run_round(self, names=None, cut=frozenset()):
        """Send all due reports in random order of the entry VMs.

        :param names: those that send; None for all that run.
        :param cut: those that hear nothing of each other.
        """
        names = list(names or self.live_names())
        self.rng.shuffle(names)
        for name in names:
            for other, report in self.exchanges[name].take_due_reports(
                self.now_s
            ):
                self.messages += 1
                if other not in self.down and not {name, other} <= cut:
                    self.exchanges[other].on_report(name, report, self.now_s)
        for name in names:
            self.fleets[name].expire_reports(self.now_s)
        self.now_s += PERIOD_S

    def send(self, name, server_id="s", unread_tokens=10, prompt=None):
        flight = dispatch.InFlightRequest(
            server_id, unread_tokens, 100, 100.0, self.now_s
        )
        self.fleets[name].on_request_sent(flight, prompt)
        self.exchanges[name].on_request_sent(flight)
        return flight

    def waiting_by_entry_vm(self):
        """Return waiting requests of server "s" as known to each entry VM."""
        return {
            name: self.fleets[name].usage("s").waiting
            for name in self.live_names()
        }


@pytest.mark.parametrize("count", [1, 2, 3, 7, 20])
def test_everyone_learns_of_all_requests(count):
    mesh = _Mesh(count)
    for name in mesh.live_names():
        mesh.send(name)
    for _ in range(6):
        mesh.run_round()
    assert set(mesh.waiting_by_entry_vm().values()) == {count}


@pytest.mark.parametrize("seed", range(4))
def test_everyone_learns_of_each_change(seed):
    mesh = _Mesh(9, seed)
    flights = []
    for _ in range(100):
        name = mesh.rng.choice(mesh.live_names())
        server_id = mesh.rng.choice(("s", "t"))
        flights.append((name, mesh.send(name, server_id)))
        if mesh.rng.random() < 0.45:
            name, flight = flights.pop(mesh.rng.randrange(len(flights)))
            fleet = mesh.fleets[name]
            fleet.on_request_ended(flight, dispatch.Outcome.OK, mesh.now_s)
        mesh.run_round()
    for _ in range(4):
        mesh.run_round()
    at_s = [flight for _, flight in flights if flight.server_id == "s"]
    assert set(mesh.waiting_by_entry_vm().values()) == {len(at_s)}


def test_messages_grow_with_entry_vms_not_with_their_square():
    sent = {}
    for count in (10, 40):
        mesh = _Mesh(count)
        for _ in range(20):
            for name in mesh.live_names():
                mesh.send(name)
            mesh.run_round()
        sent[count] = mesh.messages
    assert sent[40] <= 4.5 * sent[10]


@pytest.mark.parametrize("seed", range(8))
def test_sums_are_right_again_soon_after_relays_come_and_go(seed):
    mesh = _Mesh(8, seed)
    flights = []
    max_excess_rounds = round(_exchange.RELAY_TIMEOUT_S / PERIOD_S)
    excess_rounds = 0
    for _ in range(150):
        chance = mesh.rng.random()
        if chance < 0.05 and len(mesh.down) < 4:
            mesh.down.add(mesh.rng.choice(mesh.live_names()))
        elif chance < 0.1 and mesh.down:
            mesh.down.remove(mesh.rng.choice(sorted(mesh.down)))
        name = mesh.rng.choice(mesh.live_names())
        flights.append((name, mesh.send(name)))
        mesh.run_round()
        max_waiting = max(mesh.waiting_by_entry_vm().values())
        excess_rounds = excess_rounds + 1 if max_waiting > len(flights) else 0
        assert excess_rounds <= max_excess_rounds
        assert max_waiting <= 2 * len(flights)
    mesh.down.clear()
    for _ in range(120):
        mesh.run_round()
    assert set(mesh.waiting_by_entry_vm().values()) == {len(flights)}


def test_another_relay_is_asked_when_one_falls_silent():
    mesh = _Mesh(6)
    for _ in range(4):
        mesh.run_round()
    mesh.down = {"vm00", "vm01"}
    for name in mesh.live_names():
        mesh.send(name)
    silent_rounds = round(
        (_exchange.RELAY_TIMEOUT_S + 2 * _exchange.FULL_REPORT_PERIOD_S)
        / PERIOD_S
    )
    for _ in range(silent_rounds + 6):
        mesh.run_round()
    assert set(mesh.waiting_by_entry_vm().values()) == {4}


# Guards against an entry VM that hears of no other one of its domain for three
# seconds, as its relay started again a moment after it was given up.
@pytest.mark.parametrize("count", [4, 6, 20])
def test_relay_that_has_started_again_is_found(count):
    mesh = _Mesh(count)
    for _ in range(10):
        mesh.run_round()
    while mesh.exchanges["vm02"].relay == "vm00":
        mesh.run_round(cut={"vm00", "vm02"})
    assert mesh.exchanges["vm02"].relay == "vm02"
    mesh.restart("vm00")
    for name in mesh.live_names():
        mesh.send(name)
    for _ in range(round(2 * _exchange.FULL_REPORT_PERIOD_S / PERIOD_S)):
        mesh.run_round()
    assert mesh.exchanges["vm02"].relay == "vm00"
    assert set(mesh.waiting_by_entry_vm().values()) == {count}


def test_a_silent_entry_vm_is_known_to_all():
    mesh = _Mesh(6)
    for _ in range(30):
        mesh.run_round()
    mesh.down = {"vm05"}
    since_s = mesh.now_s
    for _ in range(40):
        mesh.run_round()
    for name, other in itertools.permutations(mesh.live_names(), 2):
        assert mesh.exchanges[name].last_heard_s(other) > since_s
        last_s = mesh.exchanges[name].last_heard_s("vm05")
        assert last_s is not None
        assert last_s <= since_s + 3 * _exchange.MAX_HEARD_AGE_S


def test_large_shared_parts_are_told_to_all():
    mesh = _Mesh(6)
    parts = (dispatch.Part("pack", 13_300), dispatch.Part("own", 3_720))
    prompt = dispatch.Prompt(parts, 17_020, 100)
    mesh.send("vm04", unread_tokens=17_020, prompt=prompt)
    assert mesh.exchanges["vm04"].is_urgent
    for _ in range(5):
        mesh.run_round()
    for name in mesh.live_names():
        cache = mesh.fleets[name].state("s").cache
        assert cache.cached_tokens(parts[:1]) == 13_300
        assert cache.used_tokens == 17_020


def test_small_prompts_take_memory_at_servers_of_others():
    mesh = _Mesh(4)
    for number in range(50):
        parts = (dispatch.Part("all", 55), dispatch.Part(f"{number}", 300))
        prompt = dispatch.Prompt(parts, 355, 50)
        mesh.send("vm03", unread_tokens=300, prompt=prompt)
        mesh.run_round()
    for _ in range(5):
        mesh.run_round()
    for name in mesh.live_names():
        used = mesh.fleets[name].state("s").cache.used_tokens
        assert used >= 50 * 300


def test_only_large_prompts_are_told_at_once():
    mesh = _Mesh(3)
    mesh.send("vm02", unread_tokens=_exchange.URGENT_PROMPT_TOKENS - 1)
    assert not mesh.exchanges["vm02"].is_urgent
    mesh.send("vm02", unread_tokens=_exchange.URGENT_PROMPT_TOKENS)
    assert mesh.exchanges["vm02"].is_urgent
    [(relay, report)] = mesh.exchanges["vm02"].take_due_reports(mesh.now_s)
    assert not mesh.exchanges["vm02"].is_urgent
    mesh.exchanges[relay].take_due_reports(mesh.now_s)
    mesh.exchanges[relay].on_report("vm02", report, mesh.now_s)
    assert mesh.exchanges[relay].is_urgent


@pytest.mark.parametrize("count", [1, 2, 5, 21])
def test_a_message_for_all_reaches_each_entry_vm_once(count):
    mesh = _Mesh(count)
    for _ in range(4):
        mesh.run_round()
    for first in mesh.live_names():
        reached = [first]
        due = [("elsewhere", first)]
        while due:
            sender, name = due.pop()
            hops = mesh.exchanges[name].next_hops(sender, mesh.now_s)
            reached.extend(hops)
            due.extend((name, other) for other in hops)
        assert sorted(reached) == mesh.live_names()


class _Listener:
    def __init__(self):
        self.admitted = 0.0
        self.by_region = {}

    def on_local_updates(self, updates, now_s):
        self.admitted += sum(update.admitted for update in updates)

    def on_region_updates(self, region, updates, now_s):
        self.by_region[region] = sum(update.admitted for update in updates)


def _listen(mesh):
    listeners = {name: _Listener() for name in mesh.exchanges}
    for name, listener in listeners.items():
        mesh.exchanges[name].organisations.add_listener(listener)
    return listeners


@pytest.mark.parametrize("count", [2, 3, 7, 20])
def test_sums_reach_each_other_entry_vm_once(count):
    mesh = _Mesh(count)
    mesh.run_round()
    mesh.run_round()
    listeners = _listen(mesh)
    for number, name in enumerate(mesh.live_names()):
        use = messages.OrganisationUse("depot", 2.0**number, 0.0)
        mesh.exchanges[name].organisations.add(use)
        mesh.exchanges[name].organisations.add(use)
    for _ in range(6):
        mesh.run_round()
    total = 2.0 * (2.0**count - 1)
    for number, listener in enumerate(listeners.values()):
        assert listener.admitted == total - 2.0 * 2.0**number


def test_each_entry_vm_can_tell_the_sum_of_its_region():
    mesh = _Mesh(5)
    mesh.run_round()
    mesh.run_round()
    for name in mesh.live_names():
        use = messages.OrganisationUse("depot", 1.0, 3.0)
        mesh.exchanges[name].organisations.add(use)
    for _ in range(6):
        mesh.run_round()
    for exchange in mesh.exchanges.values():
        organisations, speeds = exchange.take_region_updates()
        assert organisations == [messages.OrganisationUse("depot", 5.0, 15.0)]
        assert exchange.take_region_updates() == [[], []]


def test_empty_report_of_another_region_is_told():
    mesh = _Mesh(1)
    [listener] = _listen(mesh).values()
    [exchange] = mesh.exchanges.values()
    load = messages.RegionLoad("south", [], [], [])
    exchange.on_region_load(load, mesh.now_s)
    assert listener.by_region == {"south": 0}


# A busy entry VM that stepped back before others knew left nobody to relay.
def test_means_decide_on_the_relay():
    mesh = _Mesh(6)
    members = {name: DOMAINS[n % 2] for n, name in enumerate(mesh.exchanges)}
    means = dict.fromkeys(members, 1.0) | {"vm04": 2.6, "vm03": 1.3}
    for exchange in mesh.exchanges.values():
        exchange.set_members(members, means)
    mesh.run_round()
    relays = {
        name: exchange.relay for name, exchange in mesh.exchanges.items()
    }
    assert {relays[name] for name in ("vm00", "vm02", "vm04")} == {"vm04"}
    assert {relays[name] for name in ("vm01", "vm03", "vm05")} == {"vm03"}


# Guards against an entry VM that starts anew and floods a cold server, as it
# is not told that the server may have started again.
def test_entry_vm_that_starts_anew_is_told_of_restarts_at_once():
    mesh = _Mesh(3)
    relay = mesh.exchanges["vm00"]
    restarts = mesh.fleets["vm00"].restarts
    restarts.on_failure("s", mesh.now_s, 1_700_000_000_000)
    restarts.tell("s")
    for _ in range(12):
        mesh.run_round()
        last = relay._last_reported["vm02"]
        if mesh.now_s - last.full_report_s < 0.06:
            break
    assert mesh.fleets["vm02"].restarts.is_cold("s", mesh.now_s)
    domains = {f"vm{n:02}": DOMAINS[n % 2] for n in range(3)}
    mesh.fleets["vm02"] = dispatch.Fleet(dispatch.DispatchSettings())
    fresh = dispatch.UsageExchange(mesh.fleets["vm02"], "vm02", "a")
    fresh.set_members(domains)
    mesh.exchanges["vm02"] = fresh
    mesh.run_round(["vm02"])
    mesh.run_round(["vm00"])
    assert mesh.fleets["vm02"].restarts.is_cold("s", mesh.now_s)
