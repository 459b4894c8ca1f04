import asyncio
import datetime
from typing import NamedTuple

import expression

from buckthorntack import clock
from buckthorntack import configuration
from buckthorntack import consensus
from buckthorntack import schema
from buckthorntack.schema import messages


class AutoAdvancingClock(clock.ManualClock):
    """Clock that advances by the duration of each sleep."""

    async def sleep(self, duration):
        self.advance(duration)


class FakeReplica:
    """Leader of an in-memory group."""

    def __init__(self):
        self.members = ["a", "b", "c"]
        self.learners = []
        self.promotions_until_caught_up = 3
        self.heard_ms_ago = {"b": 10, "c": 60_000}
        self.barrier = expression.Ok(7)

    def status(self):
        peers = [
            consensus.PeerStatus(name, 5, heard, True, False)
            for name, heard in self.heard_ms_ago.items()
        ]
        fields = dict.fromkeys(consensus.ReplicaStatus._fields)
        fields.update(node_id="a", role="leader", leader="a", peers=peers)
        fields.update(last_index=9)
        fields.update(voters=self.members, learners=self.learners)
        return consensus.ReplicaStatus(**fields)

    def voters(self):
        return list(self.members)

    async def read_barrier(self):
        return self.barrier

    async def add_learner(self, node):
        self.learners.append(node)
        return expression.Ok(None)

    async def promote(self, node):
        self.promotions_until_caught_up -= 1
        if self.promotions_until_caught_up > 0:
            return expression.Error(consensus.LearnerBehindError(node))
        self.learners.remove(node)
        self.members.append(node)
        return expression.Ok(None)

    async def remove(self, node):
        if len(self.members) == 3:
            return expression.Error(consensus.QuorumAtRiskError(node))
        self.members.remove(node)
        return expression.Ok(None)


class FakeReport(NamedTuple):
    """Revision reported by an entry VM, and the time."""

    revision: int
    heard_at: datetime.timedelta


class FakeSource:
    """Source with given reports."""

    def __init__(self):
        self.entry_reports = {}

    def reports(self):
        return self.entry_reports


def make_administration():
    replica = FakeReplica()
    machine = configuration.ConfigurationMachine()
    administration = configuration.Administration(
        machine, replica, FakeSource(), AutoAdvancingClock()
    )
    return administration, replica


def run(call):
    result = asyncio.run(call)
    assert result.is_ok(), result.error
    return result.ok


def test_answers_fit_the_schema():
    administration, _ = make_administration()
    status = run(administration.status())
    assert schema.validate_document("admin", "Status", status) == []
    assert len(status["replicas"]) == 3
    found = run(administration.objects(None, None, True))
    assert schema.validate_document("admin", "ObjectList", found) == []
    history = run(administration.history(0))
    assert schema.validate_document("admin", "History", history) == []


def register(machine, node_id, region):
    message = messages.ConfigurationRegistration(
        node_id=node_id,
        region=region,
        failure_domain=f"{region}-a",
        registration=1,
        present=True,
    )
    assert machine.apply(1, schema.pack(message)).is_ok()


def test_status_names_entry_vms_by_what_they_have():
    administration, _ = make_administration()
    quota = {
        "name": "small",
        "requests_per_second": 1,
        "burst_requests": 1,
        "tokens_per_minute": 1,
    }
    put = [{"kind": "Quota", "object": quota}]
    change = {"change_id": "c1", "base_revision": 0, "put": put}
    proposal = configuration.make_proposal(change, "ana", 1)
    assert administration.machine.apply(1, schema.pack(proposal)).is_ok()
    for node_id in ("e1", "e2", "e3"):
        register(administration.machine, node_id, "r")
    register(administration.machine, "e4", "s")
    now = datetime.timedelta()
    old = now - datetime.timedelta(hours=1)
    administration.source_task.entry_reports = {
        "e1": FakeReport(1, now),
        "e2": FakeReport(0, now),
        "e3": FakeReport(0, old),
    }
    status = run(administration.status())
    assert schema.validate_document("admin", "Status", status) == []
    first, second = status["regions"]
    assert (first["in_force"], first["behind"]) == (["e1"], ["e2"])
    assert first["out_of_contact"] == ["e3"]
    assert second["out_of_contact"] == ["e4"]


def test_history_is_not_told_without_a_quorum():
    administration, replica = make_administration()
    replica.barrier = expression.Error(consensus.ReadTimeoutError("x"))
    assert asyncio.run(administration.history(0)).is_error()


def test_quorum_is_proved_by_a_barrier():
    administration, replica = make_administration()
    assert run(administration.status())["has_quorum"]
    replica.barrier = expression.Error(consensus.ReadTimeoutError("x"))
    assert not run(administration.status())["has_quorum"]


def test_added_replica_votes_once_it_has_caught_up():
    administration, replica = make_administration()
    added = run(administration.add_replica("d"))
    assert added["replicas"][-1]["voter"]
    assert run(administration.add_replica("d")) == added
    assert replica.members == ["a", "b", "c", "d"]


def test_slow_replica_stays_a_learner_until_asked_again():
    administration, replica = make_administration()
    replica.promotions_until_caught_up = 1000
    added = run(administration.add_replica("d"))
    assert added["replicas"][-1]["role"] == "learner"
    replica.promotions_until_caught_up = 1
    again = run(administration.add_replica("d"))
    assert again["replicas"][-1]["voter"]


def test_removal_at_risk_is_refused():
    administration, _ = make_administration()
    refused = asyncio.run(administration.remove_replica("c"))
    assert isinstance(refused.error, consensus.QuorumAtRiskError)
    before = run(administration.replicas())
    assert run(administration.remove_replica("x")) == before
