"""Messages of this build beside those of the production commit."""

import json
import re
import subprocess
import tomllib

import pytest

from buckthorntack import schema
from buckthorntack.schema import messages
from tools import record_messages

RECORD = json.loads(record_messages.RECORD.read_text())
PRODUCTION = tomllib.loads(record_messages.SETTINGS.read_text())["production"]


def find_breaks(recorded, current):
    """List what of the recorded fields has changed, and new required ones."""
    changed = [one for one in recorded if one not in current[: len(recorded)]]
    if not changed and current[: len(recorded)] != recorded:
        changed = ["order"]
    added = [one for one in current[len(recorded) :] if " = " not in one]
    return changed + added


# A field was added to a message on main without a default.
@pytest.mark.parametrize("name", sorted(RECORD["fields"]))
def test_fields_of_production_are_kept(name):
    current = record_messages.list_fields()
    assert not find_breaks(RECORD["fields"][name], current[name])


@pytest.mark.parametrize(
    "current",
    [
        ["a: int"],
        ["b: str = ''", "a: int"],
        ["a: float", "b: str = ''"],
        ["a: int", "b: str"],
        ["a: int", "b: str = ''", "c: int"],
    ],
)
def test_breaks_are_found(current):
    assert find_breaks(["a: int", "b: str = ''"], current)


def test_addition_with_a_default_is_no_break():
    assert not find_breaks(["a: int"], ["a: int", "b: int = 0"])


@pytest.mark.parametrize("name", sorted(RECORD["messages"]))
def test_message_of_production_is_decoded(name):
    payload = bytes.fromhex(RECORD["messages"][name])
    message = schema.decode(name.encode(), payload)
    fields = RECORD["fields"][name]
    expected = record_messages.make_message(getattr(messages, name))
    assert len(fields) <= len(message)
    assert message == with_new_fields_missing(expected)


def with_new_fields_missing(value):
    """Set fields that production lacks to their defaults, at any depth."""
    if isinstance(value, list):
        return [with_new_fields_missing(item) for item in value]
    recorded = RECORD["fields"].get(type(value).__name__)
    if recorded is None:
        return value
    known = {
        field: with_new_fields_missing(getattr(value, field))
        for field in value._fields[: len(recorded)]
    }
    return type(value)(**known)


def test_production_is_a_commit_of_this_history():
    assert re.fullmatch("[0-9a-f]{40}", PRODUCTION)
    assert RECORD["commit"] == PRODUCTION
    found = subprocess.run(
        ["git", "cat-file", "-e", f"{PRODUCTION}^{{commit}}"],
        cwd=record_messages.ROOT,
        capture_output=True,
        check=False,
    )
    if found.returncode and not _has_history():
        pytest.skip("the history of the repository is not here")
    is_ancestor = subprocess.run(
        ["git", "merge-base", "--is-ancestor", PRODUCTION, "HEAD"],
        cwd=record_messages.ROOT,
        check=False,
    )
    assert is_ancestor.returncode == 0


def _has_history():
    answer = subprocess.run(
        ["git", "rev-parse", "--is-shallow-repository"],
        cwd=record_messages.ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return answer.stdout.strip() == "false"
