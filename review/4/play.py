"""An order to take an evacuation back acts long after it was replaced."""

import asyncio
import pathlib
import signal
import tempfile

import standins

ZONE = "zb"
#: Largest ``for_s`` of a freeze of a core machine in the site's list.
FREEZE_S = 4.0
#: Bounds of the pages, and the most that an unstable core stretches them.
EVACUATE_S, CONTACT_S, MAX_SKEW_S = 5.0, 5.0, 8.0
WATCH_S = 6.0
PAUSE_S = 0.1


async def _send_requests(platform, entry):
    while True:
        await platform.request(entry)
        await asyncio.sleep(PAUSE_S)


async def play(record):
    """Evacuate, take it back during a freeze, evacuate once more.

    :param record: the ``standins.Record``.
    :returns: the exit code.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with standins.Platform(record, folder) as platform:
            return await _play(record, platform)


async def _play(record, platform):
    controls = platform.controls
    body = standins.configuration(1)
    if not await platform.order_until_done(controls, "PUT", "/config", body):
        return 2
    if not await platform.wait_until_served(15.0):
        return 2
    clients = [
        asyncio.create_task(_send_requests(platform, entry))
        for entry in platform.entries
    ]
    try:
        return await _evacuate(record, platform)
    finally:
        for client in clients:
            client.cancel()


async def _evacuate(record, platform):
    await asyncio.sleep(standins.BEAT_S + CONTACT_S)
    controls = platform.controls
    leaders = [m for m in controls if m.believes_to_lead()]
    followers = [m for m in controls if m not in leaders]
    if len(leaders) != 1:
        return 2
    frozen, other = followers[0], leaders[0]
    path = f"/evacuations/{ZONE}"
    if not await platform.order_until_done([other], "POST", path):
        return 2
    await asyncio.sleep(2.0)
    frozen_s = record.now_s()
    if standins.has_trouble():
        record.write(f"{frozen.name} stands still")
        frozen.signal(signal.SIGSTOP)
    order = [frozen, other]
    if not await platform.order_until_done(order, "DELETE", path):
        return 2
    if not await platform.order_until_done([other], "POST", path):
        return 2
    evacuated_s = record.now_s()
    record.write(f"{ZONE} is evacuated, and not taken back any more")
    await asyncio.sleep(max(0.0, frozen_s + FREEZE_S - record.now_s()))
    if standins.has_trouble():
        frozen.signal(signal.SIGCONT)
        record.write(f"{frozen.name} goes on")
    strict_s = max(evacuated_s + EVACUATE_S, frozen_s + FREEZE_S + CONTACT_S)
    strict_s += MAX_SKEW_S
    await asyncio.sleep(strict_s + WATCH_S - record.now_s())
    late = [
        run
        for worker in platform.workers
        if worker.zone == ZONE
        for run in worker.runs
        if run[0] > strict_s
    ]
    served = sum(len(worker.runs) for worker in platform.workers)
    record.write(
        f"{len(late)} requests reached workers of {ZONE} later than"
        f" {strict_s:.1f} s; {served} were run in all"
    )
    if not served:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    standins.run(play, pathlib.Path(__file__).parent)
