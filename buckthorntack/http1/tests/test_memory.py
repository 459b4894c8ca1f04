"""Budget of what is held, as a pure decision."""

import pytest

from buckthorntack.http1 import _memory

KB = 1000
BOUNDS = _memory.Bounds(4_000 * KB, 400 * KB)
CHUNK = 16 * KB
ANSWER = _memory.Purpose.ANSWER


@pytest.fixture
def budget():
    return _memory.MemoryBudget(BOUNDS)


def fill_until_over(accounts):
    """Read a chunk for each account that may hold more, again and again.

    Each read counts before the next, as reading pauses at all connections
    that hold too much once memory is short.
    """
    has_read = True
    while has_read:
        has_read = False
        for account in accounts:
            if not account.is_over:
                account.change(ANSWER, CHUNK)
                has_read = True


# Load pattern: n callers read nothing of large answers.
@pytest.mark.parametrize("readers", [1, 10, 100])
def test_slow_readers_stay_within_the_budget(budget, readers):
    accounts = [_memory.Account(budget) for _ in range(readers)]
    fill_until_over(accounts)
    assert budget.peak_bytes <= BOUNDS.total_bytes
    for account in accounts:
        assert account.held_bytes <= BOUNDS.connection_bytes + CHUNK
    # Whoever reads nothing leaves room for one that comes late.
    late = _memory.Account(budget)
    late.change(ANSWER, 2 * KB)
    assert not late.is_over
    assert budget.has_room(20 * KB)


# Guards against small holders that wait while big ones go on.
def test_the_biggest_holders_stop_first(budget):
    small, big = _memory.Account(budget), _memory.Account(budget)
    small.change(ANSWER, 20 * KB)
    big.change(ANSWER, 200 * KB)
    assert not big.is_over
    budget.change(_memory.Purpose.REQUEST, "", 3_400 * KB)
    assert big.is_over
    assert not small.is_over


# Load pattern: a flood of bodies of one organisation.
def test_flood_of_one_organisation_leaves_room_for_others(budget):
    flood = _memory.Account(budget)
    flood.assign("a")
    size = 50 * KB
    while budget.has_room(size, "a"):
        flood.change(_memory.Purpose.REQUEST, size)
    assert budget.by_owner["a"] <= BOUNDS.total_bytes / 2
    assert budget.has_room(size, "b")
    assert budget.has_room(size)


# Guards against bytes that stay with the organisation of an earlier request.
def test_held_bytes_move_with_the_connection(budget):
    account = _memory.Account(budget)
    holding = _memory.Holding(account, ANSWER)
    holding.set(5 * KB)
    account.assign("a")
    account.assign("b")
    assert dict(budget.by_owner) == {"b": 5 * KB}
    holding.set(0)
    assert not budget.by_owner
    assert budget.held_bytes == 0


def test_body_of_a_request_does_not_stop_its_answer(budget):
    account = _memory.Account(budget)
    account.change(_memory.Purpose.REQUEST, 1_500 * KB)
    assert not account.is_over


def test_shortage_is_reported_once_in_a_period(budget):
    budget.change(ANSWER, "", 3_500 * KB)
    assert budget.take_report(0.0)
    assert not budget.take_report(_memory.REPORT_PERIOD_S / 2)
    assert budget.take_report(_memory.REPORT_PERIOD_S)
    budget.change(ANSWER, "", -3_000 * KB)
    assert not budget.take_report(99.0)
