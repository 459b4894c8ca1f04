"""Proposals that fail, time out or have no response."""

import asyncio

import expression
import pytest

from buckthorntack import clock
from buckthorntack import configuration
from buckthorntack import consensus
from buckthorntack import errors
from buckthorntack import schema
from buckthorntack.configuration.tests import _samples
from buckthorntack.schema import messages

NOT_RUN = expression.Error(consensus.NotLeaderError("no leader"))
UNKNOWN = expression.Error(consensus.CommitUnknownError("no answer"))
TIMES_OUT = "times out"
COMMITS = "commits"
COMMITS_WITHOUT_RESPONSE = "commits without response"


class ZeroWaitClock(clock.ManualClock):
    """Clock whose sleeps end at once."""

    async def sleep(self, duration):
        self._elapsed += duration
        for _ in range(5):
            await asyncio.sleep(0)


class ScriptedReplica:
    """Replica whose responses to proposals follow a script."""

    def __init__(self, script):
        self.script = list(script)
        self.machine = configuration.ConfigurationMachine()
        self.calls = 0

    async def propose(self, command):
        step = self.script[min(self.calls, len(self.script) - 1)]
        self.calls += 1
        if step in (COMMITS, COMMITS_WITHOUT_RESPONSE):
            result = expression.Ok(self.machine.apply(self.calls, command))
        if step in (TIMES_OUT, COMMITS_WITHOUT_RESPONSE):
            await asyncio.sleep(0.01)
            return UNKNOWN
        return result if step == COMMITS else step


def apply_base_change(script):
    replica = ScriptedReplica(script)
    administration = configuration.Administration(
        replica.machine, replica, None, ZeroWaitClock()
    )
    change = _samples.change("a", 0, _samples.base_set())
    return replica, asyncio.run(administration.apply(change, "ops"))


@pytest.mark.parametrize(
    "script",
    [
        [COMMITS],
        [NOT_RUN, NOT_RUN, COMMITS],
        [TIMES_OUT, NOT_RUN, COMMITS],
        [COMMITS_WITHOUT_RESPONSE, COMMITS],
        [COMMITS, COMMITS],
    ],
)
def test_change_is_proposed_until_answered_and_applied_once(script):
    replica, answer = apply_base_change(script)
    assert answer.ok == {"change_id": "a", "accepted": True, "revision": 1}
    assert replica.machine.revision == 1


@pytest.mark.parametrize(
    ("script", "run_state"),
    [
        ([NOT_RUN], errors.RunState.NOT_RUN),
        ([NOT_RUN, UNKNOWN, NOT_RUN], errors.RunState.UNKNOWN),
        ([TIMES_OUT], errors.RunState.UNKNOWN),
    ],
)
def test_change_without_answer_tells_whether_it_may_be_applied(
    script, run_state
):
    _, answer = apply_base_change(script)
    assert answer.error.run_state == run_state


def test_pending_change_that_nobody_settles_is_open():
    replica, _ = apply_base_change([COMMITS])
    registration = messages.ConfigurationRegistration(
        "e1", "kagoshima", "kagoshima-a", 1, True
    )
    replica.machine.apply(2, schema.pack(registration))
    administration = configuration.Administration(
        replica.machine, replica, None, ZeroWaitClock()
    )
    put = [_samples.organisation("shops", "all")]
    wide = _samples.change("wide", 1, put)
    narrow = _samples.change("narrow", 2, [_samples.rule("all", "fukuoka")])
    assert asyncio.run(administration.apply(wide, "ops")).ok["accepted"]
    answer = asyncio.run(administration.apply(narrow, "ops"))
    assert isinstance(answer.error, configuration.ChangeOutcomeUnknownError)
