"""Copies of the directives that cannot be read."""

import json
import zlib

import logbook
import pytest

from buckthorntack.gateway import _packing
from buckthorntack.gateway.tests import test_directory
from buckthorntack.platform.tests import _standins
from buckthorntack.schema import messages

DIRECTIVES_UNREADABLE = 2216
CONTROL_VM = "10.1.0.9:80"


def make_copy(index, content):
    return messages.DirectivesCopy(
        index=index, version=7, content=content, evacuated=[], confirmed=True
    )


def lines_of(log):
    return [
        record.extra
        for record in log.records
        if record.extra.get("event") == DIRECTIVES_UNREADABLE
    ]


# A copy that could not be decompressed ended the link that it came by.
@pytest.mark.parametrize(
    "content",
    [
        b"x",
        b"{}",
        zlib.compress(b"{}" * 5000)[:-9],
        _packing.compress_content(b"not json"),
        _packing.compress_content(b"\xff\xfe"),
        _packing.compress_content(b'{"version": 1e999}'),
    ],
)
def test_odd_copy_is_set_aside(content):
    entry = test_directory._entry_node("starting", None)
    with logbook.TestHandler() as log:
        entry.following.on_directives_copy(CONTROL_VM, make_copy(1, content))
    assert [line["version"] for line in lines_of(log)] == [7]
    assert entry.shared_state.directives_index == -1
    sound = json.dumps(_standins.configuration(7)).encode()
    entry.following.on_directives_copy(
        CONTROL_VM, make_copy(1, _packing.compress_content(sound))
    )
    assert entry.shared_state.version == 7
    assert entry.following.state == "ready"
