import asyncio
import pathlib

import pytest

from buckthorntack import bench

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("policy", ["gateway", "least_loaded"])
def test_a_short_run_answers_all_and_breaks_no_promise(policy):
    plan = bench.RunPlan(
        bench.WORKLOADS["hoardline"],
        policy,
        seconds=1.0,
        rate=0.5,
        examples=EXAMPLES,
    )
    result = asyncio.run(bench.Driver(plan).run())
    figures = bench.figures(result)
    assert figures.violations == []
    assert figures.answered == figures.requests > 0


def test_ratios_are_to_the_baseline_with_the_lowest_tail():
    own = make_figures("gateway", 50.0, 1.0, 0.1)
    best = make_figures("random", 100.0, 2.0, 0.0)
    other = make_figures("least_loaded", 200.0, 1.0, 0.0)
    [ratio] = bench.ratios([own, best, other])
    assert ratio["best_baseline"] == "random"
    assert ratio["first_token_p99"] == 0.5
    assert ratio["cost"] == 0.5
    assert ratio["share_away"] is None


def make_figures(policy, p99_ms, cost, share_away):
    fields = dict.fromkeys(bench.Figures._fields, 0)
    fields |= {
        "deployment": "hoardline",
        "policy": policy,
        "first_token_ms": {"p99": p99_ms},
        "cost": cost,
        "share_away": share_away,
    }
    return bench.Figures(**fields)
