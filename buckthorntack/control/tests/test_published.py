"""Operator calls to a consensus group of a single control VM."""

import asyncio
import contextlib
import datetime
import hashlib
import pathlib
import random

import httpx

from buckthorntack import clock
from buckthorntack import configuration
from buckthorntack import consensus
from buckthorntack import control
from buckthorntack import objects
from buckthorntack import security
from buckthorntack.cli import _client

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
TIMING = consensus.Timing(
    tick=datetime.timedelta(milliseconds=5),
    heartbeat=datetime.timedelta(milliseconds=20),
    election_timeout=datetime.timedelta(milliseconds=60),
    snapshot_entries=3,
)
TIMEOUT = datetime.timedelta(seconds=30)


class NoPeersSender:
    """Sender of a group without peers; no message may be sent."""

    def send(self, to, message):
        raise AssertionError(f"{message} to {to}")


@contextlib.asynccontextmanager
async def run_control_vm(folder):
    """Start a control VM with its state in a folder.

    :param folder: data folder of the replica.
    :returns: context manager of an ``AdminClient`` of the control VM.
    """
    machine = configuration.ConfigurationMachine()
    system_clock = clock.SystemClock()
    sender = NoPeersSender()
    rng = random.Random(1)
    arguments = (machine, sender, system_clock, rng, TIMING)
    replica = consensus.ReplicaTask("g", "a", ["a"], folder, *arguments)
    source = configuration.ConfigurationSourceTask(
        "a", machine, replica, sender, system_clock
    )
    administration = configuration.Administration(
        machine, replica, source, system_clock
    )
    operator = security.Operator("ana", security.Role.ADMIN)
    tokens = {hashlib.sha256(b"secret").digest(): operator}
    app = control.create_admin_app(
        administration, security.OperatorTokens(tokens)
    )
    client = _client.AdminClient(
        ["http://a"],
        "secret",
        system_clock,
        TIMEOUT,
        transport=httpx.ASGITransport(app),
    )
    async with replica, source, client:
        yield client


def build_quota_change(base_revision, burst):
    fields = {
        "name": "small",
        "requests_per_second": 4,
        "burst_requests": burst,
        "tokens_per_minute": 400_000,
    }
    put = [{"kind": "Quota", "object": fields}]
    change_id = f"burst-{burst}"
    return {"change_id": change_id, "base_revision": base_revision, "put": put}


async def publish_and_restart(folder):
    named_objects = objects.load_folder(EXAMPLES / "hoardline").named_objects
    first = {"change_id": "c1", "base_revision": 0, "put": named_objects}
    async with run_control_vm(folder) as client:
        accepted = (await client.apply(first)).ok
        assert accepted["accepted"] and accepted["revision"] == 1
        conflicting = (await client.apply({**first, "change_id": "c2"})).ok
        assert conflicting["conflict"] and conflicting["revision"] == 1
        for revision in range(1, 8):
            change = build_quota_change(revision, 10 + revision)
            assert (await client.apply(change)).ok["accepted"]
        faulty = (await client.apply(build_quota_change(8, 1))).ok
        assert [f["rule"] for f in faulty["findings"]] == ["quota_burst"]
    async with run_control_vm(folder) as client:
        assert (await client.apply(first)).ok == accepted
        found = (await client.objects("Quota", "small")).ok
        assert found["revision"] == 8
        assert found["objects"][0]["object"]["burst_requests"] == 17
        reused = (await client.apply({**first, "put": []})).error
        assert reused.answer["type"] == "change_id_reused"
        later = (await client.history(6)).ok["changes"]
        ids = [one["change_id"] for one in later]
        assert ids == ["burst-16", "burst-17"]
        status = (await client.status()).ok
        assert status["revision"] == 8 and status["has_quorum"]


def test_published_objects_and_answers_outlive_a_restart(tmp_path):
    asyncio.run(publish_and_restart(tmp_path / "group"))
