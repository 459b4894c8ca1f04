"""Brings about the faults of a schedule."""

import asyncio
import pathlib

from buckthorntack import events
from buckthorntack import schema
from buckthorntack.bench import _errors
from buckthorntack.bench import _events
from buckthorntack.standins import CRASH_MARK

#: Fields that a fault needs beside its time.
NEEDED_FIELDS = {
    "cut_region": ("region",),
    "cut_one_way": ("region", "to_region"),
    "heal_region": ("region",),
    "kill_server": ("server_id",),
    "restart_server": ("server_id",),
    "drain_server": ("server_id",),
    "stop_entry": ("node_id",),
    "kill_entry": ("node_id",),
    "start_entry": ("node_id",),
    "silent_connections": ("server_id", "count"),
    "crossed_answers": ("server_id", "count"),
    "crash_request": ("region", "organisation"),
    "lagging_load": ("server_id", "lag_ms"),
}


def load_schedule(path):
    """Read a fault schedule.

    :param path: a file of JSON with comments.
    :returns: its steps, by time.
    :raises ScheduleError: it cannot be read, or has faults.
    """
    try:
        document = schema.parse_json(pathlib.Path(path).read_text("utf-8"))
    except (OSError, ValueError) as error:
        raise _errors.ScheduleError(f"{path}: {error}") from error
    return check_schedule(document, path)


def check_schedule(document, source="schedule"):
    """Check a fault schedule.

    :param document: the parsed JSON.
    :param source: where it came from, told in errors.
    :returns: its steps, by time.
    :raises ScheduleError: it has faults.
    """
    faults = schema.validate_document("bench", "FaultSchedule", document)
    if faults:
        told = "; ".join(f"{fault.path}: {fault.message}" for fault in faults)
        raise _errors.ScheduleError(f"{source}: {told}")
    for step in document["steps"]:
        for field in NEEDED_FIELDS[step["fault"]]:
            if field not in step:
                detail = f"{source}: {step['fault']} needs {field}"
                raise _errors.ScheduleError(detail)
    return tuple(sorted(document["steps"], key=lambda step: step["at_s"]))


def loses_connections(steps):
    """Whether callers may lose connections by the steps of a schedule.

    :param steps: the steps.
    """
    return any(step["fault"] == "kill_entry" for step in steps)


class Injector:
    """Brings about faults at their times.

    :param deployment: the ``standins.Deployment``.
    :param send: sends a request of a region, an organisation and a text.
    """

    def __init__(self, deployment, send):
        self.deployment = deployment
        self.send = send
        self._log = events.EventLog("bench")
        self._tasks = set()
        self._known = {}

    async def run(self, steps):
        """Carry out the steps of a schedule.

        :param steps: the steps, by time.
        """
        loop = asyncio.get_running_loop()
        begun = loop.time()
        self._known.update(self.deployment.servers)
        for step in steps:
            await asyncio.sleep(max(0.0, begun + step["at_s"] - loop.time()))
            self._log.write(_events.FAULT, fault=step["fault"])
            await getattr(self, f"_{step['fault']}")(step)
        await asyncio.gather(*self._tasks)

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)

    async def _cut_region(self, step):
        self.deployment.cut(step["region"])

    async def _cut_one_way(self, step):
        pair = (step["region"], step["to_region"])
        self.deployment.cut_links.add(pair)

    async def _heal_region(self, step):
        self.deployment.heal(step["region"])

    async def _kill_server(self, step):
        server = self.deployment.servers.get(step["server_id"])
        if server is not None:
            await self.deployment.kill_server(server)

    async def _restart_server(self, step):
        server_id = step["server_id"]
        await self._kill_server(step)
        document = self._known[server_id].announcer.document
        pool = next(
            pool
            for pool in self.deployment.of_kind("BackendServerPool")
            if pool["name"] == document["pool"]
        )
        kinds = {
            service["name"]: service["kind"]
            for service in self.deployment.of_kind("Service")
        }
        await self.deployment.start_server(
            server_id,
            pool,
            document["failure_domain"],
            kinds[pool["service"]],
        )

    async def _drain_server(self, step):
        server = self.deployment.servers[step["server_id"]]
        await server.announcer.set_state("draining")

    async def _stop_entry(self, step):
        self._spawn(self.deployment.stop_node(step["node_id"]))

    async def _kill_entry(self, step):
        await self.deployment.kill_node(step["node_id"])

    async def _start_entry(self, step):
        await self.deployment.start_node(step["node_id"])

    async def _silent_connections(self, step):
        fake = self.deployment.servers[step["server_id"]].fake
        if hasattr(fake.faults, "silent_connections"):
            fake.faults.silent_connections += step["count"]
        else:
            fake.faults.silent_after_run += step["count"]

    async def _crossed_answers(self, step):
        fake = self.deployment.servers[step["server_id"]].fake
        fake.faults.crossed_answers += step["count"]

    async def _crash_request(self, step):
        content = CRASH_MARK.decode()
        self._spawn(self.send(step["region"], step["organisation"], content))

    async def _lagging_load(self, step):
        announcer = self.deployment.servers[step["server_id"]].announcer
        announcer.period_ms = step["lag_ms"]
