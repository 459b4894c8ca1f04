import pathlib

import pytest

from buckthorntack import bench

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples" / "faults"


@pytest.mark.parametrize(
    "path", sorted(EXAMPLES.glob("*.json")), ids=lambda path: path.stem
)
def test_examples_are_sound_and_in_order(path):
    steps = bench.load_schedule(path)
    times_s = [step["at_s"] for step in steps]
    assert times_s == sorted(times_s)


@pytest.mark.parametrize(
    ("step", "told"),
    [
        ({"at_s": 1, "fault": "meteor"}, "meteor"),
        ({"at_s": -1, "fault": "cut_region", "region": "a"}, "-1"),
        ({"at_s": 1, "fault": "cut_region"}, "needs region"),
        ({"at_s": 1, "fault": "kill_server"}, "needs server_id"),
    ],
)
def test_faulty_steps_are_refused_with_the_reason(step, told):
    with pytest.raises(bench.ScheduleError, match=told):
        bench.check_schedule({"steps": [step]})


def test_a_missing_file_is_refused(tmp_path):
    with pytest.raises(bench.ScheduleError):
        bench.load_schedule(tmp_path / "none.json")
