"""Memory of control VMs under changes of a large configuration.

Starts three control VMs as processes on loopback and publishes configurations
with organisations to them in turn.  With ``--stop`` one of them stands still
for a while.  Prints the peak of their resident memory.  Usage::

    python -m benchmarks.control_memory [--changes 150] [--stop 30,60]
"""

import argparse
import asyncio
import itertools
import json
import pathlib
import signal
import tempfile

from buckthorntack.platform.tests import _standins
from tools.soak import _processes

ORGANISATIONS = 18_000
CONFIGURATION_BYTES = 3_600_000
#: Version in the configuration of which others are made; as long as these.
TEMPLATE_VERSION = 10_000
CHANGE_PERIOD_S = 0.33
#: Most orders that an operator has in progress.
ORDERS = 8
ORDER_TIMEOUT_S = 8.0
FIRST_PAUSE_S = 0.1
MOST_PAUSE_S = 2.0
NETWORK = "127.201.1"


class ControlVm(_processes.Node):
    """Process of one control VM, without proxies."""

    async def __aenter__(self):
        (self.folder / "data").mkdir(parents=True)
        await self.start()
        return self

    def peak_mb(self):
        """Highest resident memory of its process so far."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0


def build_template():
    """Build a configuration with organisations."""
    document = _standins.configuration(TEMPLATE_VERSION)
    key = "k" * (CONFIGURATION_BYTES // ORGANISATIONS - 51)
    document["tenants"] = [
        {"name": f"org-{number:06d}", "api_keys": [f"{number:08x}{key}"]}
        for number in range(ORGANISATIONS)
    ]
    return json.dumps(document).encode()


async def publish(vms, template, version):
    """Publish a version until a control VM acknowledges it."""
    template_version = b"%d" % TEMPLATE_VERSION
    body = template.replace(template_version, b"%d" % version, 1)
    pause_s = FIRST_PAUSE_S
    for number in itertools.count(version):
        address = vms[number % len(vms)].address
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                answer = await _standins.call(address, "PUT", "/config", body)
            if answer.status == 200:
                return
        except (OSError, EOFError, TimeoutError):
            pass
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, MOST_PAUSE_S)


async def publish_changes(vms, changes, stop):
    """Publish changes at a steady pace, as far as orders are acknowledged."""
    template = build_template()
    gate = asyncio.Semaphore(ORDERS)

    async def order(version):
        async with gate:
            await publish(vms, template, version)

    async with asyncio.TaskGroup() as group:
        for number in range(changes):
            if number in stop:
                is_first = number == stop[0]
                vms[-1].signal(signal.SIGSTOP if is_first else signal.SIGCONT)
            group.create_task(order(TEMPLATE_VERSION + 1 + number))
            await asyncio.sleep(CHANGE_PERIOD_S)


async def measure(changes, stop):
    """Run the control VMs and print what they used."""
    addresses = [f"{NETWORK}.{number}" for number in (1, 2, 3)]
    seeds = [f"{address}:{_processes.CONTROL}" for address in addresses]
    zones = itertools.cycle(_processes.ZONES)
    with tempfile.TemporaryDirectory() as folder:
        vms = [
            ControlVm(f"c{number}", "control", zone, ip, ip, seeds, folder)
            for number, (ip, zone) in enumerate(
                zip(addresses, zones, strict=False)
            )
        ]
        try:
            for vm in vms:
                await vm.__aenter__()
            for vm in vms:
                await vm.wait_started()
            await publish_changes(vms, changes, stop)
            for vm in vms:
                print(f"{vm.name}: peak {vm.peak_mb():.0f} MB")
        finally:
            for vm in vms:
                if vm.process is not None:
                    await vm.kill()


def main():
    """Measure as the arguments say."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--changes", type=int, default=150)
    parser.add_argument("--stop", default="", help="first and last change")
    arguments = parser.parse_args()
    stop = [int(number) for number in arguments.stop.split(",") if number]
    asyncio.run(measure(arguments.changes, stop))


if __name__ == "__main__":
    main()
