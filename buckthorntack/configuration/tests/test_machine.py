import pytest

from buckthorntack import configuration
from buckthorntack.configuration import _changes
from buckthorntack.configuration.tests import _samples
from buckthorntack.schema import messages


@pytest.fixture
def log():
    return _samples.make_log(
        [
            _samples.organisation("shops", "all"),
            _samples.organisation("council", "home"),
        ]
    )


def test_one_of_two_changes_on_a_revision_wins(log):
    first = _samples.change("a", 1, [_samples.quota(burst=20)])
    second = _samples.change("b", 1, [_samples.quota(burst=30)])
    assert log.propose(first).ok["revision"] == 2
    lost = log.propose(second).ok
    assert lost == {
        "change_id": "b",
        "accepted": False,
        "revision": 2,
        "conflict": True,
    }
    quota = log.machine.published.get("Quota", "small")
    assert quota["burst_requests"] == 20


@pytest.mark.parametrize("restart", [False, True])
def test_resend_gets_the_first_answer(log, restart):
    accepted = _samples.change("a", 1, [_samples.quota(burst=20)])
    conflict = _samples.change("b", 1, [_samples.quota(burst=30)])
    faulty = _samples.change("c", 2, [_samples.organisation("x", "none")])
    changes = [accepted, conflict, faulty]
    first = [log.propose(change).ok for change in changes]
    assert first[2]["findings"][0]["rule"] == "dangling_reference"
    log.propose(_samples.change("d", 2, [_samples.quota("other")]))
    if restart:
        log.restart()
    log.now_ms = 1000
    assert [log.propose(change).ok for change in changes] == first
    assert log.machine.revision == 3


def test_other_content_under_a_known_id_is_refused(log):
    log.propose(_samples.change("a", 1, [_samples.quota(burst=20)]))
    other = _samples.change("a", 1, [_samples.quota(burst=21)])
    error = log.propose(other).error
    assert isinstance(error, configuration.ChangeIdReusedError)
    assert log.machine.revision == 2


def test_change_past_its_retention_is_not_applied_again(log, monkeypatch):
    monkeypatch.setattr(_changes, "MIN_RECORDS", 2)
    change = _samples.change("a", 1, [_samples.quota("extra")])
    log.propose(change)
    log.now_ms = 72 * 3600 * 1000
    for number in range(3):
        base = log.machine.revision
        log.propose(_samples.change(f"n{number}", base, [_samples.quota()]))
    assert log.machine.change_history.get("a") is None
    assert log.propose(change).ok["conflict"]
    assert log.machine.revision == 5


def test_answers_are_bounded(log, monkeypatch):
    monkeypatch.setattr(_changes, "MIN_RECORDS", 2)
    monkeypatch.setattr(_changes, "MAX_RECORDS", 4)
    for number in range(9):
        log.propose(_samples.change(f"n{number}", 0))
    assert len(log.machine.change_history) == 4


def test_replace_all_removes_what_is_not_put(log):
    put = _samples.base_set([_samples.organisation("shops", "all")])
    change = _samples.change("r", 1, put, replace_all=True)
    assert log.propose(change).ok["accepted"]
    assert log.machine.published.organisation("council") is None


def narrowing(base_revision, **fields):
    put = [_samples.rule("all", "fukuoka", "kumamoto")]
    return _samples.change("narrow", base_revision, put, **fields)


def allowed(log, name="shops"):
    return log.machine.published.allowed_regions(name)


def test_narrowing_waits_for_the_region_that_loses(log):
    log.register("entry-1", "kagoshima")
    log.register("entry-2", "fukuoka")
    pending = log.propose(narrowing(1)).ok
    assert pending == configuration.ChangePending("narrow", 2, ["kagoshima"])
    assert log.machine.list_awaited_entry_vms() == ["entry-1"]
    assert allowed(log) == {"fukuoka", "kumamoto"}
    blocked = log.propose(_samples.change("b", 2, [_samples.quota("q")])).ok
    assert blocked["conflict"]
    assert blocked["findings"][0]["rule"] == "change_pending"
    log.restart()
    assert log.propose(narrowing(1)).ok == pending
    settled = log.settle(confirmed=True).ok
    assert settled["accepted"]
    assert settled["revision"] == 3
    assert log.propose(narrowing(1)).ok == settled


def test_unconfirmed_narrowing_is_withdrawn(log):
    log.register("entry-1", "kagoshima")
    log.propose(narrowing(1))
    answer = log.settle(confirmed=False, unconfirmed=["entry-1"]).ok
    assert not answer["accepted"]
    assert answer["findings"][0]["rule"] == "not_confirmed"
    assert "entry-1" in answer["findings"][0]["message"]
    assert allowed(log) == set(_samples.REGIONS)
    assert log.machine.revision == 3
    assert log.propose(narrowing(1)).ok == answer


def test_second_settlement_changes_nothing(log):
    log.register("entry-1", "kagoshima")
    log.propose(narrowing(1))
    revision = log.machine.pending.revision
    log.settle(confirmed=True)
    command = messages.ConfigurationSettlement(
        "narrow", revision, False, [], 0
    )
    assert log.commit(command).ok is None
    assert allowed(log) == {"fukuoka", "kumamoto"}


def test_vouched_entry_vm_is_not_awaited(log):
    log.register("entry-1", "kagoshima")
    change = narrowing(1, stopped_entry_vms=["entry-1"])
    assert log.propose(change).ok["accepted"]
    assert log.machine.entry_vms == {}


@pytest.mark.parametrize(
    ("put", "remove", "kept"),
    [
        ([_samples.organisation("shops", "home")], [], {"fukuoka"}),
        ([], [{"kind": "Organisation", "name": "shops"}], set()),
        ([_samples.rule("all", "kumamoto")], [], {"kumamoto"}),
    ],
)
def test_interim_set_only_withholds(log, put, remove, kept):
    log.register("entry-1", "kagoshima")
    before = log.machine.published
    log.propose(_samples.change("n", 1, put, remove))
    assert allowed(log) == kept
    assert allowed(log, "council") == {"fukuoka"}
    log.settle(confirmed=False, unconfirmed=["entry-1"])
    restored = list(log.machine.published.named_objects())
    assert sorted(map(repr, restored)) == sorted(
        map(repr, before.named_objects())
    )


def test_complete_set_has_no_interim_rules(log):
    log.register("entry-1", "kagoshima")
    put = [_samples.organisation("shops", "home")]
    log.propose(_samples.change("n", 1, put))
    log.settle(confirmed=True)
    after = _samples.make_log([])
    after.propose(
        _samples.change(
            "x", 1, [*put, _samples.organisation("council", "home")]
        )
    )
    assert sorted(map(repr, log.machine.published.named_objects())) == sorted(
        map(repr, after.machine.published.named_objects())
    )


def test_snapshot_is_the_same_after_restore(log):
    log.register("entry-1", "kagoshima")
    log.propose(narrowing(1))
    snapshot = log.machine.snapshot()
    log.restart()
    assert log.machine.snapshot() == snapshot


def test_restart_after_hundreds_of_changes(log):
    changes, answers = [], []
    for number in range(400):
        name = f"q{number % 7}"
        change = _samples.change(
            f"n{number}", 1 + number, [_samples.quota(name, 10 + number)]
        )
        changes.append(change)
        answers.append(log.propose(change).ok)
        if number % 150 == 149:
            log.restart()
    assert all(answer["accepted"] for answer in answers)
    before = log.machine.snapshot()
    log.restart()
    assert log.machine.snapshot() == before
    assert log.machine.revision == 401
    assert [log.propose(change).ok for change in changes] == answers
    assert log.machine.revision == 401
    quota = log.machine.published.get("Quota", "q0")
    assert quota["burst_requests"] == 10 + 399
