"""A late withdrawal ends the next start of a worker, for good."""

import asyncio
import pathlib
import signal
import tempfile

import standins

ZONE, REGION = "zb", "rb"
#: Largest ``for_s`` of a freeze of a core machine in the site's list.
FREEZE_S = 4.0
CONTACT_S, APPLY_S = 5.0, 3.0
#: Time that a worker takes to start again.
START_S = 0.5
#: Requests on each of the two routes.
REQUESTS = 60


async def play(record):
    """Restart a worker as planned while a control VM stands still.

    :param record: the ``standins.Record``.
    :returns: the exit code.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with standins.Platform(record, folder, 1) as platform:
            return await _play(record, platform)


async def _play(record, platform):
    controls = platform.controls
    body = standins.configuration(1)
    if not await platform.order_until_done(controls, "PUT", "/config", body):
        return 2
    if not await platform.wait_until_served(15.0):
        return 2
    routes = [
        standins.make_route("look"),
        standins.make_route("home", allowed_regions=[REGION]),
    ]
    body = standins.configuration(2, routes=routes)
    if not await platform.order_until_done(controls, "PUT", "/config", body):
        return 2
    await asyncio.sleep(standins.BEAT_S + CONTACT_S)
    if await _count_served(platform, "/home/") < REQUESTS:
        return 2
    [worker] = [w for w in platform.workers if w.zone == ZONE]
    [frozen] = [m for m in controls if m.zone == ZONE]
    others = [m for m in controls if m is not frozen]
    frozen_s = record.now_s()
    if standins.has_trouble():
        frozen.signal(signal.SIGSTOP)
        record.write(f"{frozen.name} stands still")
    if not await worker.leave([frozen, *others]):
        return 2
    await asyncio.sleep(START_S)
    await worker.start_again()
    await asyncio.sleep(max(0.0, frozen_s + FREEZE_S - record.now_s()))
    if standins.has_trouble():
        frozen.signal(signal.SIGCONT)
        record.write(f"{frozen.name} goes on")
    await asyncio.sleep(CONTACT_S + APPLY_S + 2 * standins.BEAT_S)
    first = await _count_served(platform, "/look/")
    later = await _count_served(platform, "/home/")
    record.write(
        f"of {REQUESTS} requests each {first} were served on the first route"
        f" and {later} on the one that was added later"
    )
    if not first:
        return 2
    return 1 if later < first / 4 else 0


async def _count_served(platform, prefix):
    """Send requests on a route to all entry VMs; count those served."""
    served = 0
    for number in range(REQUESTS):
        entry = platform.entries[number % len(platform.entries)]
        answer = await platform.request(entry, prefix=prefix)
        served += answer is not None and answer.status == 200
        await asyncio.sleep(0.02)
    return served


if __name__ == "__main__":
    standins.run(play, pathlib.Path(__file__).parent)
