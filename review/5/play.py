"""Changes of a large configuration fill the memory of all control VMs."""

import asyncio
import json
import pathlib
import tempfile

import standins

#: Organisations of the size to design for, and of the play without trouble.
ORGANISATIONS, FEW_ORGANISATIONS = 18_000, 18
#: Changes of the configuration, and the site's pause between two in a storm.
CHANGES = 150
GAP_S = 0.33
#: ``memory_mb`` of a core machine; a process that uses more is killed.
MEMORY_MB = 296
CHECK_S = 0.05
RESTART_S = 0.5
#: Ends by themselves, on half of the core, that the rule allows.
ALLOWED = 2


def _used_mb(machine):
    """Memory of a process that belongs to it alone, in units of 2^20 bytes."""
    if machine.process is None or machine.process.returncode is not None:
        return 0.0
    path = pathlib.Path(f"/proc/{machine.process.pid}/status")
    for line in path.read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def _limit_memory(record, machine, ends):
    """Kill a process that uses too much, as the platform does."""
    while True:
        await asyncio.sleep(CHECK_S)
        try:
            used_mb = _used_mb(machine)
        except OSError:
            continue
        if used_mb <= MEMORY_MB:
            continue
        record.write(f"{machine.name} uses {used_mb:.0f} MB and is killed")
        ends.append(machine.name)
        await machine.end()
        await asyncio.sleep(RESTART_S)
        await machine.start()


def _tenants(count):
    return [
        {
            "name": f"t{number:05d}",
            "api_keys": [f"key-{number:016x}", f"old-{number:016x}"],
            "priority": 1,
            "unit": "tokens",
            "uncached_tokens": 200,
            "rate_per_s": 875830,
            "burst": 875830,
            "allowed_regions": [],
        }
        for number in range(count)
    ]


async def play(record):
    """Change the configuration often.

    :param record: the ``standins.Record``.
    :returns: the exit code.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with standins.Platform(record, folder, 1) as platform:
            ends = []
            watches = [
                asyncio.create_task(_limit_memory(record, machine, ends))
                for machine in platform.controls
            ]
            try:
                return await _play(record, platform, ends)
            finally:
                for watch in watches:
                    watch.cancel()


async def _play(record, platform, ends):
    count = FEW_ORGANISATIONS
    if standins.has_trouble():
        count = ORGANISATIONS
    document = json.loads(standins.configuration(1))
    document["tenants"] = _tenants(count)
    peaks = dict.fromkeys((m.name for m in platform.controls), 0.0)
    acknowledged = 0
    for version in range(1, CHANGES + 1):
        document["version"] = version
        document["routes"][0]["timeout_ms"] = 4000 + version
        body = json.dumps(document).encode()
        if version == 1:
            record.write(f"a configuration has {len(body)} bytes")
        due_s = record.now_s() + GAP_S
        controls = platform.controls[version % 3 :] + platform.controls
        acknowledged += await platform.order_until_done(
            controls[:3], "PUT", "/config", body
        )
        for machine in platform.controls:
            used_mb = _used_mb(machine)
            peaks[machine.name] = max(peaks[machine.name], used_mb)
        if len(ends) > ALLOWED and len(set(ends)) > 1:
            break
        await asyncio.sleep(max(0.0, due_s - record.now_s()))
    used = ", ".join(f"{n} {mb:.0f} MB" for n, mb in sorted(peaks.items()))
    record.write(
        f"{acknowledged} changes were acknowledged; most used: {used}"
    )
    record.write(f"processes ended by themselves: {ends}")
    if not acknowledged:
        return 2
    return 1 if len(ends) > ALLOWED and len(set(ends)) > 1 else 0


if __name__ == "__main__":
    standins.run(play, pathlib.Path(__file__).parent)
