"""Log of messages that could not be decoded."""

from buckthorntack import schema
from buckthorntack.transport import _refusals


class FakeLog:
    def __init__(self):
        self.lines = []

    def write(self, _event, **fields):
        self.lines.append(fields)


def record(refusals, peer, name):
    try:
        schema.decode(name, b"")
    except schema.MalformedMessageError as error:
        refusals.record(peer, name, error)


# A node of an earlier build logged each message of a new kind.
def test_unknown_kind_is_logged_once_for_each_peer():
    log = FakeLog()
    refusals = _refusals.Refusals(log)
    for _ in range(3):
        for peer in ("a", "b"):
            for name in (b"NewKind", b"OtherKind"):
                record(refusals, peer, name)
    assert [line["peer"] for line in log.lines] == ["a", "a", "b", "b"]


def test_each_malformed_message_is_logged():
    log = FakeLog()
    refusals = _refusals.Refusals(log)
    for _ in range(3):
        record(refusals, "a", b"Ping")
    assert len(log.lines) == 3


def test_memory_of_made_up_kinds_is_bounded():
    refusals = _refusals.Refusals(FakeLog())
    for number in range(3 * _refusals.MAX_REMEMBERED_KINDS):
        record(refusals, "a", b"%d" % number)
    assert len(refusals._unknown) <= _refusals.MAX_REMEMBERED_KINDS
