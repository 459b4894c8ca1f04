"""A backend server's announcements, as an entry VM sees them."""

import asyncio
import json

import httpx

from buckthorntack import standins
from buckthorntack.standins import _announcer


class FakeEntry:
    """Takes announcements that echo its present life only."""

    def __init__(self):
        self.life = "first"
        self.taken = []

    def handle(self, request):
        document = json.loads(request.content)
        accepted = document.get("echo", self.life) == self.life
        self.taken.append(accepted)
        answer = {"accepted": accepted, "echo": self.life}
        return httpx.Response(200 if accepted else 409, json=answer)


async def announce_over_a_restart(monkeypatch):
    entry = FakeEntry()
    client = httpx.AsyncClient(transport=httpx.MockTransport(entry.handle))
    monkeypatch.setattr(_announcer.httpx, "AsyncClient", lambda **_: client)
    fake = standins.FakeService("service-1")
    announcer = standins.Announcer(fake, {}, ["http://entry"], 3_600_000)
    async with announcer:
        entry.life = "second"
        await announcer.announce()
        await announcer.announce()
    return entry.taken


def test_a_restarted_entry_vm_takes_the_announcement_after_its_echo(
    monkeypatch,
):
    taken = asyncio.run(announce_over_a_restart(monkeypatch))
    assert taken == [True, False, True]
