"""Total retries of all entry VMs stay within the budget of a window."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from buckthorntack import dispatch

RATIO, SLACK, WINDOW_S = 0.2, 56.0, 10.0


@pytest.mark.parametrize("members", [1, 6, 8, 89])
@pytest.mark.parametrize("per_s", [0, 1, 20])
def test_storm_of_failures_stays_within_the_budget(members, per_s):
    budgets = []
    for _ in range(members):
        budget = dispatch.RetryBudgets(RATIO, SLACK, 0.75)
        budget.set_members(members)
        budgets.append(budget)
    retries = first_attempts = 0
    for second in range(int(WINDOW_S)):
        for budget in budgets:
            for _ in range(per_s):
                budget.record_request("text")
                first_attempts += 1
            for _ in range(50):
                retries += budget.take_retry("text", float(second))
    # The slack of an entry VM is at least one retry.
    assert retries <= RATIO * first_attempts + max(SLACK, members)


@given(st.lists(st.sampled_from(["first", "take", "fewer", "more"])))
def test_change_of_members_gives_no_repeats_away(steps):
    budget = dispatch.RetryBudgets(RATIO, SLACK, 1.0)
    budget.set_members(8)
    first_attempts = retries = 0
    members = 8
    least = 8
    for step in steps:
        if step == "first":
            first_attempts += 1
            budget.record_request("text")
        elif step == "take":
            retries += budget.take_retry("text", 0.0)
        else:
            members = max(1, members + (1 if step == "more" else -1))
            least = min(least, members)
            budget.set_members(members)
    assert retries <= RATIO * first_attempts + SLACK / least + 1
