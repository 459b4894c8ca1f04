"""Servers that say how many rejections they bear."""

import pytest

from buckthorntack import http1
from buckthorntack.platform import _dialect
from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

SAFE = "/safe/x"


def parse(value):
    headers = [] if value is None else [(b"Server-Brittle", value)]
    head = http1.ResponseHead(200, b"OK", headers, 0, http1.BodyFraming.LENGTH)
    return _dialect.PlatformDialect().parse_response(head).brittleness


@pytest.mark.parametrize(
    ("value", "per_s"), [(b"0", 0.0), (b"0.5", 0.5), (b"3", 3.0)]
)
def test_rejections_that_a_server_bears_are_read(value, per_s):
    assert parse(value).per_s == per_s


def test_answer_without_the_header_says_that_its_server_is_sound():
    assert parse(None).per_s is None


@pytest.mark.parametrize("value", [b"", b"x", b"-1", b"nan", b"inf", b"1,2"])
def test_garbage_says_nothing(value):
    assert parse(value) is None


# Guards against a rejection that binds only the entry VM that it was told.
def test_rejection_by_a_brittle_server_holds_all_entry_vms():
    async def scenario(world):
        world.servers["s1"].behave = _standins.answer_with(
            503,
            (b"Server-Brittle", b"1"),
            (b"X-Buckthorntack-Not-Executed", b"1"),
        )
        assert (await world.ask(SAFE, entry="e0")).status == 503
        limits = world.nodes["e1"].shared_state.fleet.limits
        await world.until(lambda: limits.is_brittle("s1"))
        count = len(world.servers["s1"].requests)
        for entry in ("e0", "e1", "e0", "e1"):
            assert (await world.ask(SAFE, entry=entry)).status == 503
        assert len(world.servers["s1"].requests) == count

    test_requests.run(scenario, ("s1", "desk"))
