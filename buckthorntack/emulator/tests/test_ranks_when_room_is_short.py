"""Load: one region gets 1.6 to 2.2 times what its engines can serve."""

import random

import pytest

from buckthorntack import emulator
from buckthorntack.emulator.tests import _kinds
from buckthorntack.emulator.tests import _organisations

PARTS = {
    "first": (0, 0.35, 1.0),
    "second": (1, 0.35, 1.0),
    "third": (2, 0.3, 1.0),
}
PLAY_MS = 6000.0
#: Requests before are left out: engines have read no shared parts yet.
COLD_MS = 1500.0
#: Difference that chance makes.
CHANCE = 0.04
#: Start of the time without reports of usage.
SILENT_MS = 2500.0


def play(times, configure=_organisations.configure, make=emulator.Deployment):
    kinds = _organisations.split(
        _kinds.reviews_and_questions(
            {"north": 7.0 * times}, 20, {"north": 150.0 * times}
        ),
        PARTS,
    )
    traffic = emulator.Traffic(kinds, random.Random(7))
    results = _organisations.deploy(make).play(
        traffic.arrivals(PLAY_MS), PLAY_MS + 6000.0, configure(kinds)
    )
    return [result for result in results if result.arrived_ms >= COLD_MS]


@pytest.mark.parametrize("times", [1.6, 2.2])
def test_more_urgent_organisations_are_served_first(times):
    results = play(times)
    shares = [
        _organisations.served(results, organisation=name) for name in PARTS
    ]
    assert shares[0] >= shares[1] - CHANCE, shares
    assert shares[1] >= shares[2] - CHANCE, shares
    former = play(times, lambda kinds: None)
    before = _organisations.served(former, organisation="first")
    assert shares[0] >= before, (shares, before)


# Guards against organisations, kinds or large prompts that get nothing while
# more urgent requests wait.
def test_nobody_starves():
    results = play(2.2)
    mean = _organisations.served(results)
    for name in PARTS:
        share = _organisations.served(results, organisation=name)
        assert share >= mean / 2, (name, share, mean)
    question = _organisations.served(results, kind="question")
    review = _organisations.served(results, kind="review")
    assert question >= review - CHANCE, (question, review)
    assert review >= mean / 4, (review, mean)
    reviews = [result for result in results if result.kind == "review"]
    reviews.sort(key=lambda result: result.prompt_tokens)
    tenth = reviews[-max(1, len(reviews) // 10) :]
    largest = sum(result.outcome == "answered" for result in tenth)
    assert largest / len(tenth) >= review / 2, (largest, len(tenth), review)


class _SilentDeployment(emulator.Deployment):
    """A deployment in which no report of usage arrives for a second."""

    def _take_use(self, now_ms, entry, sender, report):
        if not SILENT_MS <= now_ms < SILENT_MS + 1000.0:
            super()._take_use(now_ms, entry, sender, report)


# Guards against refusals that go on, or ranks that turn round, after the
# reports of usage have failed.
def test_entry_vms_recover_after_reports_stop():
    shares = []
    for deployment in (emulator.Deployment, _SilentDeployment):
        results = play(1.6, make=deployment)
        late = [
            result
            for result in results
            if result.arrived_ms >= SILENT_MS + 2000.0
        ]
        shares.append(_organisations.served(late))
        first = _organisations.served(results, organisation="first")
        third = _organisations.served(results, organisation="third")
        assert first >= third - CHANCE, (deployment, first, third)
    assert shares[1] >= shares[0] - CHANCE, shares
