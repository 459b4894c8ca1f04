"""Sequences of events in which a faulty replica violates a property.

Each scenario is a function that runs a new simulation and raises
``ViolationError`` if a property does not hold.
"""

from buckthorntack.consensus.tests import simulation as simulations
from buckthorntack.schema import messages

HOUR_STEPS = 36_000


def start_group(names):
    """Start a group and wait until all members have the first entries."""
    simulation = simulations.Simulation(list(names))
    simulation.run_until_stable(60)
    return simulation


def exchange(simulation, names, rounds=30):
    """Deliver messages among some nodes and drop all others."""
    for _ in range(rounds):
        envelopes = simulation.envelopes
        simulation.envelopes = [
            envelope
            for envelope in envelopes
            if envelope.sender in names and envelope.to in names
        ]
        for _ in range(len(simulation.envelopes)):
            simulation.deliver(0)


def try_election(simulation, name, names):
    """Let a node try to win an election among some nodes.

    :returns: whether it became leader.
    """
    simulation.envelopes.clear()
    for _ in range(12):
        simulation.tick(name, 40)
        for _ in range(6):
            if simulation.nodes[name].replica.state.is_leader:
                return True
            exchange(simulation, names, 1)
    return False


def make_leader(simulation, name):
    """Make a given node the leader while all nodes are connected."""
    simulations.elect(simulation, name)
    simulation.run_until_stable(10)


def deliver_only(simulation, sender, to):
    """Deliver only the oldest message from one node to another.

    :returns: whether there was one.
    """
    for place, envelope in enumerate(simulation.envelopes):
        if (envelope.sender, envelope.to) == (sender, to):
            simulation.deliver(place)
            return True
    return False


def earlier_term_is_not_committed_by_count():
    """An entry of an earlier term on a majority can still be replaced.

    It must not be committed before an entry of the current term.
    """
    simulation = start_group("abcde")
    make_leader(simulation, "a")
    simulation.propose("a", width=simulations.TIMING.message_bytes + 1)
    exchange(simulation, "ab")
    simulation.crash("a")
    assert try_election(simulation, "e", "cde")
    simulation.crash("e")
    simulation.envelopes.clear()
    simulation.restart("a")
    assert try_election(simulation, "a", "abc")
    index = simulation.nodes["a"].replica.state.log.last_index - 1
    _replicate_up_to(simulation, index)
    simulation.crash("a")
    simulation.crash("b")
    simulation.restart("e")
    assert try_election(simulation, "e", "cde")
    simulation.check_agreement()


def _replicate_up_to(simulation, index):
    """Replicate all entries to b, and those up to an index to c."""
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
        simulation.envelopes.clear()
    assert log.last_index == index


def learners_do_not_count():
    """An entry that only learners have stored is not committed."""
    simulation = start_group("abc")
    make_leader(simulation, "a")
    for name in "de":
        simulation.change("add_learner", "a", name)
        simulation.add_node(name)
        simulation.run_until_stable(20)
    simulation.propose("a")
    exchange(simulation, "ade")
    simulation.crash("a")
    assert try_election(simulation, "b", "bc")
    simulation.propose("b")
    exchange(simulation, "bc")
    simulation.check_agreement()


def isolated_leader_reads_nothing():
    """An isolated leader confirms no read after another was elected."""
    simulation = start_group("abc")
    make_leader(simulation, "a")
    assert try_election(simulation, "b", "bc")
    simulation.propose("b")
    exchange(simulation, "bc")
    simulation.read("a")
    exchange(simulation, "a")
    simulation.check_agreement()


def read_by_way_of_a_former_leader_is_refused():
    """A replica that believes in a former leader learns that it is none."""
    simulation = start_group("abc")
    make_leader(simulation, "a")
    simulation.tick("a", 40)
    simulation.envelopes.clear()
    simulation.check(not simulation.find_leaders(), "a leads unheard")
    simulation.read("b")
    exchange(simulation, "ab", 2)
    refused = simulation.refused_reads == set(simulation.reads)
    simulation.check(refused, "b was not told that its read is refused")


def members_change_one_at_a_time():
    """Two disjoint majorities never both commit entries.

    They could do so if a second membership change started before the first
    is committed.
    """
    simulation = start_group("abcde")
    make_leader(simulation, "a")
    simulation.change("remove", "a", "e")
    simulation.change("remove", "a", "d")
    simulation.propose("a")
    exchange(simulation, "ab")
    simulation.crash("a")
    simulation.crash("b")
    if try_election(simulation, "c", "cde"):
        simulation.propose("c")
        exchange(simulation, "cde")


def late_snapshot_drops_no_acknowledged_entry():
    """A delayed snapshot does not remove newer entries from the log."""
    simulation = start_group("abc")
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
    simulation.envelopes.append(simulations.Envelope("a", "b", chunk))
    exchange(simulation, "ab", 1)
    simulation.crash("a")
    assert try_election(simulation, "b", "bc")


def lost_disk_does_not_vote():
    """A voter that lost its acknowledged entries grants no vote."""
    simulation = start_group("abc")
    make_leader(simulation, "a")
    simulation.propose("a")
    exchange(simulation, "ab")
    simulation.crash("a")
    simulation.add_node("b", simulation.first_voters)
    simulation.check(
        not try_election(simulation, "c", "bc"), "an empty disk voted"
    )


def lost_disk_that_joins_anew_does_not_vote():
    """A promoted voter that restarts with an empty disk does not vote."""
    simulation = start_group("abc")
    make_leader(simulation, "a")
    simulation.change("add_learner", "a", "d")
    simulation.add_node("d")
    simulation.run_until_stable(20)
    simulation.change("promote", "a", "d")
    simulation.run_until_stable(20)
    simulation.propose("a")
    exchange(simulation, "abd")
    simulation.crash("a")
    simulation.crash("b")
    simulation.add_node("d")
    simulation.check(
        not try_election(simulation, "c", "cd"), "an empty disk voted"
    )


def long_isolation_disturbs_nobody():
    """A replica that was isolated for an hour returns as a follower.

    Pre-votes keep it from raising its term and so deposing the leader.
    """
    simulation = start_group("abc")
    make_leader(simulation, "a")
    term = simulation.nodes["a"].replica.state.term
    for _ in range(HOUR_STEPS // 20):
        simulation.tick("c", 20)
    simulation.envelopes.clear()
    simulation.nodes["a"].replica.state.elected_at = simulation.now
    simulation.run_until_stable(60)
    _check_undisturbed(simulation, term)


def half_cut_replica_disturbs_nobody():
    """A replica that receives messages from all but the leader can't win."""
    simulation = start_group("abc")
    make_leader(simulation, "a")
    term = simulation.nodes["a"].replica.state.term
    for _ in range(120):
        simulation.now += simulations.STEP
        for name in "abc":
            simulation.nodes[name].replica.tick(simulation.now)
            simulation.execute_commands(simulation.nodes[name])
        simulation.envelopes = [
            envelope
            for envelope in simulation.envelopes
            if (envelope.sender, envelope.to) != ("a", "c")
        ]
        for _ in range(len(simulation.envelopes)):
            simulation.deliver(0)
    _check_undisturbed(simulation, term)


def _check_undisturbed(simulation, term):
    leaders = simulation.find_leaders()
    simulation.check(
        [node.name for node in leaders] == ["a"], "the leader was deposed"
    )
    now = leaders[0].replica.state.term
    simulation.check(now == term, "the term changed")


def second_failure_right_after_a_repair():
    """The group survives a second permanent loss right after a repair."""
    for victim in "abd":
        simulation = start_group("abc")
        make_leader(simulation, "a")
        simulation.propose("a")
        simulation.run_until_stable(10)
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
    _run_ticks(simulation, 20)
    simulation.change("remove", "a", "c")
    _run_ticks(simulation, 5)
    assert simulation.change("promote", "a", "d").is_ok()
    exchange(simulation, "ab", 2)


def _run_ticks(simulation, rounds):
    for _ in range(rounds):
        for name in list(simulation.nodes):
            simulation.tick(name)
        exchange(simulation, "abd", 4)


def _check_survivors(simulation):
    simulation.run_until_stable(120)
    leaders = simulation.find_leaders()
    simulation.check(bool(leaders), "no leader after the second failure")
    last = max(simulation.committed)
    simulation.propose(leaders[0].name)
    simulation.run_until_stable(20)
    for node in simulation.running_nodes():
        simulation.check(node.applied_index > last, f"{node.name} lags behind")


def voter_that_missed_its_promotion_votes():
    """A promoted node votes although it has not received its promotion."""
    simulation = start_group("ab")
    make_leader(simulation, "a")
    simulation.change("add_learner", "a", "c")
    simulation.add_node("c")
    simulation.run_until_stable(20)
    assert simulation.change("promote", "a", "c").is_ok()
    exchange(simulation, "ab")
    simulation.crash("a")
    simulation.check(
        try_election(simulation, "b", "bc"), "the new voter did not vote"
    )


def leader_whose_removal_is_not_committed_stands():
    """A leader may be elected again until its own removal is committed.

    No other voter that is up has a log complete enough to win.
    """
    simulation = start_group("abcd")
    make_leader(simulation, "c")
    assert simulation.change("remove", "c", "c").is_ok()
    simulation.crash("c")
    simulation.restart("c")
    simulation.crash("a")
    simulation.check(try_election(simulation, "c", "bcd"), "no leader")


def voter_that_could_not_enrol_stands():
    """A voter whose identity a leader recorded needs no enrolment."""
    simulation = simulations.Simulation("abc")
    for _ in range(60):
        for name in "abc":
            simulation.tick(name)
        simulation.envelopes = [
            envelope
            for envelope in simulation.envelopes
            if not isinstance(envelope.message, messages.EnrolResponse)
            or (envelope.sender, envelope.to) != ("c", "b")
        ]
        for _ in range(len(simulation.envelopes)):
            simulation.deliver(0)
    assert not simulation.nodes["b"].replica.state.enrolled
    simulation.add_node("c", simulation.first_voters)
    simulation.check(try_election(simulation, "b", "ab"), "no leader")


def _propose_at_follower(simulation):
    """Propose at a follower and return its message to the leader."""
    make_leader(simulation, "a")
    simulation.envelopes.clear()
    simulation.propose("b")
    (envelope,) = simulation.envelopes
    return envelope


def copy_of_a_proposal_is_added_once():
    """A forwarded proposal that arrives twice is appended once."""
    simulation = start_group("abc")
    envelope = _propose_at_follower(simulation)
    simulation.envelopes.append(envelope)
    simulation.check_agreement()


def late_copy_of_a_proposal_is_not_refused():
    """A late copy is not refused, as an earlier copy may have been applied."""
    simulation = start_group("abc")
    envelope = _propose_at_follower(simulation)
    exchange(simulation, "abc")
    assert try_election(simulation, "c", "bc")
    exchange(simulation, "abc")
    simulation.envelopes.append(envelope)
    simulation.check_agreement()


def lost_window_is_made_up_for_after_a_snapshot():
    """Lost entries that were compacted meanwhile arrive by snapshot."""
    simulation = start_group("abc")
    make_leader(simulation, "a")
    for _ in range(2 * simulations.TIMING.window_messages):
        simulation.propose("a", width=simulations.TIMING.message_bytes + 1)
        exchange(simulation, "ab")
    simulation.save_snapshot("a")
    simulation.check_agreement()


def two_with_logs_of_one_length_elect_one():
    """Of two simultaneous candidates the one with the newer log wins."""
    simulation = start_group("abc")
    make_leader(simulation, "b")
    simulation.propose("b")
    assert try_election(simulation, "a", "ac")
    simulation.envelopes.clear()
    simulation.crash("c")
    disks = [simulation.nodes[name].disk for name in "ab"]
    term = disks[0].hard_state.term
    disks[1].hard_state = disks[1].hard_state._replace(term=term, vote="")
    for name in "ab":
        simulation.crash(name)
        simulation.restart(name)
    simulation.envelopes.clear()
    for name in "abab":
        simulation.tick(name, 40)
    _run_ticks(simulation, 100)
    leaders = [node.name for node in simulation.find_leaders()]
    simulation.check(leaders == ["a"], "a was not elected")


def snapshots_go_to_one_replica_at_a_time():
    """A receiver that crashes does not block snapshots for others."""
    simulation = start_group("abcde")
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
    simulation.check(reached == last, "e did not get a snapshot")
    simulation.check_agreement()


def _tick_all(simulation):
    simulation.now += simulations.STEP
    for node in simulation.running_nodes():
        node.replica.tick(simulation.now)
        simulation.execute_commands(node)
    for _ in range(len(simulation.envelopes)):
        simulation.deliver(0)


def founder_that_lost_its_disk_stops():
    """A single first voter that lost its disk must not found a new group.

    It stops when the existing group contacts it, also after a restart.
    """
    simulation = start_group("a")
    for name in "bc":
        simulation.change("add_learner", "a", name)
        simulation.add_node(name)
        simulation.run_until_stable(20)
        simulation.change("promote", "a", name)
        simulation.run_until_stable(20)
    make_leader(simulation, "b")
    simulation.propose("b")
    simulation.run_until_stable(10)
    simulation.add_node("a", simulation.first_voters)
    simulation.envelopes.clear()
    simulation.tick("b", 5)
    exchange(simulation, "abc")
    for _ in range(2):
        for _ in range(60):
            _tick_all(simulation)
        state = simulation.nodes["a"].replica.state
        simulation.check(not state.leader, "a replaced disk follows a leader")
        simulation.check(
            state.log.last_index == 0, "a replaced disk has entries"
        )
        simulation.restart("a")
    simulation.check_agreement()


def replica_that_founded_anew_stops_leading():
    """A leader stops when the group has recorded another disk for it."""
    simulation = start_group("a")
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
    simulation.execute_commands(node)
    for _ in range(60):
        _tick_all(simulation)
    simulation.check(not simulation.find_leaders(), "the leader did not stop")


def _start_group_with_learner():
    """Start a group of a, b and c, led by a, with the learner d."""
    simulation = start_group("abc")
    make_leader(simulation, "a")
    simulation.change("add_learner", "a", "d")
    simulation.add_node("d")
    simulation.run_until_stable(20)
    return simulation


def _lose(simulation, name):
    """Lose a node for good, with the messages that it would get."""
    del simulation.nodes[name]
    simulation.envelopes = [
        envelope for envelope in simulation.envelopes if envelope.to != name
    ]


def replacement_needs_majorities_of_both_sets():
    """Old and new voters never decide apart while a voter is replaced.

    Otherwise b and c, which do not know of the replacement, elect a leader
    while a and d commit entries.
    """
    simulation = _start_group_with_learner()
    assert simulation.change("replace", "a", "c", "d", True).is_ok()
    simulation.propose("a")
    exchange(simulation, "ad")
    if try_election(simulation, "b", "bc"):
        simulation.propose("b")
        exchange(simulation, "bc")
    simulation.check_agreement()


def loss_while_a_voter_is_replaced():
    """A voter that fails at any step of a replacement does not stop the group.

    The voter that is replaced still takes part, as in a planned stop.
    """
    for victim in "abcd":
        for steps in range(8):
            simulation = _start_group_with_learner()
            assert simulation.change("replace", "a", "c", "d", False).is_ok()
            exchange(simulation, "abcd", steps)
            _lose(simulation, victim)
            simulation.run_until_stable(120)
            leaders = simulation.find_leaders()
            simulation.check(bool(leaders), f"no leader without {victim}")
            last = max(simulation.committed)
            simulation.propose(leaders[0].name)
            simulation.run_until_stable(20)
            simulation.check(
                max(simulation.committed) > last, f"halt without {victim}"
            )


def new_leader_completes_a_replacement():
    """A leader that finds a replacement begun lets the new voters decide."""
    simulation = _start_group_with_learner()
    assert simulation.change("replace", "a", "c", "d", False).is_ok()
    exchange(simulation, "abd", 2)
    simulation.crash("a")
    simulation.run_until_stable(60)
    members = simulation.find_leaders()[0].replica.state.configuration
    simulation.check(not members.is_joint, "the replacement is not complete")
    simulation.check(set(members.voters) == set("abd"), "c has a vote")
    simulation.check(members.learners == ["c"], "c is no learner")


def learner_forgets_a_leader_that_is_gone():
    """A learner does not go on naming a leader that it no longer hears.

    It would tell entry VMs that it has a majority.
    """
    simulation = _start_group_with_learner()
    for name in "abc":
        simulation.crash(name)
    for _ in range(60):
        simulation.tick("d")
    leader = simulation.nodes["d"].replica.state.leader
    simulation.check(not leader, f"d still names {leader}")


def replaced_voter_comes_back_as_a_voter():
    """A voter that became a learner can be made a voter again."""
    simulation = _start_group_with_learner()
    assert simulation.change("replace", "a", "c", "d", False).is_ok()
    simulation.run_until_stable(20)
    assert simulation.change("replace", "a", "b", "c", True).is_ok()
    simulation.run_until_stable(20)
    members = simulation.nodes["a"].replica.state.configuration
    simulation.check(set(members.voters) == set("acd"), "c has no vote")
    simulation.check(members.retired == ["b"], "b is not retired")
    simulation.crash("a")
    simulation.run_until_stable(60)
    simulation.check_agreement()


ALL = (
    replacement_needs_majorities_of_both_sets,
    loss_while_a_voter_is_replaced,
    new_leader_completes_a_replacement,
    learner_forgets_a_leader_that_is_gone,
    replaced_voter_comes_back_as_a_voter,
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
    read_by_way_of_a_former_leader_is_refused,
    members_change_one_at_a_time,
    late_snapshot_drops_no_acknowledged_entry,
    lost_disk_does_not_vote,
    lost_disk_that_joins_anew_does_not_vote,
    long_isolation_disturbs_nobody,
    half_cut_replica_disturbs_nobody,
    second_failure_right_after_a_repair,
    voter_that_missed_its_promotion_votes,
)
