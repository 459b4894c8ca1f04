"""Random histories of changes, resends and restarts."""

import os

import hypothesis
from hypothesis import strategies as st
import pytest

from buckthorntack import configuration
from buckthorntack.configuration.tests import _samples

EXAMPLES = int(os.environ.get("BUCKTHORNTACK_EXAMPLES", "100"))
STEPS = st.lists(
    st.tuples(
        st.sampled_from("abcdef"),
        st.integers(-1, 1),
        st.integers(10, 12),
        st.booleans(),
    ),
    max_size=25,
)


class Violation(AssertionError):
    """A property of the history does not hold."""


class UncheckedBaseMachine(configuration.ConfigurationMachine):
    """Faulty variant: ignores the base revision of a change."""

    def _apply_proposal(self, command):
        command = command._replace(base_revision=self.revision)
        return configuration.ConfigurationMachine._apply_proposal(
            self, command
        )

    def _apply(self, command):
        return self._apply_proposal(command)


class UnrestoredHistoryMachine(configuration.ConfigurationMachine):
    """Faulty variant: loses the results of changes at a restart."""

    def restore(self, snapshot):
        super().restore(snapshot)
        self.change_history.load([])


def replay(machine_type, steps):
    """Apply the steps and check each result against a model."""
    log = _samples.CommittedLog(machine_type())
    answers = {}
    log.propose(_samples.change("base", 0, _samples.base_set()))
    for change_id, offset, burst, restart in steps:
        if restart:
            machine = machine_type()
            machine.restore(log.machine.snapshot())
            log.machine = machine
        revision = log.machine.revision
        base = max(revision + offset, 0)
        known = answers.get(change_id)
        put = [_samples.quota(burst=burst)]
        change = _samples.change(change_id, base, put)
        if known is not None:
            change = known[0]
        answer = log.propose(change)
        check_result(answer, change, known, revision, log.machine)
        answers[change_id] = (change, answer)


def check_result(answer, change, known, revision, machine):
    if known is not None:
        if answer != known[1] or machine.revision != revision:
            raise Violation(f"resend: {answer}, first: {known[1]}")
        return
    is_accepted = change["base_revision"] == revision
    if answer.ok["accepted"] != is_accepted:
        raise Violation(f"{change} at {revision}: {answer}")
    if machine.revision != revision + is_accepted:
        raise Violation(f"{revision} became {machine.revision}")


SETTINGS = hypothesis.settings(
    max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
)


@SETTINGS
@hypothesis.given(STEPS)
def test_one_winner_and_first_answers(steps):
    replay(configuration.ConfigurationMachine, steps)


@pytest.mark.parametrize(
    "machine_type", [UncheckedBaseMachine, UnrestoredHistoryMachine]
)
def test_broken_variant_is_caught(machine_type):
    def is_violated(steps):
        try:
            replay(machine_type, steps)
        except Violation:
            return True
        return False

    assert hypothesis.find(STEPS, is_violated, settings=SETTINGS)
