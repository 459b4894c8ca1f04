import asyncio

import expression

from buckthorntack import clock
from buckthorntack import configuration
from buckthorntack import consensus
from buckthorntack import control
from buckthorntack import schema
from buckthorntack.schema import messages


class ImpatientClock(clock.ManualClock):
    """Moves on by itself when asked to wait."""

    async def sleep(self, duration):
        self.advance(duration)


class FakeReplica:
    """A leader of a group in memory."""

    def __init__(self):
        self.voters = ["a", "b", "c"]
        self.learners = []
        self.tries_until_caught_up = 3
        self.heard_ms_ago = {"b": 10, "c": 60_000}
        self.barrier = expression.Ok(7)

    def status(self):
        peers = [
            consensus.PeerStatus(name, 5, heard, True, False)
            for name, heard in self.heard_ms_ago.items()
        ]
        fields = dict.fromkeys(consensus.ReplicaStatus._fields)
        fields.update(node_id="a", role="leader", leader="a", peers=peers)
        fields.update(voters=self.voters, learners=self.learners)
        return consensus.ReplicaStatus(**fields)

    async def read_barrier(self):
        return self.barrier

    async def add_learner(self, node):
        self.learners.append(node)
        return expression.Ok(None)

    async def promote(self, node):
        self.tries_until_caught_up -= 1
        if self.tries_until_caught_up > 0:
            return expression.Error(consensus.LearnerBehindError(node))
        self.learners.remove(node)
        self.voters.append(node)
        return expression.Ok(None)

    async def remove(self, node):
        if len(self.voters) == 3:
            return expression.Error(consensus.QuorumAtRiskError(node))
        self.voters.remove(node)
        return expression.Ok(None)


class FakeAdministration:
    """Knows two changes, one of them refused, and four entry VMs."""

    async def objects(self, kind, name, linearizable):
        return expression.Ok((4, []))

    def history(self, after):
        return [
            messages.ChangeRecord(
                change_id=f"c{revision}",
                fingerprint=b"",
                accepted=revision == 4,
                conflict=False,
                revision=revision,
                findings=b"",
                operator="ana",
                note="",
                proposed_at_ms=1_500,
            )
            for revision in (3, 4)
        ]

    def status(self):
        def entry(name, region, revision, heard_ms, in_contact):
            return configuration.EntryStatus(
                name, region, f"{region}-a", revision, heard_ms, in_contact
            )

        region = configuration.RegionStatus("r", ["e1"], ["e2"], ["e3"])
        return configuration.ConfigurationStatus(
            4,
            [configuration.ChangeStatus("c9", 4, True, [region])],
            [
                entry("e1", "r", 4, 5, True),
                entry("e2", "r", 3, 5, True),
                entry("e3", "r", 2, 90_000, False),
                entry("e4", "s", 0, -1, False),
            ],
        )


def make_operations():
    replica = FakeReplica()
    fake = FakeAdministration()
    return control.Operations(fake, replica, ImpatientClock()), replica


def run(call):
    result = asyncio.run(call)
    assert result.is_ok(), result.error
    return result.ok


def test_answers_fit_the_schema():
    operations, _ = make_operations()
    status = run(operations.status())
    assert schema.validate_document("admin", "Status", status) == []
    assert status["pending"]["waiting_for"] == ["e2", "e3"]
    first, second = status["regions"]
    assert (first["revision"], first["behind"]) == (2, ["e2"])
    assert (second["revision"], second["out_of_contact"]) == (-1, ["e4"])
    found = run(operations.objects(None, None, True))
    assert schema.validate_document("admin", "ObjectList", found) == []
    history = run(operations.history(0))
    assert schema.validate_document("admin", "History", history) == []
    assert [one["change_id"] for one in history["changes"]] == ["c4"]
    accepted_at = history["changes"][0]["accepted_at"]
    assert accepted_at == "1970-01-01T00:00:01.500+00:00"


def test_history_is_not_told_without_a_quorum():
    operations, replica = make_operations()
    replica.barrier = expression.Error(consensus.ReadTimeoutError("x"))
    assert asyncio.run(operations.history(0)).is_error()


def test_quorum_counts_voters_heard_lately():
    operations, replica = make_operations()
    assert run(operations.status())["has_quorum"]
    replica.heard_ms_ago["b"] = 60_000
    assert not run(operations.status())["has_quorum"]


def test_added_replica_votes_once_it_has_caught_up():
    operations, replica = make_operations()
    added = run(operations.add_replica("d"))
    assert added["replicas"][-1]["voter"]
    assert run(operations.add_replica("d")) == added
    assert replica.voters == ["a", "b", "c", "d"]


def test_slow_replica_stays_a_learner_until_asked_again():
    operations, replica = make_operations()
    replica.tries_until_caught_up = 1000
    added = run(operations.add_replica("d"))
    assert added["replicas"][-1]["role"] == "learner"
    replica.tries_until_caught_up = 1
    again = run(operations.add_replica("d"))
    assert again["replicas"][-1]["voter"]


def test_removal_at_risk_is_refused():
    operations, _ = make_operations()
    refused = asyncio.run(operations.remove_replica("c"))
    assert isinstance(refused.error, consensus.QuorumAtRiskError)
    before = run(operations.replicas())
    assert run(operations.remove_replica("x")) == before
