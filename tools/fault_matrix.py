"""Write the fault matrix from its data file and a test run's results.

``docs/fault_matrix.json`` says of each fault, in each kind of operation,
which tests cause it, or why it cannot happen.  ``docs/FAULT_MATRIX.md`` is
written only if all these tests ran and passed.
"""

import argparse
import json
import pathlib
import subprocess
import sys
from typing import NamedTuple
import xml.etree.ElementTree

DATA = pathlib.Path("docs/fault_matrix.json")
PAGE = pathlib.Path("docs/FAULT_MATRIX.md")
OPEN = "open"
_NOTICE = "<!-- Written by tools/fault_matrix.py: do not edit. -->"
_INTRO = (
    "Rows are faults and pairs of them, columns kinds of operation. `n passed`"
    " counts the test functions that cause the fault in the operation; `make "
    "matrix` writes the page only if all of them ran and passed. `-` cannot "
    "happen, for the reason below; `open` has no test yet."
)


class Cell(NamedTuple):
    """One fault in one kind of operation."""

    fault: str
    operation: str
    tests: list[str]
    impossible: str


def read_cells(matrix):
    """Cells of a matrix, row by row.

    :param matrix: the data file's document.
    :returns: list of :class:`Cell`.
    """
    return [
        _cell(row, operation)
        for row in matrix["faults"]
        for operation in matrix["operations"]
    ]


def _cell(row, operation):
    known = row["cells"].get(operation, {})
    tests = known.get("tests", [])
    return Cell(row["fault"], operation, tests, known.get("impossible", ""))


def misplaced(matrix):
    """Cells of the data file that name no known operation.

    :param matrix: the data file's document.
    :returns: list of texts.
    """
    operations = set(matrix["operations"])
    return [
        f"{row['fault']}: {name} is no operation"
        for row in matrix["faults"]
        for name in row["cells"]
        if name not in operations
    ]


def collected_tests():
    """Node ids of all tests, with their parameters."""
    arguments = ["-m", "pytest", "--collect-only", "-q", "-o", "addopts="]
    result = subprocess.run(
        [sys.executable, *arguments],
        capture_output=True,
        text=True,
        check=True,
    )
    return {line for line in result.stdout.splitlines() if "::" in line}


def read_results(path):
    """Outcome of each test of a run.

    :param path: file that ``pytest --junitxml`` wrote.
    :returns: dict of ``(class name, test name)`` and outcome.
    """
    tree = xml.etree.ElementTree.parse(path)
    results = {}
    for case in tree.iter("testcase"):
        key = case.get("classname"), case.get("name")
        results[key] = case[0].tag if len(case) else "passed"
    return results


def result_key(node_id):
    """Class name and test name by which a result file knows a test.

    :param node_id: pytest's node id.

    >>> result_key("a/tests/test_b.py::TestC::test_d[x::y]")
    ('a.tests.test_b.TestC', 'test_d[x::y]')
    """
    plain, bracket, parameters = node_id.partition("[")
    path, *classes, name = plain.split("::")
    module = path.removesuffix(".py").replace("/", ".")
    return ".".join([module, *classes]), name + bracket + parameters


def covered(named, tests):
    """Tests that a name stands for: itself, or all its parameters.

    :param named: node id with or without parameters.
    :param tests: node ids of all tests.
    """
    return [
        test for test in tests if test == named or test.startswith(f"{named}[")
    ]


def missing_tests(cells, tests):
    """Names that stand for no test.

    :param cells: list of :class:`Cell`.
    :param tests: node ids of all tests.
    :returns: list of texts.
    """
    names = sorted({name for cell in cells for name in cell.tests})
    return [
        f"{name} does not exist" for name in names if not covered(name, tests)
    ]


def failed_tests(cells, tests, results):
    """Named tests that did not pass.

    :param cells: list of :class:`Cell`.
    :param tests: node ids of all tests.
    :param results: what :func:`read_results` gave.
    :returns: list of texts.
    """
    names = {name for cell in cells for name in cell.tests}
    nodes = {test for name in names for test in covered(name, tests)}
    outcomes = {
        node: results.get(result_key(node), "did not run")
        for node in sorted(nodes)
    }
    return [
        f"{node}: {outcome}"
        for node, outcome in outcomes.items()
        if outcome != "passed"
    ]


def make_page(matrix):
    """Text of the page.

    :param matrix: the data file's document.
    """
    cells = read_cells(matrix)
    sections = [
        "# Fault matrix",
        _NOTICE,
        _INTRO,
        _counts(cells),
        _grid(matrix, cells),
        _open_cells(cells),
        *(_row_section(row["fault"], cells) for row in matrix["faults"]),
    ]
    return "\n\n".join(sections) + "\n"


def _counts(cells):
    tested = sum(bool(cell.tests) for cell in cells)
    impossible = sum(bool(cell.impossible) for cell in cells)
    left = len(cells) - tested - impossible
    return (
        f"Of {len(cells)} cells, {tested} are tested, {impossible} cannot "
        f"happen and {left} are open."
    )


def _mark(cell):
    if cell.tests:
        return f"{len(cell.tests)} passed"
    return "-" if cell.impossible else OPEN


def _grid(matrix, cells):
    operations = matrix["operations"]
    lines = [f"| fault | {' | '.join(operations)} |"]
    lines.append("|---" * (len(operations) + 1) + "|")
    for row in matrix["faults"]:
        marks = [_mark(cell) for cell in cells if cell.fault == row["fault"]]
        lines.append(f"| {row['fault']} | {' | '.join(marks)} |")
    return "\n".join(lines)


def _open_cells(cells):
    lines = ["## Open", ""]
    for cell in cells:
        if _mark(cell) == OPEN:
            lines.append(f"- {cell.fault}: {cell.operation}")
    return "\n".join(lines)


def _row_section(fault, cells):
    lines = [f"## {fault.capitalize()}", ""]
    for cell in cells:
        if cell.fault == fault:
            lines += _cell_lines(cell)
    return "\n".join(lines)


def _cell_lines(cell):
    if cell.tests:
        tests = [f"  - `{name}`" for name in cell.tests]
        return [f"- {cell.operation}:", *tests]
    told = f"cannot happen: {cell.impossible}" if cell.impossible else OPEN
    return [f"- {cell.operation}: {told}"]


def _findings(matrix, results_file):
    cells = read_cells(matrix)
    tests = collected_tests()
    findings = misplaced(matrix) + missing_tests(cells, tests)
    if results_file is not None:
        findings += failed_tests(cells, tests, read_results(results_file))
    return findings


def _arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    group = parser.add_mutually_exclusive_group(required=True)
    group.add_argument(
        "--results", type=pathlib.Path, help="file of pytest --junitxml"
    )
    group.add_argument(
        "--check", action="store_true", help="only check the committed page"
    )
    return parser.parse_args()


def main():
    """Write the page, or check the one that is committed."""
    arguments = _arguments()
    matrix = json.loads(DATA.read_text("utf-8"))
    findings = _findings(matrix, arguments.results)
    text = make_page(matrix)
    if arguments.check and PAGE.read_text("utf-8") != text:
        findings.append(f"{PAGE} is out of date; run: make matrix")
    for finding in findings:
        print(finding)
    if not arguments.check and not findings:
        PAGE.write_text(text, "utf-8")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
