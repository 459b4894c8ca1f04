"""Demonstration of a deployment: what it does, and whether it held."""

import asyncio
import pathlib
import tempfile
import time
from typing import NamedTuple

import logbook

from buckthorntack.standins import _caller
from buckthorntack.standins import _deployment
from buckthorntack.standins import _service

STREAM_TOKENS = 60
LONG_PROMPT_WORDS = 12_000
DRAIN_TOKENS = 80


STEP_NAMES = (
    "bring-up",
    "long proposal, streamed",
    "short line, whole",
    "write, resent elsewhere",
    "read",
    "backend server crashes",
    "region cut off",
    "healed, write resent elsewhere",
    "planned stop of an entry VM",
    "no fault of the gateway itself",
)
INTERNAL_FAULT = 1308


class Step(NamedTuple):
    """One line of the demonstration's table."""

    name: str
    seen: str
    held: bool
    took_ms: float


class Story(NamedTuple):
    """What differs between the deployments."""

    model: str
    plain: str
    write_path: str
    read_path: str
    document: dict
    long_text: str
    short_text: str


STORIES = {
    "hoardline": Story(
        "pitchwriter",
        "vergedesk",
        "/bookings",
        "/availability/roundabout-7",
        {"roundabout": 7, "sponsor": "Ueki Bakery"},
        "contract clause ",
        "One line for the bakery by the roundabout, please.",
    ),
    "rendimar": Story(
        "rendi-model",
        "registro",
        "/entries",
        "/records/lot-88",
        {"lot": 88, "kilograms": 412},
        "season ledger line ",
        "Is batch 88 within the yield of last week?",
    ),
}


class Demonstration:
    """Drives one deployment through the promises it makes.

    :param name: name of the deployment, a folder of ``examples``.
    :param examples: folder of the examples.
    """

    def __init__(self, name, examples="examples"):
        self.name = name
        self.folder = pathlib.Path(examples) / name
        self.story = STORIES[name]
        self.steps = []
        self.deployment = None
        self.caller = None
        self.regions = []

    async def run(self):
        """Run all steps.

        :returns: list of :class:`Step`.
        """
        with tempfile.TemporaryDirectory(prefix="buckthorntack-") as folder:
            deployment = _deployment.Deployment(self.folder, folder)
            begun = time.monotonic()
            with logbook.TestHandler(level=logbook.ERROR) as log:
                async with deployment:
                    self.deployment = deployment
                    self._note("bring-up", "objects published", True, begun)
                    await self._run_steps()
        self._look_for_faults(log)
        return self.steps

    def _look_for_faults(self, log):
        """The gateway must not have failed in itself meanwhile."""
        faults = [
            record.message
            for record in log.records
            if record.extra.get("event") == INTERNAL_FAULT
        ]
        seen = "; ".join(faults) or "none logged"
        self._note(STEP_NAMES[-1], seen, not faults, time.monotonic())

    async def _run_steps(self):
        domains = self.deployment.of_kind("FailureDomain")
        self.regions = sorted({domain["region"] for domain in domains})
        organisation = self._widest_organisation()
        async with _caller.Caller(f"demo-{organisation}") as caller:
            self.caller = caller
            await self._long_stream()
            await self._short_line()
            await self._booking_and_resend()
            await self._read()
            await self._crash()
            await self._cut_region()
            await self._planned_stop()

    def _widest_organisation(self):
        rules = {
            rule["name"]: len(rule["regions"])
            for rule in self.deployment.of_kind("ResidencyRule")
        }
        organisations = [
            one
            for one in self.deployment.of_kind("Organisation")
            if self.story.plain in one["services"]
        ]
        widest = max(organisations, key=lambda o: rules[o["residency_rule"]])
        return widest["name"]

    def _note(self, name, seen, held, begun):
        took_ms = (time.monotonic() - begun) * 1e3
        self.steps.append(Step(name, seen, bool(held), took_ms))

    def _url(self, region, number=0):
        return self.deployment.caller_url(region, number)

    async def _long_stream(self):
        begun = time.monotonic()
        answer = await self.caller.chat(
            self._url(self.regions[0]),
            self.story.model,
            self.story.long_text * LONG_PROMPT_WORDS,
            stream=True,
            max_tokens=STREAM_TOKENS,
        )
        held = answer.whole and answer.events == STREAM_TOKENS + 1
        seen = f"{answer.events} events, {_first(answer)}"
        self._note("long proposal, streamed", seen, held, begun)

    async def _short_line(self):
        begun = time.monotonic()
        answer = await self.caller.chat(
            self._url(self.regions[1]),
            self.story.model,
            self.story.short_text,
            max_tokens=8,
        )
        held = answer.status == 200 and b"t7" in answer.body
        self._note("short line, whole", f"status {answer.status}", held, begun)

    async def _write(self, region, key):
        url = f"{self._url(region)}/services/{self.story.plain}"
        return await self.caller.request(
            "POST",
            url + self.story.write_path,
            {"idempotency-key": key},
            json=self.story.document,
        )

    def _runs(self):
        return sum(
            len(_service.booked(server.fake, self.story.write_path))
            for server in self.deployment.servers.values()
            if server.service == self.story.plain
        )

    async def _booking_and_resend(self):
        begun = time.monotonic()
        key = self.deployment.key_prefix(self.regions[0]) + "demo-1"
        first = await self._write(self.regions[0], key)
        again = await self._write(self.regions[1], key)
        same = first.body == again.body and first.status == 200
        held = same and self._runs() == 1
        seen = f"ran {self._runs()} time, same answer: {same}"
        self._note("write, resent elsewhere", seen, held, begun)

    async def _read(self):
        begun = time.monotonic()
        url = f"{self._url(self.regions[2])}/services/{self.story.plain}"
        answer = await self.caller.request("GET", url + self.story.read_path)
        held = answer.status == 200
        self._note("read", f"status {answer.status}", held, begun)

    async def _crash(self):
        """A backend server dies in the middle of a stream."""
        begun = time.monotonic()
        region = self.regions[0]
        asking = asyncio.create_task(
            self.caller.chat(
                self._url(region),
                self.story.model,
                "crash test",
                stream=True,
                max_tokens=DRAIN_TOKENS,
            )
        )
        await asyncio.sleep(0.5)
        busy = [
            server
            for server in self.deployment.servers.values()
            if server.service == self.story.model and server.fake.running
        ]
        for server in busy:
            await self.deployment.kill_server(server)
        answer = await asking
        told = b"run_state" in answer.body
        seen = "answer whole" if answer.whole else "error event with run state"
        self._note("backend server crashes", seen, answer.whole or told, begun)

    async def _cut_region(self):
        region = self.regions[1]
        begun = time.monotonic()
        self.deployment.cut(region)
        await asyncio.sleep(1.0)
        answer = await self.caller.chat(
            self._url(region), self.story.model, "cut off", max_tokens=4
        )
        key = self.deployment.key_prefix(region) + "demo-2"
        written = await self._write(region, key)
        held = answer.status == 200 and written.status == 200
        seen = f"line {answer.status}, write {written.status}"
        self._note("region cut off", seen, held, begun)
        begun = time.monotonic()
        self.deployment.heal(region)
        again = None
        while again is None or again.status != 200:
            again = await self._write(self.regions[2], key)
        held = again.body == written.body
        self._note("healed, write resent elsewhere", "replayed", held, begun)

    async def _planned_stop(self):
        begun = time.monotonic()
        region = self.regions[2]
        node = self.deployment.entries(region)[1]
        asking = asyncio.create_task(
            self.caller.chat(
                node.entry.caller_listener.url,
                self.story.model,
                "stop test",
                stream=True,
                max_tokens=DRAIN_TOKENS,
            )
        )
        await asyncio.sleep(0.3)
        await self.deployment.stop_node(node.settings["node_id"])
        answer = await asking
        seen = f"{answer.events} events of a running stream"
        self._note("planned stop of an entry VM", seen, answer.whole, begun)


def _first(answer):
    return f"first byte after {answer.first_byte_ms:.0f} ms"


def format_steps(steps):
    """The steps as a table.

    :param steps: list of :class:`Step`.
    """
    width = max(len(step.name) for step in steps)
    lines = []
    for step in steps:
        verdict = "held" if step.held else "BROKEN"
        lines.append(
            f"{step.name:<{width}}  {verdict:<6}  "
            f"{step.took_ms:>7.0f} ms  {step.seen}"
        )
    return "\n".join(lines)
