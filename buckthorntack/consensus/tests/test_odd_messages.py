"""Messages of other replicas whose values are out of range."""

import logbook
import pytest

from buckthorntack.consensus import _configuration as configurations
from buckthorntack.consensus.tests import test_task
from buckthorntack.schema import messages

TOO_LARGE = (1 << 64) - 1


def make_entry(index, term, kind=configurations.KIND_COMMAND, data=b""):
    return messages.LogEntry(index, term, kind, "", data)


def make_append(term, index, entries=(), **fields):
    request = messages.AppendRequest(
        "g", term, index, term, list(entries), index, 1, ""
    )
    return request._replace(**fields)


def make_chunk(term, last_index, **fields):
    chunk = messages.SnapshotChunk(
        "g", term, last_index + 9, term, b"", 0, 0, b""
    )
    return chunk._replace(**fields)


def make_response(term, index, **fields):
    response = messages.AppendResponse("g", term, "", True, index, 0, 1)
    return response._replace(**fields)


#: Functions of the leader's term and its newest index.
ODD_MESSAGES = {
    "configuration of an entry": lambda term, index: make_append(
        term,
        index,
        [
            make_entry(
                index + 1, term, configurations.KIND_CONFIGURATION, b"\xc1"
            )
        ],
    ),
    "configuration of a snapshot": lambda term, index: make_chunk(
        term, index, configuration=b"\xc1"
    ),
    "index of an entry": lambda term, index: make_append(
        term, index, [make_entry(index + 5, term)], commit_index=index + 5
    ),
    "large index of an entry": lambda term, index: make_append(
        term, index, [make_entry(TOO_LARGE, term)]
    ),
    "index below 0": lambda term, index: make_append(
        term, index, [make_entry(-4, term)], previous_index=-5
    ),
    "term of an entry": lambda term, index: make_append(
        term, index, [make_entry(index + 1, TOO_LARGE)]
    ),
    "term": lambda term, index: make_append(TOO_LARGE, index),
    "term of a response": lambda term, index: make_response(TOO_LARGE, index),
    "term of a vote": lambda term, index: messages.VoteRequest(
        "g", TOO_LARGE, TOO_LARGE, TOO_LARGE, "", False, True
    ),
    "match below 0": lambda term, index: make_response(term, -7),
    "offset of a snapshot": lambda term, index: make_chunk(
        term, index, offset_bytes=-1
    ),
    "index of a snapshot": lambda term, index: make_chunk(
        term, index, index=TOO_LARGE
    ),
    "index of a read below -1": lambda term, index: messages.ReadResponse(
        "g", 1, -2
    ),
    "lowest index of a read": lambda term, index: messages.ReadResponse(
        "g", 1, -TOO_LARGE
    ),
    "large index of a read": lambda term, index: messages.ReadResponse(
        "g", 1, TOO_LARGE
    ),
}


# A replica stopped at such a message, and with it the process of its control
# VM, which met it again after its start.
@pytest.mark.parametrize("name", ODD_MESSAGES)
def test_odd_message_costs_itself_only(tmp_path, name):
    async def scenario():
        async with test_task.Cluster(tmp_path, ["a", "b", "c"]) as cluster:
            await cluster.propose(b"x")
            leader = await cluster.leader()
            status = leader.status()
            odd = ODD_MESSAGES[name](status.term, status.last_index)
            tasks = list(cluster.network.tasks.values())
            for task in tasks:
                others = [t for t in tasks if t is not task]
                sender = others[0] if task is leader else leader
                task.deliver(sender.node_id, odd)
            await cluster.propose(b"y")
            for task in tasks:
                await test_task.wait_until(
                    lambda task=task: (
                        task.state_machine.commands[-1:] == [b"y"]
                        or task.status().failure
                    )
                )
                assert task.status().failure == ""
                assert task.state_machine.commands == [b"x", b"y"]

    with logbook.TestHandler() as log:
        test_task.run(scenario())
    lines = [
        record.extra
        for record in log.records
        if record.extra.get("event") == test_task.MESSAGE_REFUSED
    ]
    assert len(lines) == 3
    assert {line["kind"] for line in lines} == {
        type(ODD_MESSAGES[name](1, 1)).__name__
    }
