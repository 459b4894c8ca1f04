"""Modules that a process loads before it serves."""

import json
import subprocess
import sys

import pytest

#: Prints the modules that are loaded once a node of a role can be made.
_LIST_MODULES = """
import json
import sys
from buckthorntack.platform import _program as program
program.load_node_type(sys.argv[1])
print(json.dumps(sorted(sys.modules)))
"""
#: Packages whose modules a role has no use for.
UNUSED = {
    "entry": ("consensus", "storage", "ledger", "placement", "membership"),
    "control": ("dispatch", "quarantine", "retries", "routing", "ledger"),
}


def list_modules(role):
    """List the modules that a new process of a role loads."""
    command = [sys.executable, "-c", _LIST_MODULES, role]
    done = subprocess.run(command, check=True, capture_output=True, text=True)
    return json.loads(done.stdout)


# Guards against a return after a loss of power that takes a small machine
# seconds, as it loads modules of the other role.
@pytest.mark.parametrize("role", UNUSED)
def test_process_loads_only_what_its_role_uses(role):
    unused = tuple(f"buckthorntack.{name}." for name in UNUSED[role])
    assert [n for n in list_modules(role) if n.startswith(unused)] == []


# Guards against a process that builds the types of all messages to receive
# the first one.
def test_only_messages_of_the_role_are_loaded():
    generated = "buckthorntack.schema._generated."
    loaded = {
        name.removeprefix(generated)
        for name in list_modules("entry")
        if name.startswith(generated)
    }
    assert not loaded & {"consensus", "ledger", "membership", "placement"}
    assert not [name for name in loaded if name.endswith("_documents")]
