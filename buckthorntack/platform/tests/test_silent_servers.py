"""Sound servers that fall silent for a while and go on."""

import asyncio
import socket

import pytest

from buckthorntack import http1
from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

EVENTS = 6
#: Shorter than the time for which the stand-in route's callers wait for an
#: event, 3.2 s.
SILENCE_S = 1.8
#: A silence of a sound server at least, which no timeout of TCP may end.
SOUND_SILENCE_MS = 1500


def fall_silent_before(event):
    """Behaviour: a stream with one long pause.

    :param event: number of the event before which it is.
    """

    async def behave(server, request, reply):
        headers = server.headers(request)
        headers.append((b"Content-Type", b"text/event-stream"))
        for number in range(EVENTS):
            if number == event:
                await asyncio.sleep(SILENCE_S)
            if not number:
                reply.start(200, headers)
            reply.write(b"id: %d\ndata: e%d\n\n" % (number, number))
            await asyncio.sleep(0.01)
        reply.end()

    return behave


# Guards against a second run of a stream whose server is silent for a moment.
@pytest.mark.parametrize("event", [0, 3])
def test_stream_stays_at_a_server_that_is_silent_for_a_moment(event):
    async def scenario(world):
        for server in world.servers.values():
            server.behave = fall_silent_before(event)
        answer = await world.ask("/talk/x", method="POST")
        assert answer.whole
        assert answer.body == _standins.whole_stream(EVENTS)
        assert sum(len(s.requests) for s in world.servers.values()) == 1

    test_requests.run(scenario, ("s1", "text"), ("s2", "text"))


# Guards against a connection that ends with one unanswered keep-alive probe: a
# user timeout that is set counts from the last byte received.
def test_connection_outlives_a_silence_of_its_server():
    async def scenario(world):
        await world.ask("/safe/x")
        pool = world.nodes["e0"].shared_state.pool
        connection = pool.take_idle("s1")
        sock = connection.transport.get_extra_info("socket")
        tcp = socket.IPPROTO_TCP
        user_timeout_ms = sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
        interval_s = sock.getsockopt(tcp, socket.TCP_KEEPINTVL)
        pool.release("s1", connection)
        assert isinstance(connection, http1.Connection)
        assert user_timeout_ms > SOUND_SILENCE_MS
        assert interval_s * 1000 > SOUND_SILENCE_MS

    test_requests.run(scenario, ("s1", "desk"))
