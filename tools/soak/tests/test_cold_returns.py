"""A short soak of cold returns with fixed seeds, and its checks."""

import asyncio

import pytest

from buckthorntack import transport
from tools.soak import _cold_returns
from tools.soak import _promises

SECONDS = 4.0
#: Of many returns; 2 also has resets and links that are held up.
SEEDS = [2]
LIMIT = int(_cold_returns.MAX_IN_A_SECOND)
PAUSE_S = 0.05
NONE = _promises.Unanswered("r", "e1", 10.0, 11.0, 14.0)


# Guards against entry VMs that take the record of a server's former start for
# its state, and flood it while it is cold.
@pytest.mark.parametrize("seed", SEEDS)
def test_servers_that_are_back_get_few_requests(seed, tmp_path):
    book = asyncio.run(_cold_returns.soak(seed, SECONDS, tmp_path, False))
    assert book.broken == []
    assert book.answers[200] > 0


def _arrive(book, server_id, times):
    for number, at_s in enumerate(times):
        book.ran(server_id, f"{server_id}-{number}-{at_s}", True, at_s)


def _spread(number, begin_s, end_s):
    return [begin_s + (end_s - begin_s) * k / number for k in range(number)]


# The server is cold from 10 s to 13 s.
@pytest.mark.parametrize(
    ("number", "begin_s", "end_s", "is_broken"),
    [
        (LIMIT + 1, 10.0, 10.99, True),
        (LIMIT + 1, 11.5, 12.49, True),
        (LIMIT, 11.5, 12.49, False),
        (LIMIT + 1, 11.0, 13.0, False),
        (LIMIT + 1, 9.0, 9.99, False),
        (LIMIT + 1, 13.0, 13.99, False),
        (LIMIT + 1, 12.6, 13.4, False),
    ],
)
def test_flood_of_a_cold_server_is_found(number, begin_s, end_s, is_broken):
    book, journal = _promises.Book(), _cold_returns.Journal()
    journal.cold.append(_cold_returns.Span("s1", 10.0, 13.0))
    _arrive(book, "s1", _spread(number, begin_s, end_s))
    _arrive(book, "s2", _spread(10 * number, begin_s, end_s))
    _cold_returns.check_cold(book, journal)
    assert bool(book.broken) is is_broken


# A reset at 10 s; the share is looked at from 12 s to 13 s.
@pytest.mark.parametrize(
    ("served", "at_other", "strikes", "is_looked_at", "is_broken"),
    [
        (LIMIT, 50, [], True, True),
        (LIMIT + 1, 50, [], True, False),
        (LIMIT, 20, [], False, False),
        (LIMIT, 50, [("s2", 9.0, 9.5)], True, True),
        (LIMIT, 50, [("s1", 9.0, 9.5)], False, False),
        (LIMIT, 50, [("s1", 12.5, 12.6)], False, False),
        (LIMIT, 50, [("s1", 13.1, 13.2)], True, True),
    ],
)
def test_sound_server_that_stays_throttled_is_found(
    served, at_other, strikes, is_looked_at, is_broken
):
    book, journal = _promises.Book(), _cold_returns.Journal()
    book.zones.update(s1="a1", s2="a1")
    reset = _cold_returns.Span("s1", 10.0, 10.0)
    journal.resets.append(reset)
    journal.strikes += [reset, *(_cold_returns.Span(*one) for one in strikes)]
    _arrive(book, "s1", _spread(served, 12.0, 13.0))
    _arrive(book, "s1", _spread(50, 9.0, 12.0))
    _arrive(book, "s2", _spread(at_other, 12.0, 13.0))
    looked = _cold_returns.check_shares(book, journal)
    assert bool(looked) is is_looked_at
    assert bool(book.broken) is is_broken


# A request to e1 from 10 s to 11 s, run by s1 from 10.1 s on.
@pytest.mark.parametrize(
    ("status", "struck", "killed", "is_broken"),
    [
        (0, [], [], True),
        (0, ["s1"], [], True),
        (0, [], ["e2"], True),
        (0, [], ["e1"], False),
        (200, [], [], True),
        (200, ["s2"], [], True),
        (200, ["s1"], [], False),
        (200, [], ["e2"], False),
    ],
)
def test_caller_without_an_answer_is_found(status, struck, killed, is_broken):
    book, journal = _promises.Book(), _cold_returns.Journal()
    book.ran("s1", "r", True, 10.1)
    book.unanswered.append(NONE._replace(status=status))
    journal.strikes += [
        _cold_returns.Span(server_id, 10.5, 10.6) for server_id in struck
    ]

    def are_calm(names, begin_s, end_s):
        return not set(names or ["e1", "e2"]).intersection(killed)

    _cold_returns.check_answered(book, journal, are_calm)
    assert bool(book.broken) is is_broken


class _Listener:
    """Answers one request on each connection and ends it."""

    def __init__(self, is_reset):
        self.is_reset = is_reset
        self.name = "e1"
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        await writer.drain()
        if self.is_reset:
            await asyncio.sleep(PAUSE_S)
            transport.set_reset_on_close(writer.transport, True)
        writer.transport.close()


# Guards against a caller that writes to a connection whose entry VM was killed
# before, and counts that as a request without an answer.
@pytest.mark.parametrize("is_reset", [False, True])
def test_caller_leaves_a_connection_that_has_ended(is_reset):
    async def scenario():
        listener = _Listener(is_reset)
        server = await asyncio.start_server(listener.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        listener.direct_address = f"{host}:{port}"
        book = _promises.Book()
        caller = _cold_returns.StreamCaller(book, [listener], 1)
        async with server:
            for _ in range(3):
                await caller._one()
                await asyncio.sleep(3 * PAUSE_S)
            caller._drop()
        assert listener.connections == 3
        assert book.unanswered == []
        assert book.answers[503] == 3

    asyncio.run(scenario())
