"""What the answer of a server says holds for the start that gave it."""

import datetime
from types import SimpleNamespace

import pytest

from buckthorntack import discovery
from buckthorntack import dispatch
from buckthorntack import quarantine
from buckthorntack.discovery.tests import _records
from buckthorntack.gateway import _dialect
from buckthorntack.gateway import _server_notes

NOW = datetime.timedelta(seconds=100)


class _EntryVM:
    """What notes are made of, without a network."""

    def __init__(self):
        self.registry = discovery.Registry(1, discovery.Timing(), NOW)
        self.fleet = dispatch.Fleet(dispatch.DispatchSettings())
        self.changed = []
        self.clock = SimpleNamespace(monotonic=lambda: NOW)
        self.log = SimpleNamespace(write=lambda *args, **fields: None)
        self.shared_state = SimpleNamespace(
            registry=self.registry,
            fleet=self.fleet,
            exchange=SimpleNamespace(on_limit_changed=lambda: None),
            on_servers_changed=self.changed.extend,
            wake_if_urgent=lambda: None,
            log_limits=lambda told_by: None,
        )

    def note(self, born_ms, is_leaving=False, pause_s=None):
        attempt = SimpleNamespace(
            destination="s1",
            incarnation=quarantine.Incarnation("s1", born_ms),
            sent_at=NOW,
        )
        metadata = _dialect.ResponseMetadata(
            False,
            False,
            is_leaving,
            pause_s,
            _dialect.NO_LIMIT,
            _dialect.NO_LIMIT,
        )
        _server_notes.note_server_state(self, "r1", attempt, metadata)


@pytest.fixture
def entry_vm():
    entry_vm = _EntryVM()
    entry_vm.registry.merge_server(_records.server(born_ms=2000), NOW)
    return entry_vm


def is_paused(entry_vm):
    return entry_vm.fleet.state("s1").is_paused(NOW.total_seconds())


# Guards against a late answer of a former start that pauses the new one.
@pytest.mark.parametrize(("born_ms", "counts"), [(1000, False), (2000, True)])
def test_pause_holds_for_the_start_that_asks_for_it(entry_vm, born_ms, counts):
    entry_vm.note(born_ms, pause_s=60.0)
    assert is_paused(entry_vm) == counts


# Guards against a new start that counts as leaving for as long as it lives.
@pytest.mark.parametrize(("born_ms", "counts"), [(1000, False), (2000, True)])
def test_leaving_holds_for_the_start_that_says_so(entry_vm, born_ms, counts):
    entry_vm.note(born_ms, is_leaving=True)
    state = entry_vm.registry.servers["s1"].record.state
    assert state == ("draining" if counts else "ready")
    assert entry_vm.changed == (["s1"] if counts else [])
