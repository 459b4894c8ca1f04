"""Courses of events that a wrong replica would not survive.

Each is a function that drives a new simulation and raises ``ViolationError``
if a property does not hold.
"""

from buckthorntack.consensus.tests import simulation as simulations
from buckthorntack.schema import messages

HOUR_STEPS = 36_000


def started(names):
    """A group whose members all have the first entries."""
    simulation = simulations.Simulation(list(names))
    simulation.settle(60)
    return simulation


def exchange(simulation, names, rounds=30):
    """Hand over messages among some nodes; lose all others."""
    for _ in range(rounds):
        flights = simulation.flights
        simulation.flights = [
            flight
            for flight in flights
            if flight.sender in names and flight.to in names
        ]
        for _ in range(len(simulation.flights)):
            simulation.deliver(0)


def try_to_lead(simulation, name, names):
    """Let a node stand among some nodes until it leads, or in vain."""
    simulation.flights.clear()
    for _ in range(12):
        simulation.tick(name, 40)
        for _ in range(6):
            if simulation.nodes[name].replica.state.is_leader:
                return True
            exchange(simulation, names, 1)
    return False


def make_leader(simulation, name):
    """Let a certain node lead with all in reach."""
    simulations.elect(simulation, name)
    simulation.settle(10)


def deliver_only(simulation, sender, to):
    """Hand over just the oldest message between two nodes."""
    for place, flight in enumerate(simulation.flights):
        if (flight.sender, flight.to) == (sender, to):
            simulation.deliver(place)
            return True
    return False


def earlier_term_is_not_committed_by_count():
    """An entry on a majority may yet be replaced by one of a later term."""
    simulation = started("abcde")
    make_leader(simulation, "a")
    simulation.propose("a", width=simulations.TIMING.message_bytes + 1)
    exchange(simulation, "ab")
    simulation.crash("a")
    assert try_to_lead(simulation, "e", "cde")
    simulation.crash("e")
    simulation.flights.clear()
    simulation.restart("a")
    assert try_to_lead(simulation, "a", "abc")
    index = simulation.nodes["a"].replica.state.log.last_index - 1
    _replicate_up_to(simulation, index)
    simulation.crash("a")
    simulation.crash("b")
    simulation.restart("e")
    assert try_to_lead(simulation, "e", "cde")
    simulation.check_agreement()


def _replicate_up_to(simulation, index):
    """Bring all to b, and to c just the entries up to an index."""
    exchange(simulation, "ab", 3)
    log = simulation.nodes["c"].replica.state.log
    for _ in range(20):
        simulation.tick("a", 4)
        while deliver_only(simulation, "a", "b"):
            deliver_only(simulation, "b", "a")
        while log.last_index < index and deliver_only(simulation, "a", "c"):
            deliver_only(simulation, "c", "a")
        while deliver_only(simulation, "c", "a"):
            pass
        simulation.flights.clear()
    assert log.last_index == index


def learners_do_not_count():
    """What only learners have is not committed."""
    simulation = started("abc")
    make_leader(simulation, "a")
    for name in "de":
        simulation.change("add_learner", "a", name)
        simulation.add_node(name)
        simulation.settle(20)
    simulation.propose("a")
    exchange(simulation, "ade")
    simulation.crash("a")
    assert try_to_lead(simulation, "b", "bc")
    simulation.propose("b")
    exchange(simulation, "bc")
    simulation.check_agreement()


def isolated_leader_reads_nothing():
    """A leader that was replaced confirms no read."""
    simulation = started("abc")
    make_leader(simulation, "a")
    assert try_to_lead(simulation, "b", "bc")
    simulation.propose("b")
    exchange(simulation, "bc")
    simulation.read("a")
    exchange(simulation, "a")
    simulation.check_agreement()


def members_change_one_at_a_time():
    """Two groups of members without a common node never both decide."""
    simulation = started("abcde")
    make_leader(simulation, "a")
    simulation.change("remove", "a", "e")
    simulation.change("remove", "a", "d")
    simulation.propose("a")
    exchange(simulation, "ab")
    simulation.crash("a")
    simulation.crash("b")
    if try_to_lead(simulation, "c", "cde"):
        simulation.propose("c")
        exchange(simulation, "cde")


def late_snapshot_drops_no_acknowledged_entry():
    """A snapshot that comes late leaves newer entries in the log."""
    simulation = started("abc")
    make_leader(simulation, "a")
    simulation.propose("a")
    exchange(simulation, "ab")
    simulation.save_snapshot("a")
    snapshot = simulation.nodes["a"].disk.snapshot
    simulation.propose("a")
    exchange(simulation, "ab")
    simulation.crash("b")
    simulation.restart("b")
    term = simulation.nodes["a"].replica.state.term
    chunk = messages.SnapshotChunk(
        group=simulations.GROUP,
        term=term,
        index=snapshot.info.index,
        index_term=snapshot.info.term,
        configuration=snapshot.info.configuration,
        offset_bytes=0,
        total_bytes=len(snapshot.data),
        data=snapshot.data,
    )
    simulation.flights.append(simulations.Flight("a", "b", chunk))
    exchange(simulation, "ab", 1)
    simulation.crash("a")
    assert try_to_lead(simulation, "b", "bc")


def lost_disk_does_not_vote():
    """A voter that forgot what it acknowledged elects nobody."""
    simulation = started("abc")
    make_leader(simulation, "a")
    simulation.propose("a")
    exchange(simulation, "ab")
    simulation.crash("a")
    simulation.add_node("b", simulation.first_voters)
    simulation.check(
        not try_to_lead(simulation, "c", "bc"), "a blank disk voted"
    )


def lost_disk_that_joins_anew_does_not_vote():
    """A promoted voter that lost its disk does not vote as a new learner."""
    simulation = started("abc")
    make_leader(simulation, "a")
    simulation.change("add_learner", "a", "d")
    simulation.add_node("d")
    simulation.settle(20)
    simulation.change("promote", "a", "d")
    simulation.settle(20)
    simulation.propose("a")
    exchange(simulation, "abd")
    simulation.crash("a")
    simulation.crash("b")
    simulation.add_node("d")
    simulation.check(
        not try_to_lead(simulation, "c", "cd"), "a blank disk voted"
    )


def long_isolation_disturbs_nobody():
    """A replica that was cut off for an hour returns as a follower."""
    simulation = started("abc")
    make_leader(simulation, "a")
    term = simulation.nodes["a"].replica.state.term
    for _ in range(HOUR_STEPS // 20):
        simulation.tick("c", 20)
    simulation.flights.clear()
    simulation.nodes["a"].replica.state.elected_at = simulation.now
    simulation.settle(60)
    _check_undisturbed(simulation, term)


def half_cut_replica_disturbs_nobody():
    """A replica that hears all but the leader is not elected."""
    simulation = started("abc")
    make_leader(simulation, "a")
    term = simulation.nodes["a"].replica.state.term
    for _ in range(120):
        simulation.now += simulations.STEP
        for name in "abc":
            simulation.nodes[name].replica.tick(simulation.now)
            simulation.finish(simulation.nodes[name])
        simulation.flights = [
            flight
            for flight in simulation.flights
            if (flight.sender, flight.to) != ("a", "c")
        ]
        for _ in range(len(simulation.flights)):
            simulation.deliver(0)
    _check_undisturbed(simulation, term)


def _check_undisturbed(simulation, term):
    leading = simulation.leading()
    simulation.check(
        [node.name for node in leading] == ["a"], "the leader was disturbed"
    )
    now = leading[0].replica.state.term
    simulation.check(now == term, "the term was disturbed")


def second_failure_right_after_a_repair():
    """After a repair any other voter may be lost for good."""
    for victim in "abd":
        simulation = started("abc")
        make_leader(simulation, "a")
        simulation.propose("a")
        simulation.settle(10)
        simulation.crash("c")
        del simulation.nodes["c"]
        _repair(simulation)
        simulation.propose("a")
        exchange(simulation, "ab")
        simulation.crash(victim)
        del simulation.nodes[victim]
        _check_survivors(simulation)


def _repair(simulation):
    simulation.change("add_learner", "a", "d")
    simulation.add_node("d")
    _spend(simulation, 20)
    simulation.change("remove", "a", "c")
    _spend(simulation, 5)
    assert simulation.change("promote", "a", "d").is_ok()
    exchange(simulation, "ab", 2)


def _spend(simulation, rounds):
    for _ in range(rounds):
        for name in list(simulation.nodes):
            simulation.tick(name)
        exchange(simulation, "abd", 4)


def _check_survivors(simulation):
    simulation.settle(120)
    leading = simulation.leading()
    simulation.check(bool(leading), "no leader after the second failure")
    last = max(simulation.committed)
    simulation.propose(leading[0].name)
    simulation.settle(20)
    for node in simulation.running():
        simulation.check(node.applied_index > last, f"{node.name} is behind")


def voter_that_missed_its_promotion_votes():
    """The promoted node's vote counts before it has its promotion."""
    simulation = started("ab")
    make_leader(simulation, "a")
    simulation.change("add_learner", "a", "c")
    simulation.add_node("c")
    simulation.settle(20)
    assert simulation.change("promote", "a", "c").is_ok()
    exchange(simulation, "ab")
    simulation.crash("a")
    simulation.check(
        try_to_lead(simulation, "b", "bc"), "the new voter did not vote"
    )


def leader_whose_removal_is_not_committed_stands():
    """It has entries without which nobody else is elected."""
    simulation = started("abcd")
    make_leader(simulation, "c")
    assert simulation.change("remove", "c", "c").is_ok()
    simulation.crash("c")
    simulation.restart("c")
    simulation.crash("a")
    simulation.check(try_to_lead(simulation, "c", "bcd"), "nobody leads")


def voter_that_could_not_enrol_stands():
    """The first leader's members count in place of an enrolment."""
    simulation = simulations.Simulation("abc")
    for _ in range(60):
        for name in "abc":
            simulation.tick(name)
        simulation.flights = [
            flight
            for flight in simulation.flights
            if not isinstance(flight.message, messages.EnrolResponse)
            or (flight.sender, flight.to) != ("c", "b")
        ]
        for _ in range(len(simulation.flights)):
            simulation.deliver(0)
    assert not simulation.nodes["b"].replica.state.enrolled
    simulation.add_node("c", simulation.first_voters)
    simulation.check(try_to_lead(simulation, "b", "ab"), "nobody leads")


def _forwarded(simulation):
    """Propose at a follower; its message to the leader."""
    make_leader(simulation, "a")
    simulation.flights.clear()
    simulation.propose("b")
    (flight,) = simulation.flights
    return flight


def copy_of_a_proposal_is_added_once():
    """A message that comes twice counts once."""
    simulation = started("abc")
    flight = _forwarded(simulation)
    simulation.flights.append(flight)
    simulation.check_agreement()


def late_copy_of_a_proposal_is_not_refused():
    """What an earlier copy may have brought about is not denied."""
    simulation = started("abc")
    flight = _forwarded(simulation)
    exchange(simulation, "abc")
    assert try_to_lead(simulation, "c", "bc")
    exchange(simulation, "abc")
    simulation.flights.append(flight)
    simulation.check_agreement()


def lost_window_is_made_up_for_after_a_snapshot():
    """Entries that were lost on their way and released come by snapshot."""
    simulation = started("abc")
    make_leader(simulation, "a")
    for _ in range(2 * simulations.TIMING.window_messages):
        simulation.propose("a", width=simulations.TIMING.message_bytes + 1)
        exchange(simulation, "ab")
    simulation.save_snapshot("a")
    simulation.check_agreement()


def two_with_logs_of_one_length_elect_one():
    """Of two that stand at once, the one with the newer log leads."""
    simulation = started("abc")
    make_leader(simulation, "b")
    simulation.propose("b")
    assert try_to_lead(simulation, "a", "ac")
    simulation.flights.clear()
    simulation.crash("c")
    disks = [simulation.nodes[name].disk for name in "ab"]
    term = disks[0].hard_state.term
    disks[1].hard_state = disks[1].hard_state._replace(term=term, vote="")
    for name in "ab":
        simulation.crash(name)
        simulation.restart(name)
    simulation.flights.clear()
    for name in "abab":
        simulation.tick(name, 40)
    _spend(simulation, 100)
    leading = [node.name for node in simulation.leading()]
    simulation.check(leading == ["a"], "nobody was elected")


def snapshots_go_to_one_replica_at_a_time():
    """A receiver that dies does not keep others from theirs."""
    simulation = started("abcde")
    make_leader(simulation, "a")
    for _ in range(8):
        simulation.propose("a", width=simulations.TIMING.chunk_bytes)
        exchange(simulation, "abc")
    simulation.save_snapshot("a")
    progress = simulation.nodes["a"].replica.state.progress
    for _ in range(40):
        if progress["d"].transfer is not None:
            break
        _tick_all(simulation)
    simulation.crash("d")
    for _ in range(60):
        _tick_all(simulation)
    last = max(simulation.committed)
    reached = simulation.nodes["e"].applied_index
    simulation.check(reached == last, "no snapshot for the other")
    simulation.check_agreement()


def _tick_all(simulation):
    simulation.now += simulations.STEP
    for node in simulation.running():
        node.replica.tick(simulation.now)
        simulation.finish(node)
    for _ in range(len(simulation.flights)):
        simulation.deliver(0)


def founder_that_lost_its_disk_stops():
    """A group of one that was begun anew ends when the old one is heard."""
    simulation = started("a")
    for name in "bc":
        simulation.change("add_learner", "a", name)
        simulation.add_node(name)
        simulation.settle(20)
        simulation.change("promote", "a", name)
        simulation.settle(20)
    make_leader(simulation, "b")
    simulation.propose("b")
    simulation.settle(10)
    simulation.add_node("a", simulation.first_voters)
    simulation.flights.clear()
    simulation.tick("b", 5)
    exchange(simulation, "abc")
    for _ in range(2):
        for _ in range(60):
            _tick_all(simulation)
        state = simulation.nodes["a"].replica.state
        simulation.check(not state.leader, "a blank disk takes part")
        simulation.check(state.log.last_index == 0, "it has entries")
        simulation.restart("a")
    simulation.check_agreement()


def replica_that_founded_anew_stops_leading():
    """A leader that hears that its vote has another disk stops."""
    simulation = started("a")
    node = simulation.nodes["a"]
    assert node.replica.state.is_leader
    request = messages.AppendRequest(
        group=simulations.GROUP,
        term=9,
        previous_index=0,
        previous_term=0,
        entries=[],
        commit_index=0,
        round=0,
        voter_identity="disk-0",
    )
    node.replica.receive("b", request, simulation.now)
    simulation.finish(node)
    for _ in range(60):
        _tick_all(simulation)
    simulation.check(not simulation.leading(), "it leads still")


ALL = (
    replica_that_founded_anew_stops_leading,
    founder_that_lost_its_disk_stops,
    snapshots_go_to_one_replica_at_a_time,
    two_with_logs_of_one_length_elect_one,
    lost_window_is_made_up_for_after_a_snapshot,
    copy_of_a_proposal_is_added_once,
    late_copy_of_a_proposal_is_not_refused,
    leader_whose_removal_is_not_committed_stands,
    voter_that_could_not_enrol_stands,
    earlier_term_is_not_committed_by_count,
    learners_do_not_count,
    isolated_leader_reads_nothing,
    members_change_one_at_a_time,
    late_snapshot_drops_no_acknowledged_entry,
    lost_disk_does_not_vote,
    lost_disk_that_joins_anew_does_not_vote,
    long_isolation_disturbs_nobody,
    half_cut_replica_disturbs_nobody,
    second_failure_right_after_a_repair,
    voter_that_missed_its_promotion_votes,
)
