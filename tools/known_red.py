"""Tests that fail for a known fault, as KNOWN-RED.txt lists them.

An entry names its test in a line of its own::

    Test: buckthorntack/entry/tests/test_x.py::test_y[case]
"""

import pathlib
import re

LIST = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_TEST = re.compile(r"^\s*Test: (\S+)\s*$", re.MULTILINE)


def known_red(text):
    """Node ids of the tests that a list names.

    :param text: the list.
    :returns: the node ids, in order.

    >>> known_red("1. A fault\\n   Test: a/test_b.py::test_c\\n")
    ['a/test_b.py::test_c']
    """
    return _TEST.findall(text)
