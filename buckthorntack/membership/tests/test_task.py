"""The task that runs a view: its timer, listeners and answers."""

import asyncio
import datetime
import random

from buckthorntack import clock
from buckthorntack import membership
from buckthorntack import schema
from buckthorntack.membership.tests import fakes
from buckthorntack.schema import messages


class Pair:
    """Two tasks that deliver messages to each other."""

    def __init__(self):
        self.clock = clock.ManualClock()
        timing = membership.build_timing({})
        records = [fakes.entry("e0"), fakes.entry("e1")]
        seeds = [fakes.seed_of(record) for record in records]
        self.tasks = {}
        for record in records:
            view = membership.MembershipView(
                record, seeds, timing, random.Random(record.node_id)
            )
            sender = Sender(self, record.node_id)
            task = membership.MembershipTask(view, sender, self.clock, timing)
            self.tasks[record.node_id] = task

    async def pass_time(self, milliseconds):
        for _ in range(milliseconds // 100):
            self.clock.advance(datetime.timedelta(milliseconds=100))
            for _ in range(3):
                await asyncio.sleep(0)

    def run(self, scenario):
        async def main():
            async with self.tasks["e0"], self.tasks["e1"]:
                await self.pass_time(2000)
                await scenario()

        asyncio.run(main())


class Sender:
    def __init__(self, pair, node_id):
        self.pair = pair
        self.node_id = node_id

    def send(self, to, message):
        copy = schema.decode(*schema.encode(message))
        self.pair.tasks[to].deliver(self.node_id, copy)


def test_listeners_hear_of_servers_and_items():
    pair = Pair()
    heard = []
    other = pair.tasks["e1"]
    other.listen(membership.ServerChanged, heard.append)
    other.listen(membership.ServerRemoved, heard.append)
    other.listen(membership.ItemChanged, heard.append)

    async def scenario():
        task = pair.tasks["e0"]
        answer = task.announce(fakes.announcement(), "pitchwriter")
        assert not schema.validate_document(
            "backend", "AnnouncementAnswer", answer
        )
        assert answer["accepted"]
        task.publish(messages.Item("quarantine", "k", b"", 1, 1000))
        await pair.pass_time(500)
        withdrawn = fakes.announcement(sequence=2, state="withdrawn")
        task.announce(withdrawn, "pitchwriter")
        await pair.pass_time(100)

    pair.run(scenario)
    kinds = {type(change) for change in heard}
    assert kinds == {
        membership.ServerChanged,
        membership.ServerRemoved,
        membership.ItemChanged,
    }
    assert heard[-1] == membership.ServerRemoved("s1", "withdrawn")


def test_server_that_echoes_is_asked_for_an_echo_first():
    pair = Pair()

    async def scenario():
        task = pair.tasks["e0"]
        first = task.announce(fakes.announcement(echo=""), "pitchwriter")
        assert not first["accepted"]
        assert first["renew_ms"] == 0
        document = fakes.announcement(echo=first["echo"], echo_age_ms=0)
        assert task.announce(document, "pitchwriter")["accepted"]
        assert [record.server_id for record in task.servers()] == ["s1"]

    pair.run(scenario)


def test_odd_numbers_do_no_harm():
    pair = Pair()
    load = {
        "running": 1.0,
        "waiting": 0,
        "cache_used_fraction": float("nan"),
        "lag_ms": 5.0,
    }

    async def scenario():
        document = fakes.announcement(incarnation=1.0, load=load)
        assert not schema.validate_document(
            "backend", "Announcement", document
        )
        pair.tasks["e0"].announce(document, "pitchwriter")
        await pair.pass_time(500)
        later = fakes.announcement(sequence=2, load=load)
        pair.tasks["e0"].announce(later, "pitchwriter")
        await pair.pass_time(1000)
        (record,) = pair.tasks["e1"].servers()
        assert record.sequence == 2
        assert record.load.running == 1
        large = fakes.announcement(incarnation=2**64)
        assert schema.validate_document("backend", "Announcement", large)

    pair.run(scenario)


def test_failed_step_does_not_end_the_task(monkeypatch):
    pair = Pair()
    ticks = []

    def fail(now):
        ticks.append(now)
        raise RuntimeError("broken")

    async def scenario():
        monkeypatch.setattr(pair.tasks["e0"].view, "tick", fail)
        await pair.pass_time(1000)
        assert len(ticks) > 1

    pair.run(scenario)


def test_refusal_names_the_remedy():
    pair = Pair()

    async def scenario():
        task = pair.tasks["e0"]
        foreign = fakes.announcement(failure_domain="kumamoto-a")
        answer = task.announce(foreign, "pitchwriter")
        assert not answer["accepted"]
        assert "remedy: announce to an entry VM" in answer["reason"]

    pair.run(scenario)


def test_task_that_ends_tells_its_peers():
    pair = Pair()

    async def scenario():
        task = pair.tasks["e0"]
        assert len(task.entry_list("fukuoka")) == 2
        await pair.tasks["e1"].__aexit__(None, None, None)
        assert [r.node_id for r in task.entry_list("fukuoka")] == ["e0"]

    pair.run(scenario)
