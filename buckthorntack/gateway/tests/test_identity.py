"""Identity of a control VM's disk."""

import random

import msgspec
import pytest

from buckthorntack import storage
from buckthorntack.gateway import _identity
from buckthorntack.gateway.tests import control_vms
from buckthorntack.storage.tests import memory_files

ADDRESS = "10.1.0.1:80"
FOLDER = "/data"


def make_settings():
    return control_vms._make_settings(ADDRESS, "fukuoka", (ADDRESS,), False)


def load(files):
    return _identity.load_identity(files, make_settings(), random.Random(4))


def test_identity_stays_the_same():
    files = memory_files.MemoryFiles()
    assert load(files) == load(files)


# A file that this build cannot read ended the process with no log line that
# says which one.
@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode({"node_id": "a"}),
        msgspec.msgpack.encode([7, []]),
        msgspec.msgpack.encode(["a", [], "of a later build"]),
        b"\x91" * 100_000,
    ],
)
def test_odd_identity_is_an_error_that_names_its_file(payload):
    files = memory_files.MemoryFiles()
    storage.write_file_atomically(files, FOLDER, "identity", payload)
    with pytest.raises(storage.CorruptFileError, match="/data/identity"):
        load(files)
