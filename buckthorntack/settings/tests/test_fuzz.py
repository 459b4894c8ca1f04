"""Fuzz tests of settings files."""

import json
import pathlib
import tempfile

import hypothesis
from hypothesis import strategies
import pytest

from buckthorntack import settings
from buckthorntack.settings.tests import test_settings

SETTINGS = hypothesis.settings(
    max_examples=150, deadline=None, derandomize=True, database=None
)
VALID = json.dumps(test_settings.VALID, indent=1).encode()


def load(content):
    """Load settings from a file."""
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "node.json"
        file.write_bytes(content)
        return settings.load(file)


@strategies.composite
def mutated_content(draw):
    data = bytearray(VALID)
    for _ in range(draw(strategies.integers(1, 3))):
        offset = draw(strategies.integers(0, len(data)))
        size = draw(strategies.integers(0, 20))
        data[offset : offset + size] = draw(strategies.binary(max_size=4))
    return bytes(data)


@SETTINGS
@hypothesis.given(mutated_content() | strategies.binary(max_size=60))
def test_file_is_loaded_or_its_fault_is_told(content):
    loaded = load(content)
    if loaded.is_error():
        assert "remedy" in str(loaded.error)


@pytest.mark.parametrize(
    "content",
    [b"[" * 50_000, b"9" * 5000, b"[1e999]", b'"\\ud800"', b"\x00", b"// x"],
    ids=["deep", "long number", "infinite", "surrogate", "zero", "comment"],
)
def test_odd_file_is_refused(content):
    assert load(content).is_error()
