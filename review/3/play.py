"""Large requests of tenants get 400 once another region has to serve them."""

import asyncio
import pathlib
import tempfile

import standins

ZONE = "za"
KEY = "jbvk9m68k7b2ex5wa5xw"
TENANTS = [{"name": "huka270", "api_keys": [KEY], "priority": 0}]
HEADERS = [("Authorization", f"Token {KEY}")]
#: Requests that are sent, and the size of their bodies.
REQUESTS = 60
BODY_BYTES = 100_000
#: Answers of the system's own that the rule allows, besides one in 500.
ALLOWED = 5
CONTACT_S = 5.0


async def play(record):
    """Evacuate a zone, and send large requests to its entry VM.

    :param record: the ``standins.Record``.
    :returns: the exit code.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with standins.Platform(record, folder) as platform:
            return await _play(record, platform)


async def _play(record, platform):
    controls = platform.controls
    body = standins.configuration(1, tenants=TENANTS)
    if not await platform.order_until_done(controls, "PUT", "/config", body):
        return 2
    if not await platform.wait_until_served(15.0, HEADERS):
        return 2
    await asyncio.sleep(standins.BEAT_S + CONTACT_S)
    if standins.has_trouble():
        path = f"/evacuations/{ZONE}"
        if not await platform.order_until_done(controls, "POST", path):
            return 2
        await asyncio.sleep(CONTACT_S)
    [entry] = [m for m in platform.entries if m.zone == ZONE]
    small = await platform.request(entry, b"small", HEADERS)
    if small is None or small.status != 200:
        return 2
    denied, served = 0, 0
    for _ in range(REQUESTS):
        answer = await platform.request(entry, b"x" * BODY_BYTES, HEADERS)
        if answer is None:
            continue
        served += answer.status == 200
        is_own = "x-buckthorntack-server-stamp" not in answer.headers
        is_denial = 300 <= answer.status < 500
        if is_own and is_denial and answer.status not in (408, 421, 429):
            denied += 1
            record.write(f"the body of the answer is {answer.body!r}")
    record.write(
        f"of {REQUESTS} large requests {denied} were denied and {served}"
        " served"
    )
    return 1 if denied > ALLOWED + REQUESTS / 500 else 0


if __name__ == "__main__":
    standins.run(play, pathlib.Path(__file__).parent)
