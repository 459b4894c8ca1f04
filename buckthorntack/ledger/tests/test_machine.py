import hypothesis
from hypothesis import strategies as st
import pytest

from buckthorntack import ledger
from buckthorntack.ledger import _tombstones
from buckthorntack.ledger.tests import _samples

PLAIN = "order-17"
WINDOWED = ledger.key_prefix("h", _samples.START_MS) + "17"


@pytest.fixture
def log():
    return _samples.Log()


def refusal(verdict):
    assert isinstance(verdict, ledger.Refused)
    return type(verdict.error)


@pytest.mark.parametrize("restart", [False, True])
def test_claim_run_and_replay(log, restart):
    assert log.commit(_samples.claim(PLAIN, "a1")) == ledger.Granted("a1")
    assert log.commit(_samples.claim(PLAIN, "a1")) == ledger.Granted("a1")
    in_progress = ledger.InProgress("a1", "e1")
    assert log.commit(_samples.claim(PLAIN, "a2"), sender="e2") == in_progress
    log.commit(_samples.settle(PLAIN, "a1", "ran", b"booked"))
    if restart:
        log.restart()
    replay = ledger.Replay("a1", 201, [], b"booked", True)
    assert log.commit(_samples.claim(PLAIN, "a3")) == replay


def test_operations_of_a_batch_see_each_other(log):
    first, second = log.commit(
        _samples.claim(PLAIN, "a1"), _samples.claim(PLAIN, "a2")
    )
    assert first == ledger.Granted("a1")
    assert second == ledger.InProgress("a1", "e1")


def test_released_attempt_may_not_run_but_another_may(log):
    log.commit(_samples.claim(PLAIN, "a1"))
    log.commit(_samples.settle(PLAIN, "a1", "not_run"))
    released = ledger.Released("a1")
    assert log.commit(_samples.claim(PLAIN, "a1")) == released
    assert log.commit(_samples.claim(PLAIN, "a2")) == ledger.Granted("a2")
    log.commit(_samples.settle(PLAIN, "a1", "not_run"))
    in_progress = ledger.InProgress("a2", "e1")
    assert log.commit(_samples.claim(PLAIN, "a3")) == in_progress


def test_only_the_holder_says_not_run(log):
    log.commit(_samples.claim(PLAIN, "a1"))
    log.commit(_samples.settle(PLAIN, "a1", "not_run"), sender="e2")
    in_progress = ledger.InProgress("a1", "e1")
    assert log.commit(_samples.claim(PLAIN, "a2"), sender="e2") == in_progress


@pytest.mark.parametrize(
    ("later", "verdict"),
    [
        ("unknown", ledger.Unknown("a1")),
        ("ran", ledger.Replay("a1", 201, [], b"booked", True)),
        ("not_run", ledger.Granted("a2")),
    ],
)
def test_unknown_outcome_may_become_known(log, later, verdict):
    log.commit(_samples.claim(PLAIN, "a1"))
    log.commit(_samples.settle(PLAIN, "a1", "unknown"))
    log.commit(_samples.settle(PLAIN, "a1", later, b"booked"))
    assert log.commit(_samples.claim(PLAIN, "a2")) == verdict


@pytest.mark.parametrize("later", ["unknown", "not_run", "ran"])
def test_known_answer_stays(log, later):
    log.commit(_samples.claim(PLAIN, "a1"))
    log.commit(_samples.settle(PLAIN, "a1", "ran", b"booked"))
    log.commit(_samples.settle(PLAIN, "a1", later, b"other"))
    assert log.commit(_samples.claim(PLAIN, "a2")).body == b"booked"


@pytest.mark.parametrize("state", [None, "not_run", "unknown", "ran"])
def test_other_body_is_refused_in_each_state(log, state):
    log.commit(_samples.claim(PLAIN, "a1"))
    if state:
        log.commit(_samples.settle(PLAIN, "a1", state))
    other = _samples.claim(PLAIN, "a2", body_hash=b"other")
    assert refusal(log.commit(other)) == ledger.KeyReusedError


def test_organisations_do_not_share_keys(log):
    log.commit(_samples.claim(PLAIN, "a1"))
    other = _samples.claim(PLAIN, "a2", organisation="council")
    assert log.commit(other) == ledger.Granted("a2")


def test_answer_that_may_not_be_stored_leaves_its_digest(log):
    log.commit(_samples.claim(PLAIN, "a1", store_answer=False))
    log.commit(_samples.settle(PLAIN, "a1", "ran", b"booked"))
    replay = log.commit(_samples.claim(PLAIN, "a2"))
    assert not replay.answer_stored
    assert replay.body == ledger.body_digest(b"booked")


@pytest.mark.parametrize("key", [PLAIN, WINDOWED])
@pytest.mark.parametrize("restart", [False, True])
def test_key_past_retention_is_refused(log, key, restart):
    log.commit(_samples.claim(key, "a1"))
    log.now_ms += _samples.RETENTION_MS + 2 * _samples.HOUR_MS
    log.commit(_samples.claim("other", "a2"))
    assert len(log.machine.records) == 1
    if restart:
        log.restart()
    verdict = log.commit(_samples.claim(key, "a3"))
    assert refusal(verdict) == ledger.KeyExpiredError


def test_key_is_answered_until_its_retention_ends(log):
    log.commit(_samples.claim(PLAIN, "a1"))
    log.now_ms += _samples.RETENTION_MS - 1
    assert log.commit(_samples.claim(PLAIN, "a1")) == ledger.Granted("a1")


def test_longer_retention_does_not_revive_expired_keys(log):
    log.commit(_samples.claim(WINDOWED, "a1"))
    log.now_ms += _samples.RETENTION_MS + 2 * _samples.HOUR_MS
    log.commit(_samples.claim("other", "a2"))
    log.limits["retention_ms"] *= 10
    verdict = log.commit(_samples.claim(WINDOWED, "a3"))
    assert refusal(verdict) == ledger.KeyExpiredError


def test_time_never_goes_back(log):
    log.commit(_samples.claim(WINDOWED, "a1"))
    log.now_ms += _samples.RETENTION_MS + 2 * _samples.HOUR_MS
    log.commit(_samples.claim("other", "a2"))
    log.now_ms = _samples.START_MS
    verdict = log.commit(_samples.claim(WINDOWED, "a3"))
    assert refusal(verdict) == ledger.KeyExpiredError


def test_window_of_the_future_is_refused(log):
    ahead_ms = _samples.START_MS + 4 * _samples.HOUR_MS
    key = ledger.key_prefix("h", ahead_ms) + "17"
    verdict = log.commit(_samples.claim(key, "a1"))
    assert refusal(verdict) == ledger.InvalidKeyError


def test_full_home_refuses_new_keys_only(log):
    log.commit(_samples.claim(PLAIN, "a1"))
    log.limits["capacity_bytes"] = 10
    verdict = log.commit(_samples.claim("other", "a2"))
    assert refusal(verdict) == ledger.LedgerFullError
    assert verdict.error.retry_after_ms > 0
    assert log.commit(_samples.claim(PLAIN, "a1")) == ledger.Granted("a1")


def test_home_that_can_remember_no_more_asks_for_prefixes(log, monkeypatch):
    monkeypatch.setattr(_tombstones, "MAX_TOMBSTONES", 1)
    log.commit(_samples.claim(PLAIN, "a1"))
    log.now_ms += 2 * _samples.RETENTION_MS
    verdict = log.commit(_samples.claim("other", "a2"))
    assert refusal(verdict) == ledger.KeyPrefixNeededError
    key = ledger.key_prefix("h", log.now_ms) + "1"
    assert log.commit(_samples.claim(key, "a3")) == ledger.Granted("a3")


def test_memory_is_given_back(log):
    for place in range(50):
        log.commit(_samples.claim(f"key-{place}", f"a{place}"))
        settled = _samples.settle(f"key-{place}", f"a{place}", "ran", b"x" * 9)
        log.commit(settled)
    log.now_ms += 2 * _samples.RETENTION_MS
    log.commit(_samples.settle("none", "none", "ran"))
    assert log.machine.records.size_bytes == 0
    assert len(log.machine.records.tombstones) == 50


def test_snapshot_is_the_same_after_restore(log):
    log.commit(_samples.claim(PLAIN, "a1"), _samples.claim(WINDOWED, "a2"))
    log.now_ms += _samples.RETENTION_MS + _samples.HOUR_MS
    log.commit(_samples.claim("other", "a3"))
    snapshot = log.machine.snapshot()
    size_bytes = log.machine.records.size_bytes
    log.restart()
    assert log.machine.snapshot() == snapshot
    assert log.machine.records.size_bytes == size_bytes


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(st.lists(st.binary(min_size=8, max_size=8), unique=True))
def test_tombstones_are_a_set(digests):
    tombstones = _tombstones.Tombstones()
    for digest in digests:
        tombstones.add(digest)
        tombstones.add(digest)
    loaded = _tombstones.Tombstones()
    loaded.load(tombstones.dump())
    assert len(loaded) == len(digests)
    assert all(digest in loaded for digest in digests)
    assert loaded.dump() == tombstones.dump()


HOMES = [
    {"home_id": name, "region": name, "replicas": [name]}
    for name in ("fukuoka-a", "kumamoto-a", "kagoshima-a")
]


def test_prefix_names_the_home():
    for home in HOMES:
        key = ledger.key_prefix(home["home_id"], 0) + "x"
        assert ledger.find_home(key, "shops", HOMES).ok == home


def test_organisation_has_one_home_in_any_order():
    homes = {
        ledger.find_home(key, "shops", order).ok["home_id"]
        for key in ("x", "unknown-home:t1:x", ":")
        for order in (HOMES, HOMES[::-1])
    }
    assert len(homes) == 1
    others = {
        ledger.find_home("x", f"o{place}", HOMES).ok["home_id"]
        for place in range(50)
    }
    assert len(others) == 3


@pytest.mark.parametrize("key", ["", "a b", "é", "x" * 256])
def test_key_of_wrong_form_is_refused(key):
    error = ledger.find_home(key, "shops", HOMES).error
    assert isinstance(error, ledger.InvalidKeyError)
