"""Objects and changes for tests."""

from buckthorntack import configuration
from buckthorntack import schema
from buckthorntack.schema import messages

REGIONS = ("fukuoka", "kumamoto", "kagoshima")


def rule(name, *regions):
    return {
        "kind": "ResidencyRule",
        "object": {"name": name, "regions": list(regions)},
    }


def organisation(name, residency_rule):
    return {
        "kind": "Organisation",
        "object": {
            "name": name,
            "residency_rule": residency_rule,
            "priority": "normal",
            "quota": "small",
            "services": ["vergedesk"],
        },
    }


def quota(name="small", burst=10):
    return {
        "kind": "Quota",
        "object": {
            "name": name,
            "requests_per_second": 5,
            "burst_requests": burst,
            "tokens_per_minute": 1000,
        },
    }


def base_set(organisations=()):
    """Return a valid set with three regions and one plain service."""
    entries = []
    for region in REGIONS:
        domain = {"name": f"{region}-a", "region": region}
        entries.append({"kind": "Region", "object": {"name": region}})
        entries.append({"kind": "FailureDomain", "object": domain})
    call = {"method": "POST", "path": "/bookings", "idempotent": False}
    others = {
        "Priority": {"name": "normal", "rank": 1, "weight": 1},
        "DeploymentTerms": {
            "name": "terms",
            "tail_latency_weight": 1,
            "cost_weight": 1,
            "share_away_weight": 1,
        },
        "Service": {
            "name": "vergedesk",
            "kind": "plain",
            "terms": "terms",
            "calls": [call],
        },
        "BackendServerPool": {
            "name": "desk",
            "service": "vergedesk",
            "failure_domains": [f"{region}-a" for region in REGIONS],
            "cost_per_hour": 1,
            "checks_fencing": False,
        },
    }
    entries += [{"kind": k, "object": v} for k, v in others.items()]
    entries += [quota(), rule("all", *REGIONS), rule("home", "fukuoka")]
    return entries + list(organisations)


def change(change_id, base_revision, put=(), remove=(), **fields):
    return {
        "change_id": change_id,
        "base_revision": base_revision,
        "put": list(put),
        "remove": list(remove),
        **fields,
    }


class CommittedLog:
    """Committed log that applies each command to a machine."""

    def __init__(self, machine=None):
        self.machine = machine or configuration.ConfigurationMachine()
        self.index = 0
        self.now_ms = 0

    def commit(self, command):
        self.index += 1
        return self.machine.apply(self.index, schema.pack(command))

    def propose(self, document, operator="ops"):
        proposal = configuration.make_proposal(document, operator, self.now_ms)
        return self.commit(proposal)

    def register(self, node_id, region, registration=1, present=True):
        return self.commit(
            messages.ConfigurationRegistration(
                node_id, region, f"{region}-a", registration, present
            )
        )

    def settle(self, confirmed, unconfirmed=()):
        pending = self.machine.pending
        return self.commit(
            messages.ConfigurationSettlement(
                pending.change_id,
                pending.revision,
                confirmed,
                list(unconfirmed),
                self.now_ms,
            )
        )

    def restart(self):
        """Replace the machine by one restored from a snapshot."""
        machine = configuration.ConfigurationMachine()
        machine.restore(self.machine.snapshot())
        self.machine = machine


def make_log(organisations=()):
    log = CommittedLog()
    put = base_set(organisations)
    assert log.propose(change("base", 0, put)).ok["accepted"]
    return log
