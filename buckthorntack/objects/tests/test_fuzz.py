"""Fuzz tests of the files of objects."""

import json
import tempfile

import hypothesis
from hypothesis import strategies
import pytest

from buckthorntack import objects
from buckthorntack.objects.tests import sets

SETTINGS = hypothesis.settings(
    max_examples=150, deadline=None, derandomize=True, database=None
)
VALID_CONTENT = json.dumps(sets.sound_set(), indent=1).encode()


def check(content):
    """Return the findings of a folder with one file."""
    with tempfile.TemporaryDirectory() as folder:
        with open(f"{folder}/a.json", "wb") as file:
            file.write(content)
        return objects.check_folder(folder).findings


@strategies.composite
def mutated_content(draw):
    data = bytearray(VALID_CONTENT)
    for _ in range(draw(strategies.integers(1, 3))):
        offset = draw(strategies.integers(0, len(data)))
        size = draw(strategies.integers(0, 20))
        data[offset : offset + size] = draw(strategies.binary(max_size=4))
    return bytes(data)


@SETTINGS
@hypothesis.given(mutated_content() | strategies.binary(max_size=60))
def test_file_is_read_or_found_faulty(content):
    for finding in check(content):
        assert str(finding)


@pytest.mark.parametrize(
    "content",
    [b"[" * 50_000, b"9" * 5000, b"[1e999]", b'"\\ud800"', b"\x00", b"// x"],
    ids=["deep", "long number", "infinite", "surrogate", "zero", "comment"],
)
def test_odd_file_is_found_faulty(content):
    assert check(content)


def test_sound_file_has_no_findings():
    assert check(VALID_CONTENT) == []
