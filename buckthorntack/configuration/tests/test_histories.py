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


class NoBaseCheck(configuration.ConfigurationMachine):
    """Broken: applies a change whatever it is based on."""

    def _propose(self, command):
        command = command._replace(base_revision=self.revision)
        return configuration.ConfigurationMachine._propose(self, command)

    def _apply(self, command):
        return self._propose(command)


class ForgetfulMachine(configuration.ConfigurationMachine):
    """Broken: a restart loses the answers."""

    def restore(self, snapshot):
        super().restore(snapshot)
        self.answers.load([])


def play(machine_type, steps):
    """Apply the steps and check each answer against a model."""
    log = _samples.Log(machine_type())
    answers = {}
    log.propose(_samples.change("base", 0, _samples.base_set()))
    for change_id, offset, burst, restart in steps:
        if restart:
            machine = machine_type()
            machine.restore(log.machine.snapshot())
            log.machine = machine
        present = log.machine.revision
        base = max(present + offset, 0)
        known = answers.get(change_id)
        put = [_samples.quota(burst=burst)]
        change = _samples.change(change_id, base, put)
        if known is not None:
            change = known[0]
        answer = log.propose(change)
        check(answer, change, known, present, log.machine)
        answers[change_id] = (change, answer)


def check(answer, change, known, present, machine):
    if known is not None:
        if answer != known[1] or machine.revision != present:
            raise Violation(f"resend: {answer}, first: {known[1]}")
        return
    wins = change["base_revision"] == present
    if answer.ok["accepted"] != wins:
        raise Violation(f"{change} at {present}: {answer}")
    if machine.revision != present + wins:
        raise Violation(f"{present} became {machine.revision}")


SETTINGS = hypothesis.settings(
    max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
)


@SETTINGS
@hypothesis.given(STEPS)
def test_one_winner_and_first_answers(steps):
    play(configuration.ConfigurationMachine, steps)


@pytest.mark.parametrize("machine_type", [NoBaseCheck, ForgetfulMachine])
def test_broken_variant_is_caught(machine_type):
    def found(steps):
        try:
            play(machine_type, steps)
        except Violation:
            return True
        return False

    assert hypothesis.find(STEPS, found, settings=SETTINGS)
