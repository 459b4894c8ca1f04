"""Tests of crash detection, verdicts, claims and gossip of the quarantine."""

import datetime
import itertools
import random

import pytest

from buckthorntack import retries
from buckthorntack.schema import messages


def at(seconds):
    return datetime.timedelta(seconds=seconds)


def make_quarantine(node_id="entry-1", **fields):
    return retries.Quarantine(node_id, retries.QuarantineSettings(**fields))


def test_two_crashes_convict():
    quarantine = make_quarantine()
    assert quarantine.verdict("p", at(0)) == retries.Clean(None)
    suspects = quarantine.on_server_crashed("s1", 1, frozenset("pb"), at(1))
    assert suspects == ["b", "p"]
    assert quarantine.verdict("p", at(1)) == retries.Suspect(1)
    quarantine.on_server_crashed("s2", 1, frozenset("p"), at(5))
    verdict = quarantine.verdict("p", at(5))
    assert isinstance(verdict, retries.Convicted)
    assert quarantine.verdict("b", at(5)) == retries.Suspect(1)


def test_one_crash_told_twice_is_one():
    quarantine = make_quarantine()
    for _ in range(2):
        quarantine.on_server_crashed("s1", 1, frozenset("p"), at(1))
    assert quarantine.verdict("p", at(1)) == retries.Suspect(1)


def test_a_whole_run_acquits():
    quarantine = make_quarantine()
    quarantine.on_server_crashed("s1", 1, frozenset("b"), at(1))
    quarantine.on_attempt_started("b", "s2")
    assert quarantine.on_attempt_completed("b", "s2", at(4))
    assert quarantine.verdict("b", at(4)) == retries.Clean(None)
    quarantine.on_server_crashed("s2", 1, frozenset("b"), at(9))
    assert quarantine.verdict("b", at(9)) == retries.Suspect(1)


def test_many_servers_at_once_have_a_common_cause():
    quarantine = make_quarantine()
    for number in range(4):
        running = frozenset({f"r{number}"})
        quarantine.on_server_crashed(f"s{number}", 1, running, at(number))
    assert quarantine.verdict("r0", at(4)) == retries.Clean(None)
    quarantine.on_server_crashed("s9", 1, frozenset({"r0"}), at(60))
    verdict = quarantine.verdict("r0", at(60))
    assert isinstance(verdict, retries.Convicted)


def test_an_equal_request_joins_the_one_that_runs():
    quarantine = make_quarantine()
    quarantine.on_attempt_started("p", "s1")
    assert quarantine.verdict("p", at(0)) == retries.Clean("s1")
    quarantine.on_attempt_failed("p", "s1")
    assert quarantine.verdict("p", at(1)) == retries.Clean(None)


def test_merge_is_commutative_and_idempotent():
    source = make_quarantine()
    source.on_server_crashed("s1", 1, frozenset("pb"), at(1))
    source.on_attempt_started("b", "s3")
    source.on_attempt_completed("b", "s3", at(2))
    source.on_server_crashed("s2", 1, frozenset("p"), at(3))
    items = source.take_items()
    assert len(items) == 5
    for order in itertools.permutations(items):
        other = make_quarantine("entry-2")
        for item in (*order, *order):
            other.merge(item, at(4))
        assert isinstance(other.verdict("p", at(4)), retries.Convicted)
        assert other.verdict("b", at(4)) == retries.Clean(None)
        assert not [
            item
            for item in other.take_items()
            if not isinstance(item, messages.Conviction)
        ]


def test_evidence_that_arrives_after_its_acquittal_does_not_revive():
    source = make_quarantine()
    source.on_server_crashed("s1", 1, frozenset("b"), at(0))
    source.on_attempt_started("b", "s3")
    source.on_attempt_completed("b", "s3", at(1))
    evidence, acquittal = source.take_items()
    other = make_quarantine("entry-2", retention_ms=10_000)
    other.merge(acquittal, at(0))
    other.merge(evidence, at(9))
    assert other.verdict("b", at(15)) == retries.Clean(None)


def test_everything_is_forgotten_after_its_retention():
    quarantine = make_quarantine(retention_ms=1000)
    quarantine.on_server_crashed("s1", 1, frozenset("p"), at(0))
    quarantine.on_server_crashed("s2", 1, frozenset("p"), at(0))
    quarantine.on_attempt_started("b", "s3")
    quarantine.on_server_crashed("s2", 1, frozenset("b"), at(0))
    quarantine.on_attempt_completed("b", "s3", at(0))
    quarantine.tick(at(1.5))
    assert quarantine.verdict("p", at(1.5)) == retries.Clean(None)
    quarantine.tick(at(4))
    assert len(quarantine) == 0
    assert not quarantine._crash_times


def test_memory_is_bounded():
    quarantine = make_quarantine(max_items=100)
    for number in range(1000):
        running = frozenset({f"r{number}"})
        quarantine.on_server_crashed(f"s{number}", 1, running, at(number))
    quarantine.tick(at(1000))
    assert len(quarantine) <= 100


def count_concurrent_runs(seed, **fields):
    """Let four entry VMs run the same suspect; return the most at once."""
    rng = random.Random(seed)
    names = ("e1", "e2", "e3", "e4")
    nodes = {name: make_quarantine(name, **fields) for name in names}
    starts = {name: rng.uniform(0, 4) for name in nodes}
    ends, in_transit, max_running, runs = {}, [], 0, 0
    for step in range(1500):
        now_s = step / 50
        for arrival in [entry for entry in in_transit if entry[0] <= now_s]:
            in_transit.remove(arrival)
            nodes[arrival[1]].merge(arrival[2], at(now_s))
        for name, node in nodes.items():
            if name in ends and now_s >= ends[name]:
                del ends[name]
                starts[name] = 1e9
                node.on_attempt_completed("p", "s2", at(now_s))
            elif now_s >= starts[name] and name not in ends:
                claimed = node.claim("p", "s2", at(now_s))
                if claimed == retries.RunAlone():
                    ends[name] = now_s + 1.5
                    runs += 1
            node.tick(at(now_s))
            for item in node.take_items():
                for other in nodes:
                    due = now_s + rng.uniform(0.0, 1.0)
                    in_transit.append((due, other, item))
        max_running = max(max_running, len(ends))
    assert runs == len(nodes)
    return max_running


@pytest.mark.parametrize("seed", range(20))
def test_a_suspect_runs_at_one_entry_vm_at_a_time(seed):
    assert count_concurrent_runs(seed) == 1


def test_too_short_a_settling_is_caught():
    max_running = [
        count_concurrent_runs(seed, max_propagation_ms=100)
        for seed in range(20)
    ]
    assert max(max_running) > 1


def test_a_claim_of_a_lost_entry_vm_ends():
    lost, other = make_quarantine("e1"), make_quarantine("e2")
    lost.claim("p", "s2", at(0))
    assert lost.claim("p", "s2", at(2)) == retries.RunAlone()
    for item in lost.take_items():
        other.merge(item, at(2.5))
    for now_s in range(3, 13):
        assert isinstance(other.claim("p", "s2", at(now_s)), retries.Wait)
    assert other.claim("p", "s2", at(13)) == retries.RunAlone()


def test_two_suspects_never_share_a_server():
    nodes = make_quarantine("e1"), make_quarantine("e2")
    for name, node in zip("pq", nodes, strict=True):
        assert isinstance(node.claim(name, "s2", at(0)), retries.Wait)
    for node, other in (nodes, nodes[::-1]):
        for item in node.take_items():
            other.merge(item, at(0.5))
    assert nodes[0].claim("p", "s2", at(2)) == retries.RunAlone()
    assert isinstance(nodes[1].claim("q", "s2", at(2)), retries.Wait)
    nodes[0].on_attempt_completed("p", "s2", at(3))
    for item in nodes[0].take_items():
        nodes[1].merge(item, at(3.5))
    assert nodes[1].claim("q", "s2", at(4)) == retries.RunAlone()


def test_own_suspects_follow_each_other_without_a_new_settling():
    node = make_quarantine("e1")
    for name in "pq":
        node.claim(name, "s2", at(0))
    assert node.claim("p", "s2", at(2)) == retries.RunAlone()
    assert isinstance(node.claim("q", "s2", at(2.5)), retries.Wait)
    node.on_attempt_completed("p", "s2", at(3))
    assert node.claim("q", "s2", at(3)) == retries.RunAlone()


def test_items_survive_packing():
    source = make_quarantine()
    source.on_server_crashed("s1", 1, frozenset("p"), at(1))
    source.claim("p", "s2", at(1))
    limiter = retries.AttemptLimiter("entry-1", retries.RetrySettings())
    limiter.record_failure("p", at(1))
    sent = source.take_items() + limiter.take_items()
    packed = [retries.pack(item, 1000) for item in sent]
    assert [retries.unpack(item) for item in packed] == sent
    assert len({item.key for item in packed}) == len(sent) == 4
    assert retries.unpack(packed[0]._replace(kind="other.Thing")) is None


class TestCrashDetector:
    def test_refused_after_a_loss(self):
        detector = retries.CrashDetector()
        detector.on_connection_lost("s1", 4, "f1", True, at(0))
        detector.on_connection_lost("s1", 4, "f2", True, at(0))
        crash = detector.on_connect_refused("s1", at(1))
        assert crash == ("s1", 4, {"f1", "f2"})

    def test_a_mere_loss_is_no_crash(self):
        detector = retries.CrashDetector()
        detector.on_connection_lost("s1", 4, "f1", True, at(0))
        assert detector.on_announced("s1", 4, at(1)) is None

    def test_refused_without_a_loss_is_no_crash(self):
        detector = retries.CrashDetector()
        assert detector.on_connect_refused("s1", at(1)) is None

    def test_new_incarnation_after_silence(self):
        detector = retries.CrashDetector()
        detector.on_connection_lost("s1", 4, "f1", False, at(0))
        assert detector.on_lease_expired("s1", at(1)) is None
        crash = detector.on_announced("s1", 5, at(9))
        assert crash == ("s1", 4, {"f1"})

    def test_lease_ended_after_a_loss(self):
        detector = retries.CrashDetector()
        detector.on_connection_lost("s1", 4, "f1", True, at(0))
        assert detector.on_lease_expired("s1", at(2)) == ("s1", 4, {"f1"})

    def test_planned_stop_is_no_crash(self):
        detector = retries.CrashDetector()
        detector.on_connection_lost("s1", 4, "f1", True, at(0))
        detector.on_withdrawn("s1")
        assert detector.on_connect_refused("s1", at(1)) is None
        detector.on_connection_lost("s2", 4, "f1", True, at(0))
        detector.expire(at(100))
        assert detector.on_connect_refused("s2", at(100)) is None
