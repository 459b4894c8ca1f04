"""Raft state of a replica, and the state transitions that modules share."""

import datetime
import enum

from buckthorntack import storage
from buckthorntack.consensus import _commands as commands
from buckthorntack.consensus import _configuration as configurations
from buckthorntack.consensus import _entry_log
from buckthorntack.consensus import _proposals
from buckthorntack.consensus import _ranges
from buckthorntack.schema import messages


class Role(enum.StrEnum):
    """Role of a replica in its group."""

    FOLLOWER = "follower"
    #: Asks for pre-votes, without starting a term.
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class State:
    """Raft state of a replica.

    :param group: id of the group.
    :param node_id: node id of this replica.
    :param first_voters: voters of the group when it was first started.
    :param recovered: ``storage.RecoveredState`` read from the disk.
    :param timing: a ``Timing``.
    :param rng: source of randomness.
    """

    def __init__(self, group, node_id, first_voters, recovered, timing, rng):
        self.group = group
        self.node_id = node_id
        self.first_voters = tuple(first_voters)
        self.identity = recovered.identity
        self.timing = timing
        self.rng = rng
        self.now = datetime.timedelta()
        self.commands = []
        self.term = recovered.hard_state.term
        self.vote = recovered.hard_state.vote
        self.peers = dict(recovered.hard_state.peers)
        self.enrolled = recovered.hard_state.enrolled
        #: Whether the group has recorded another disk for this voter.
        self.replaced = recovered.hard_state.replaced
        info = storage.SnapshotInfo()
        if recovered.snapshot is not None:
            info = recovered.snapshot.info
        self.snapshot_index = info.index
        self.log = _entry_log.EntryLog(
            info.index, info.term, recovered.entries
        )
        self.persisted_index = self.log.last_index
        self.commit_index = info.index
        first = configurations.decode(info.configuration)
        if not info.index:
            voters = dict.fromkeys(self.first_voters, "")
            first = configurations.Configuration(voters)
        #: Pairs of the log index from which a configuration holds and that
        #: configuration, oldest first.
        self.history = [(info.index, first)]
        for entry in recovered.entries:
            record_configuration(self, entry)
        self.role = Role.FOLLOWER
        self.leader = ""
        self.heard_at = None
        #: When this replica last had all that its leader had committed.
        self.in_step_at = None
        self.election_due = None
        self.votes = set()
        self.incoming = None
        # State of this replica as a leader, except ``enrol_due``.
        self.progress = {}
        self.round = 0
        self.heartbeat_due = None
        self.term_start_index = 0
        self.uncommitted_bytes = 0
        self.transfer_to = ""
        self.transfer_due = None
        self.pending_reads = []
        self.unconfirmed_reads = []
        self.elected_at = None
        self.proposals_term = 0
        self.proposals_seen = _proposals.SeenProposals()
        self.enrol_due = self.now

    @property
    def configuration(self):
        """Current members: the newest configuration in the log."""
        return self.history[-1][1]

    @property
    def is_leader(self):
        """Whether this replica is the leader."""
        return self.role is Role.LEADER


def record_configuration(state, entry):
    """Make the configuration in a new log entry the current one.

    Entries of other kinds have no effect.

    :param state: the replica's state.
    :param entry: entry that was appended to the log.
    """
    if entry.kind == configurations.KIND_CONFIGURATION:
        decoded = configurations.decode(entry.data)
        state.history.append((entry.index, decoded))


def truncate(state, index):
    """Remove log entries from an index on, with their configurations.

    :param state: the replica's state.
    :param index: first index to remove.
    """
    state.log.truncate(index)
    state.persisted_index = min(state.persisted_index, index - 1)
    while len(state.history) > 1 and state.history[-1][0] >= index:
        state.history.pop()


def configuration_at(state, index):
    """Configuration that holds at a log index.

    :param state: the replica's state.
    :param index: the log index.
    :returns: a ``Configuration``.
    """
    known = [members for since, members in state.history if since <= index]
    return known[-1] if known else state.history[0][1]


def send(state, to, message):
    """Add a command to send a message.

    :param state: the replica's state.
    :param to: node id of the receiver.
    :param message: the message.
    """
    state.commands.append(commands.Send(to, message))


def persist_hard_state(state):
    """Add a command to store term, vote and disk identities durably.

    :param state: the replica's state.
    """
    hard_state = storage.HardState(
        state.term,
        state.vote,
        dict(state.peers),
        state.enrolled,
        state.replaced,
    )
    state.commands.append(commands.PersistHardState(hard_state))


def persist_entries(state):
    """Add a command to store new log entries durably.

    :param state: the replica's state.
    """
    if state.persisted_index == state.log.last_index:
        return
    entries = state.log.between(
        state.persisted_index + 1, state.log.last_index
    )
    state.persisted_index = state.log.last_index
    state.commands.append(commands.PersistEntries(entries))


def reset_election_timeout(state):
    """Restart the election timeout with a random length.

    :param state: the replica's state.
    """
    factor = 1 + state.rng.random()
    state.election_due = state.now + factor * state.timing.election_timeout


def schedule_election_retry(state):
    """Schedule the next election attempt at a random time.

    :param state: the replica's state.
    """
    factor = (1 + state.rng.random()) / 2
    state.election_due = state.now + factor * state.timing.election_timeout


def change_role(state, role, leader=""):
    """Change the role or known leader and report it.

    :param state: the replica's state.
    :param role: the new role.
    :param leader: node id of the leader; empty if unknown.
    """
    if (role, leader) == (state.role, state.leader):
        return
    state.role = role
    state.leader = leader
    state.commands.append(commands.RoleChanged(role, state.term, leader))


def become_follower(state, term, leader=""):
    """Become a follower.

    :param state: the replica's state.
    :param term: term to enter; a lower one than the current has no effect.
    :param leader: node id of the leader; empty if unknown.
    """
    if term > state.term:
        state.term = term
        state.vote = ""
        persist_hard_state(state)
        state.leader = ""
    if state.is_leader:
        _clear_leader_state(state)
    change_role(state, Role.FOLLOWER, leader)


def mark_disk_replaced(state):
    """Record that the group knows another disk for this voter.

    The replica stops leading, and neither votes nor starts elections again.

    :param state: the replica's state.
    """
    if not state.replaced:
        state.replaced = True
        persist_hard_state(state)
    state.commands.append(commands.DiskReplaced(state.node_id))
    become_follower(state, state.term)


def _clear_leader_state(state):
    refuse_reads(state)
    state.progress = {}
    state.transfer_to = ""
    reset_election_timeout(state)


def refuse_reads(state):
    """Refuse all reads that are not confirmed yet.

    :param state: the replica's state.
    """
    reads = state.pending_reads + [
        read for _, _, read in state.unconfirmed_reads
    ]
    state.pending_reads = []
    state.unconfirmed_reads = []
    for read in reads:
        refuse_read(state, read)


def refuse_read(state, read):
    """Refuse a read, as no leader can confirm it now.

    :param state: the replica's state.
    :param read: the read.
    """
    if read.origin == state.node_id:
        state.commands.append(commands.ReadRefused(read.read_id))
        return
    message = messages.ReadResponse(
        state.group, read.read_id, _ranges.NO_READ_INDEX
    )
    send(state, read.origin, message)


def has_active_leader(state):
    """Whether a leader made contact within the shortest election timeout.

    A leader counts itself.

    :param state: the replica's state.
    """
    if state.is_leader:
        return True
    if not state.leader or state.heard_at is None:
        return False
    return state.now - state.heard_at < state.timing.election_timeout


def is_in_step(state, now):
    """Whether this replica lately had all that its leader had committed.

    It is not while its disk is full or hangs, right after it stood still, or
    while it catches up; the leader may be known all the while.

    :param state: the replica's state.
    :param now: monotonic time, as the replica may have acted long ago.
    """
    if not state.leader or state.in_step_at is None:
        return False
    return now - state.in_step_at < state.timing.election_timeout
