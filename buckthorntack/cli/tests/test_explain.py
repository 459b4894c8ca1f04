"""The way of a request from logs of several processes."""

import io
import json

from buckthorntack.cli import _context
from buckthorntack.cli import _explain
from buckthorntack.cli import _main


def line(second, name, **fields):
    time = f"2026-01-01T00:00:{second:02d}.000000"
    return json.dumps({"time": time, "name": name, "event": 1, **fields})


NEAR = "\n".join(
    [
        line(1, "server_changed", server="s1", state="ready", told_by="c0"),
        line(2, "directives_taken", version=4),
        line(3, "request_routed", request="r1", server_id="s1"),
        line(3, "request_routed", request="r2", server_id="s1"),
        line(4, "server_changed", server="s1", state="gone", told_by="c0"),
        line(5, "attempt_failed", request="r1", place="s1", reason="reset"),
        line(6, "request_routed", request="r1", decision="Forward"),
        line(8, "request_ended", request="r1", status=200),
        "no JSON at all {",
        "{broken",
    ]
)
FAR = "\n".join(
    [
        line(7, "request_routed", request="r1", server_id="s9"),
        line(8, "request_ended", request="r1", forwarded=True),
    ]
)


def read():
    return [
        *_explain.read_lines(NEAR, "near"),
        *_explain.read_lines(FAR, "far"),
    ]


def test_way_is_told_in_order_over_processes():
    explanation = _explain.explain(read(), "r1")
    assert [(step.node, step.name) for step in explanation.way] == [
        ("near", "request_routed"),
        ("near", "attempt_failed"),
        ("near", "request_routed"),
        ("far", "request_routed"),
        ("near", "request_ended"),
        ("far", "request_ended"),
    ]


def test_beliefs_are_those_of_the_time():
    explanation = _explain.explain(read(), "r2")
    told = {line.name: line.fields for line in explanation.beliefs}
    assert told["server_changed"]["state"] == "ready"
    assert told["directives_taken"]["version"] == 4


def run(tmp_path, request_id):
    paths = []
    for name, text in (("near", NEAR), ("far", FAR)):
        path = tmp_path / f"{name}.log"
        path.write_text(text)
        paths.append(str(path))
    output = io.StringIO()
    context = _context.process_context()._replace(stdout=output)
    code = _main.run(["explain", "--request", request_id, *paths], context)
    return code, output.getvalue()


def test_command_prints_the_way(tmp_path):
    code, output = run(tmp_path, "r1")
    assert code == 0
    assert "far request_ended" in output
    assert "reason=reset" in output


def test_unknown_request_is_a_finding(tmp_path):
    code, output = run(tmp_path, "r7")
    assert code == 1
    assert "no log names request r7" in output
