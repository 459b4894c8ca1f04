"""A request that crashes workers within its answer is not stopped."""

import asyncio
import pathlib
import tempfile

import standins

POISON = b"poison"
#: A worker that runs the request crashes so long after its first event, and
#: is back some seconds later.
EVENT_S, CRASH_S, DOWN_S = 0.1, 0.8, 3.0
EVENTS = 12
#: Pause between two times that the request comes, and how long it does.
PAUSE_S, LENGTH_S = 1.5, 45.0
CONTACT_S = 5.0
#: Retries later than that after the third crash that the rule allows.
ALLOWED = 3


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


class Book:
    """Times at which the request reached workers and crashed them."""

    def __init__(self, record):
        self.record = record
        self.arrivals = []
        self.crashes = []
        self.restarts = []

    async def behave(self, worker, writer, headers, body):
        """Stream an answer; crash within it if the request is the one."""
        request_id = headers["x-buckthorntack-request-id"]
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n"
            b"X-Buckthorntack-Request-Id: %b\r\n"
            b"X-Buckthorntack-Server-Stamp: stamp.%b\r\n\r\n"
            % (request_id.encode(), worker.server_id.encode())
        )
        is_poison = POISON in body
        if is_poison:
            self.arrivals.append(self.record.now_s())
        for number in range(EVENTS):
            writer.write(_chunk(b"id: %d\ndata: e\n\n" % number))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
            is_late = (number + 1) * EVENT_S >= CRASH_S
            if is_poison and is_late and standins.has_trouble():
                await self._crash(worker)
                raise OSError
        writer.write(_chunk(b""))
        await writer.drain()

    async def _crash(self, worker):
        self.record.write(f"{worker.server_id} crashes")
        self.crashes.append(self.record.now_s())
        await worker.end()
        self.restarts.append(asyncio.create_task(_restart(worker)))


async def _restart(worker):
    await asyncio.sleep(DOWN_S)
    await worker.start_again(has_new_id=True)


async def play(record):
    """Let the request come again and again.

    :param record: the ``standins.Record``.
    :returns: the exit code.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with standins.Platform(record, folder) as platform:
            return await _play(record, platform)


async def _play(record, platform):
    book = Book(record)
    for worker in platform.workers:
        worker.behave = book.behave
    route = standins.make_route(
        "look", type="streaming", timeout_ms=8000, max_attempts=1
    )
    body = standins.configuration(1, routes=[route])
    controls = platform.controls
    if not await platform.order_until_done(controls, "PUT", "/config", body):
        return 2
    if not await platform.wait_until_served(15.0):
        return 2
    await asyncio.sleep(standins.BEAT_S + CONTACT_S)
    until_s = record.now_s() + LENGTH_S
    number = 0
    while record.now_s() < until_s:
        entry = platform.entries[number % len(platform.entries)]
        number += 1
        await platform.request(entry, POISON, path="/look/poison")
        await asyncio.sleep(PAUSE_S)
    for restart in book.restarts:
        restart.cancel()
    late = []
    if len(book.crashes) >= 3:
        known_s = book.crashes[2] + CONTACT_S
        late = [at_s for at_s in book.arrivals if at_s > known_s]
    record.write(
        f"the request came {number} times, reached workers"
        f" {len(book.arrivals)} times and crashed {len(book.crashes)};"
        f" {len(late)} times later than {CONTACT_S:.0f} s after the third"
    )
    if not book.arrivals:
        return 2
    return 1 if len(late) > ALLOWED else 0


if __name__ == "__main__":
    standins.run(play, pathlib.Path(__file__).parent)
