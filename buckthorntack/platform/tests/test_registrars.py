"""Where a control VM tells backend servers to announce themselves."""

import asyncio
import json
import types

import msgspec
import pytest

from buckthorntack import clock
from buckthorntack.discovery.tests import test_registrars
from buckthorntack.platform import _control_api


class FakeReply:
    def send(self, status, _headers, body):
        self.status = status
        self.document = json.loads(body)


class FakeGathering:
    def __init__(self, registrar):
        self.registrar = registrar
        self.announced = []

    def on_announcement(self, record):
        self.announced.append(record)

    def choose_registrar(self, _record):
        return self.registrar


def announce(registrar, state, server_id="i-7f3a/1"):
    document = {
        "service": "desk",
        "address": "10.128.0.9:8080",
        "zone": "east-a",
        "version": "v1",
        "capacity": 16,
        "state": state,
        "sequence": 4,
    }
    node = types.SimpleNamespace(
        gathering=FakeGathering(registrar),
        settings=types.SimpleNamespace(regions={"east-a": "east"}),
        clock=clock.SystemClock(),
    )
    reply = FakeReply()
    request = types.SimpleNamespace(
        method=b"PUT",
        target=b"/instances/i-7f3a%2F1",
        body=msgspec.json.encode(document),
    )
    asyncio.run(_control_api.ControlApi(node).handle(request, reply))
    assert [one.server_id for one in node.gathering.announced] == [server_id]
    return reply


# Servers opened a connection to another control VM for each announcement.
@pytest.mark.parametrize("state", ["ready", "draining"])
def test_server_is_told_where_to_announce_itself(state):
    registrar = test_registrars.control("10.0.0.4", "east")
    reply = announce(registrar, state)
    assert reply.status == 200
    address = registrar.service_address
    url = f"http://{address}/instances/i-7f3a%2F1"
    assert reply.document == {"heartbeat_url": url}


# What only a control VM that is cut off knows would be silent to others.
def test_control_vm_that_is_cut_off_sends_ready_servers_on():
    assert announce(None, "ready").status == 503


# A server that gets no acknowledgement may stop without one.
def test_control_vm_that_is_cut_off_acknowledges_draining_servers():
    assert announce(None, "draining").status == 200
