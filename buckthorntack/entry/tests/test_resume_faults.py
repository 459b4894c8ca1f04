"""Tests of each failure at each step of a stream that a caller resumes."""

import pytest

from buckthorntack import errors
from buckthorntack.entry.tests import fakes
from buckthorntack.entry.tests import test_attempt_faults
from buckthorntack.entry.tests import test_forward_faults
from buckthorntack.routing.tests import _records

#: Number of the last event that the caller received.
LAST_EVENT = 1


def issue_attempt(components, backend, organisation=fakes.ORGANISATION):
    """Register an attempt as a stream that ran and whose caller lost it."""
    attempt_id = components.signer.issue(
        components.region,
        components.failure_domain,
        "pitchwriter-s1",
        organisation,
        components.rng,
    )
    backend.runs.append(attempt_id)
    backend.streams[attempt_id] = True
    return attempt_id


def make_resume_request(attempt_id, **fields):
    return fakes.make_request(
        "stream",
        resumed_attempt=attempt_id,
        resume_after=LAST_EVENT,
        model_version="",
        body=b"",
        **fields,
    )


def check(backend, attempt_id, sink, error):
    rest = b"".join(fakes.build_stream(attempt_id, LAST_EVENT))
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
@pytest.mark.parametrize("ask", test_attempt_faults.QUERY_FAULTS)
def test_failure_of_a_resume(fault, then, ask):
    async def scenario():
        backend = fakes.ScriptedBackend((), [fault, then], [ask] * 9)
        components = fakes.make_components(backend)
        attempt_id = issue_attempt(components, backend)
        result = await fakes.run_request(
            components, make_resume_request(attempt_id)
        )
        check(backend, attempt_id, *result)

    fakes.run(scenario())


def resume_in_other_region(is_lost, backend=None, **fields):
    """Resume a stream through an entry VM outside the attempt's region."""

    async def scenario():
        servers = backend or fakes.ScriptedBackend()
        simulation = test_forward_faults.Simulation(servers, is_lost)
        node = simulation.nodes[test_forward_faults.RECEIVERS[0]]
        simulation.origin.components.members.entries = [
            _records.entry(name, "kumamoto")
            for name in test_forward_faults.RECEIVERS
        ]
        attempt_id = issue_attempt(node.components, servers)
        async with simulation:
            request = make_resume_request(attempt_id, **fields)
            sink, error = await fakes.run_request(
                simulation.origin.components, request
            )
        check(servers, attempt_id, sink, error)
        return simulation, error

    return fakes.run(scenario())


def test_resume_through_another_region():
    _, error = resume_in_other_region(lambda direction, number: False)
    assert error is None


@pytest.mark.parametrize("direction", ["out", "back"])
@pytest.mark.parametrize("position", range(test_forward_faults.MAX_MESSAGES))
def test_link_cut_one_way_from_a_message_on(direction, position):
    resume_in_other_region(
        lambda w, number: w == direction and number >= position
    )


@pytest.mark.parametrize("position", range(test_forward_faults.MAX_MESSAGES))
def test_link_cut_both_ways_from_a_message_on(position):
    resume_in_other_region(lambda direction, number: number >= position)


@pytest.mark.parametrize("fault", test_attempt_faults.RESUME_FAULTS)
def test_server_over_there_fails(fault):
    resume_in_other_region(
        lambda direction, number: False, fakes.ScriptedBackend((), [fault] * 9)
    )


def test_resume_leaves_no_region_that_is_not_allowed():
    allowed = frozenset(["fukuoka"])
    simulation, error = resume_in_other_region(
        lambda direction, number: False, allowed_regions=allowed
    )
    assert error.kind == "attempt_lost"
    assert simulation.log == []


def test_resume_is_forwarded_once():
    simulation, error = resume_in_other_region(
        lambda direction, number: False, origin_region="kagoshima"
    )
    assert error.kind == "attempt_lost"
    assert simulation.log == []


def test_attempt_of_another_organisation_is_refused():
    async def scenario():
        backend = fakes.ScriptedBackend()
        components = fakes.make_components(backend)
        attempt_id = issue_attempt(components, backend, "fukuoka-council")
        sink, error = await fakes.run_request(
            components, make_resume_request(attempt_id)
        )
        assert error is not None
        assert not sink.started

    fakes.run(scenario())


def test_forwarded_stream_is_resumed_through_another_entry_vm():
    """The first receiving entry VM stops sending after two messages."""

    async def scenario():
        backend = fakes.ScriptedBackend()
        simulation = test_forward_faults.Simulation(backend)
        silent = test_forward_faults.RECEIVERS[0]
        sender = simulation.nodes[silent].components.sender
        transmit = sender.receive
        sent = []

        def transmit_some(to, message):
            sent.append(message)
            if len(sent) <= 2:
                transmit(to, message)

        sender.receive = transmit_some
        async with simulation:
            sink, error = await simulation.send("stream")
        assert error is None
        assert sink.body == b"".join(fakes.build_stream(sink.attempt_id))
        assert backend.runs == [sink.attempt_id]

    fakes.run(scenario())


CRASHED_NODE = "kumamoto-dead"


class _LateMembers:
    """Membership that lists only a crashed entry VM in the first rounds.

    This occurs if the entry VM had just started when it sent the summary of
    its region.
    """

    def __init__(self, members, rounds):
        self.members = members
        self.rounds = rounds

    def entries_of(self, region):
        if region != "kumamoto":
            return self.members.entries_of(region)
        self.rounds -= 1
        if self.rounds >= 0:
            return [_records.entry(CRASHED_NODE, "kumamoto")]
        return self.members.entries_of(region)

    def __getattr__(self, name):
        return getattr(self.members, name)


class _CrashedNode:
    def deliver(self, sender, message):
        """Ignore all messages, as an ended process does."""


@pytest.mark.parametrize("rounds", [0, 1, 3])
def test_resume_waits_for_an_entry_vm_that_lives(rounds):
    async def scenario():
        servers = fakes.ScriptedBackend()
        simulation = test_forward_faults.Simulation(servers)
        node = simulation.nodes[test_forward_faults.RECEIVERS[0]]
        simulation.nodes[CRASHED_NODE] = _CrashedNode()
        members = simulation.origin.components.members
        members.entries = [
            _records.entry(name, "kumamoto")
            for name in test_forward_faults.RECEIVERS
        ]
        simulation.origin.components.members = _LateMembers(members, rounds)
        attempt_id = issue_attempt(node.components, servers)
        async with simulation:
            request = make_resume_request(attempt_id)
            sink, error = await fakes.run_request(
                simulation.origin.components, request
            )
        check(servers, attempt_id, sink, error)
        assert error is None

    fakes.run(scenario())
