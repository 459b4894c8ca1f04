"""Every failure at every step of a stream that its caller resumes."""

import pytest

from buckthorntack import errors
from buckthorntack.entry.tests import fakes
from buckthorntack.entry.tests import test_attempt_faults
from buckthorntack.entry.tests import test_forward_faults
from buckthorntack.routing.tests import _records

#: Last event that the caller has.
AFTER = 1


def issue(parts, backend, organisation=fakes.ORGANISATION):
    """Let a stream have been run for a caller that lost it."""
    attempt_id = parts.signer.issue(
        parts.region,
        parts.failure_domain,
        "pitchwriter-s1",
        organisation,
        parts.rng,
    )
    backend.runs.append(attempt_id)
    backend.streams[attempt_id] = True
    return attempt_id


def resumption(attempt_id, **fields):
    return fakes.make_request(
        "stream",
        resumed_attempt=attempt_id,
        resume_after=AFTER,
        model_version="",
        body=b"",
        **fields,
    )


def check(backend, attempt_id, sink, error):
    rest = b"".join(fakes.whole_stream(attempt_id, AFTER))
    assert backend.runs == [attempt_id]
    assert backend.sent == []
    assert rest.startswith(sink.body)
    assert sink.finished == (error is None)
    if error is None:
        assert sink.body == rest
    else:
        assert error.run_state is not errors.RunState.NOT_RUN


@pytest.mark.parametrize("fault", test_attempt_faults.RESUME_FAULTS)
@pytest.mark.parametrize("then", test_attempt_faults.RESUME_FAULTS)
@pytest.mark.parametrize("ask", test_attempt_faults.ASK_FAULTS)
def test_failure_of_a_resume(fault, then, ask):
    async def scenario():
        backend = fakes.Backend((), [fault, then], [ask] * 9)
        parts = fakes.make_parts(backend)
        attempt_id = issue(parts, backend)
        answer = await fakes.answer(parts, resumption(attempt_id))
        check(backend, attempt_id, *answer)

    fakes.run(scenario())


def resume_elsewhere(loses, backend=None, **fields):
    """Resume through an entry VM of another region."""

    async def scenario():
        servers = backend or fakes.Backend()
        world = test_forward_faults.World(servers, loses)
        node = world.nodes[test_forward_faults.ANSWERING[0]]
        world.origin.parts.members.entries = [
            _records.entry(name, "kumamoto")
            for name in test_forward_faults.ANSWERING
        ]
        attempt_id = issue(node.parts, servers)
        async with world:
            request = resumption(attempt_id, **fields)
            sink, error = await fakes.answer(world.origin.parts, request)
        check(servers, attempt_id, sink, error)
        return world, error

    return fakes.run(scenario())


def test_resume_through_another_region():
    _, error = resume_elsewhere(lambda way, number: False)
    assert error is None


@pytest.mark.parametrize("way", ["out", "back"])
@pytest.mark.parametrize("place", range(test_forward_faults.MESSAGES))
def test_link_cut_one_way_from_a_message_on(way, place):
    resume_elsewhere(lambda w, number: w == way and number >= place)


@pytest.mark.parametrize("place", range(test_forward_faults.MESSAGES))
def test_link_cut_both_ways_from_a_message_on(place):
    resume_elsewhere(lambda way, number: number >= place)


@pytest.mark.parametrize("fault", test_attempt_faults.RESUME_FAULTS)
def test_server_over_there_fails(fault):
    resume_elsewhere(lambda way, number: False, fakes.Backend((), [fault] * 9))


def test_resume_leaves_no_region_that_is_not_allowed():
    allowed = frozenset(["fukuoka"])
    world, error = resume_elsewhere(
        lambda way, number: False, allowed_regions=allowed
    )
    assert error.kind == "attempt_lost"
    assert world.log == []


def test_resume_is_forwarded_once():
    world, error = resume_elsewhere(
        lambda way, number: False, origin_region="kagoshima"
    )
    assert error.kind == "attempt_lost"
    assert world.log == []


def test_attempt_of_another_organisation_is_refused():
    async def scenario():
        backend = fakes.Backend()
        parts = fakes.make_parts(backend)
        attempt_id = issue(parts, backend, "fukuoka-council")
        sink, error = await fakes.answer(parts, resumption(attempt_id))
        assert error is not None
        assert not sink.started

    fakes.run(scenario())


def test_forwarded_stream_is_resumed_through_another_entry_vm():
    """The first answering entry VM falls silent after its head."""

    async def scenario():
        backend = fakes.Backend()
        world = test_forward_faults.World(backend)
        silent = test_forward_faults.ANSWERING[0]
        sender = world.nodes[silent].parts.sender
        carry = sender.receive
        told = []

        def carry_some(to, message):
            told.append(message)
            if len(told) <= 2:
                carry(to, message)

        sender.receive = carry_some
        async with world:
            sink, error = await world.send("stream")
        assert error is None
        assert sink.body == b"".join(fakes.whole_stream(sink.attempt_id))
        assert backend.runs == [sink.attempt_id]

    fakes.run(scenario())


DEAD = "kumamoto-dead"


class _LateSummary:
    """Names a dead entry VM alone, as one that had just started would."""

    def __init__(self, members, rounds):
        self.members = members
        self.rounds = rounds

    def entries_of(self, region):
        if region != "kumamoto":
            return self.members.entries_of(region)
        self.rounds -= 1
        if self.rounds >= 0:
            return [_records.entry(DEAD, "kumamoto")]
        return self.members.entries_of(region)

    def __getattr__(self, name):
        return getattr(self.members, name)


class _DeadNode:
    def deliver(self, sender, message):
        """Take nothing, as a process that has ended."""


@pytest.mark.parametrize("rounds", [0, 1, 3])
def test_resume_waits_for_an_entry_vm_that_lives(rounds):
    async def scenario():
        servers = fakes.Backend()
        world = test_forward_faults.World(servers)
        node = world.nodes[test_forward_faults.ANSWERING[0]]
        world.nodes[DEAD] = _DeadNode()
        members = world.origin.parts.members
        members.entries = [
            _records.entry(name, "kumamoto")
            for name in test_forward_faults.ANSWERING
        ]
        world.origin.parts.members = _LateSummary(members, rounds)
        attempt_id = issue(node.parts, servers)
        async with world:
            request = resumption(attempt_id)
            sink, error = await fakes.answer(world.origin.parts, request)
        check(servers, attempt_id, sink, error)
        assert error is None

    fakes.run(scenario())
