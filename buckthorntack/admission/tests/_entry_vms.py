"""Entry VMs of several regions that share quotas, in virtual time."""

import collections
import random

from buckthorntack import admission
from buckthorntack import directives
from buckthorntack import dispatch
from buckthorntack.schema import messages

#: Rounds of reports within a region; each message takes one.
PERIOD_S = 0.075
#: Rounds between two reports of a region.
REGION_ROUNDS = 4
TOLERANCE = admission.QuotaTolerance(8.0, 0.1, 190_000.0)


class EntryVM:
    """Reports and quotas of one entry VM."""

    def __init__(self, world, name, region, now_s):
        settings = dispatch.DispatchSettings()
        self.name = name
        self.region = region
        self.exchange = dispatch.UsageExchange(
            dispatch.Fleet(settings), name, world.domain_of[name]
        )
        self.exchange.set_members(
            {
                other: domain
                for other, domain in world.domain_of.items()
                if domain.startswith(region)
            }
        )
        self.quotas = admission.OrganisationQuotas(
            region,
            world.regions,
            TOLERANCE,
            world.quotas.get,
            world.rng,
            now_s,
        )
        regions = list(world.region_of.values())
        self.quotas.set_entry_vms(regions.count(region), regions, now_s)
        self.exchange.organisations.add_listener(self.quotas)


class World:
    """Entry VMs, the links between them and what they admitted.

    :param counts: number of entry VMs by region.
    :param quotas: ``directives.Quota`` by organisation.
    :param seed: of all randomness.
    """

    def __init__(self, counts, quotas, seed=1):
        self.rng = random.Random(seed)
        self.quotas = quotas
        self.regions = sorted(counts)
        self.now_s = 100.0
        self.round = 0
        self.cuts = set()
        #: Share of the reports between regions that are lost.
        self.loss = 0.0
        self.admitted = collections.defaultdict(list)
        self.refused = collections.Counter()
        self.waits_s = []
        self.domain_of = {
            f"{region}{n:03}": f"{region}-{n % 2}"
            for region, count in counts.items()
            for n in range(count)
        }
        self.region_of = {
            name: domain[:-2] for name, domain in self.domain_of.items()
        }
        self.vms = {}
        for name in self.domain_of:
            self.start(name)
        self._due = collections.deque()

    def start(self, name):
        """Start an entry VM, or start it again without its state."""
        self.vms[name] = EntryVM(self, name, self.region_of[name], self.now_s)

    def names_in(self, region):
        """Entry VMs of a region that run."""
        return [name for name in self.vms if self.region_of[name] == region]

    def ask(self, name, organisation, cost):
        """Send a request; return the wait that a refusal states, or None."""
        vm = self.vms[name]
        quota = self.quotas[organisation]
        wait_s = vm.quotas.charge(organisation, quota, cost, self.now_s)
        if wait_s is None:
            self.admitted[organisation].append((self.now_s, cost))
        else:
            self.refused[organisation] += 1
            self.waits_s.append(wait_s)
        vm.exchange.organisations.add(
            messages.OrganisationUse(
                organisation, cost if wait_s is None else 0.0, cost
            )
        )
        return wait_s

    def run_round(self):
        """Deliver the messages of the last round and send new ones."""
        self.now_s += PERIOD_S
        self.round += 1
        due, self._due = self._due, collections.deque()
        for sender, receiver, message in due:
            if receiver in self.vms:
                self._deliver(sender, self.vms[receiver], message)
        for name, vm in list(self.vms.items()):
            for receiver, report in vm.exchange.take_due_reports(self.now_s):
                self._due.append((name, receiver, report))
        if self.round % REGION_ROUNDS == 0:
            for region in self.regions:
                self._send_region_load(region)

    def _deliver(self, sender, vm, message):
        if isinstance(message, messages.UseReport):
            vm.exchange.on_report(sender, message, self.now_s)
            return
        vm.exchange.on_region_load(message, self.now_s)
        for hop in vm.exchange.next_hops(sender, self.now_s):
            self._due.append((vm.name, hop, message))

    def _send_region_load(self, region):
        names = self.names_in(region)
        sums = {
            name: self.vms[name].exchange.take_region_updates()
            for name in names
        }
        for other in self.regions:
            names_there = self.names_in(other)
            is_cut = frozenset((region, other)) in self.cuts
            is_lost = self.rng.random() < self.loss
            if other == region or is_cut or not names or not names_there:
                continue
            if not is_lost:
                load = messages.RegionLoad(region, [], [], [], *sums[names[0]])
                receiver = self.rng.choice(names_there)
                self._due.append((names[0], receiver, load))

    def offer(self, organisation, per_s, cost, regions=None):
        """Let one organisation send its requests of one round.

        :param per_s: amount a second, over all entry VMs.
        :param cost: amount of a request.
        """
        names = [
            name
            for name in self.vms
            if regions is None or self.region_of[name] in regions
        ]
        expected = per_s * PERIOD_S / cost
        count = int(expected) + (self.rng.random() < expected % 1.0)
        for _ in range(count):
            self.ask(self.rng.choice(names), organisation, cost)

    def excess(self, organisation, quota=None):
        """Most admitted in a window against what the rule allows.

        :param quota: limit; None for the quota in force.
        :returns: 1 at the limit.
        """
        quota = quota or self.quotas[organisation]
        limit = quota.rate_per_s * TOLERANCE.window_s + quota.burst
        limit += TOLERANCE.compute_margin(quota)
        most = total = 0.0
        window = collections.deque()
        for at_s, cost in self.admitted[organisation]:
            window.append((at_s, cost))
            total += cost
            while at_s - window[0][0] > TOLERANCE.window_s:
                total -= window.popleft()[1]
            most = max(most, total)
        return most / limit

    def admitted_per_s(self, organisation, since_s):
        """Mean of what was admitted a second since a time."""
        total = sum(
            cost
            for at_s, cost in self.admitted[organisation]
            if at_s > since_s
        )
        return total / (self.now_s - since_s)


def tokens(rate_per_s, burst):
    """A quota in tokens."""
    return directives.Quota(
        directives.QuotaUnit.TOKENS, rate_per_s, burst, 1_000.0
    )
