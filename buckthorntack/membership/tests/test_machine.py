"""State machine test: random faults, checked against a model of servers."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from buckthorntack import membership
from buckthorntack.membership.tests import fakes

NODES = 3
SERVERS = ("s0", "s1")
BOUND_MS = 3000
SLOW_MS = 8000

nodes = strategies.integers(0, NODES - 1).map(lambda n: f"e{n}")
servers = strategies.sampled_from(SERVERS)


class Model:
    """Expected state of a backend server that echoes answers."""

    def __init__(self, server_id):
        self.server_id = server_id
        self.incarnation = 0
        self.sequence = 0
        self.state = "gone"
        self.home = "e0"
        self.left_ms = -BOUND_MS
        self.echoes = {}
        self.sent = []


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Checks that views learn of a departure in time, keep it and converge."""

    def __init__(self):
        super().__init__()
        self.network = fakes.domain(NODES)
        self.models = {name: Model(name) for name in SERVERS}
        self.due_ms = 0
        self.known_departures = {}
        for name in SERVERS:
            self.start(name, "e0")
        self.wait(1000)

    def announce(self, model):
        model.sequence += 1
        echo, at_ms = model.echoes.get(model.home, ("", 0))
        document = fakes.announcement(
            model.server_id,
            model.incarnation,
            model.sequence,
            state=model.state,
            echo=echo,
            echo_age_ms=self.network.now_ms - at_ms,
        )
        model.sent = [*model.sent[-3:], (model.home, document)]
        view = self.network.views.get(model.home)
        if view is not None:
            self.network.announce(model.home, document)
            echo = view.echo(self.network.local(model.home))
            model.echoes[model.home] = (echo, self.network.now_ms)

    def renew(self):
        if self.network.now_ms < self.due_ms:
            return
        self.due_ms = self.network.now_ms + 650
        for model in self.models.values():
            if model.state in ("ready", "draining"):
                self.announce(model)

    def check(self):
        self.record_departures()
        for model in self.models.values():
            if model.state == "ready":
                continue
            is_late = self.network.now_ms > model.left_ms + BOUND_MS
            states = self.network.states(model.server_id)
            for node, state in states.items():
                departed_incarnation = self.known_departures.get(
                    (node, model.server_id), -1
                )
                is_known = departed_incarnation >= model.incarnation
                assert state != "ready" or not (is_late or is_known)

    def record_departures(self):
        """Record which departures each view knows, by server incarnation."""
        for model in self.models.values():
            for node in self.network.views:
                removed = membership.ServerRemoved(
                    model.server_id, "withdrawn"
                )
                observed_commands = self.network.observed_commands[node]
                state = self.network.states(model.server_id).get(node)
                is_over = model.state not in ("ready", "gone")
                if is_over and (
                    state == "draining" or removed in observed_commands
                ):
                    key = (node, model.server_id)
                    self.known_departures[key] = model.incarnation

    @stateful.rule(duration_ms=strategies.integers(200, 4000))
    def wait(self, duration_ms):
        def on_tick():
            self.renew()
            self.check()

        self.network.run(duration_ms, on_tick)

    @stateful.rule(name=servers, home=nodes)
    def start(self, name, home):
        model = self.models[name]
        if model.state in ("ready", "draining"):
            return
        for observed_commands in self.network.observed_commands.values():
            observed_commands.clear()
        model.incarnation += 1
        model.sequence = 0
        model.state = "ready"
        model.home = home
        self.announce(model)
        self.announce(model)

    @stateful.rule(
        name=servers,
        state=strategies.sampled_from(["draining", "withdrawn", "gone"]),
        home=nodes,
    )
    def leave(self, name, state, home):
        model = self.models[name]
        if model.state not in ("ready", "draining"):
            return
        if model.state == "ready":
            model.left_ms = self.network.now_ms
        model.state = state
        model.home = home
        if state != "gone":
            self.announce(model)
        self.check()

    @stateful.rule(name=servers, number=strategies.integers(0, 3))
    def deliver_late(self, name, number):
        sent = self.models[name].sent
        home, document = sent[number % len(sent)]
        if home in self.network.views:
            self.network.announce(home, document)
            self.network.run(10)
            self.check()

    @stateful.rule(node=nodes)
    def crash_or_restart(self, node):
        views = self.network.views
        for name in SERVERS:
            self.known_departures.pop((node, name), None)
        if node in views and len(views) > 1:
            self.network.crash(node)
        elif node not in views:
            record = fakes.entry(node, incarnation=self.network.now_ms + 2)
            seeds = [fakes.seed_of(fakes.entry(f"e{n}")) for n in range(NODES)]
            self.network.add(record, seeds)

    @stateful.rule(
        fault=strategies.sampled_from(["cut", "isolated", "lossy", "slow"]),
        node=nodes,
        other=nodes,
    )
    def disturb(self, fault, node, other):
        if fault == "cut":
            self.network.cut.add((node, other))
        if fault == "isolated":
            self.network.isolate(node)
        if fault == "lossy":
            self.network.loss = self.network.duplication = 0.3
        if fault == "slow":
            self.network.delay_ms = (SLOW_MS - 3000, SLOW_MS)

    @stateful.rule()
    def heal(self):
        self.network.heal()
        self.network.loss = self.network.duplication = 0
        self.network.delay_ms = (1, 3)

    @stateful.rule()
    def converge(self):
        self.heal()
        self.wait(SLOW_MS + 4000)
        views = self.network.views
        for model in self.models.values():
            if model.state == "ready" and model.home in views:
                states = self.network.states(model.server_id)
                assert states == dict.fromkeys(views, "ready")


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(
    max_examples=12,
    stateful_step_count=15,
    deadline=None,
    derandomize=True,
    database=None,
)
