"""State of a replica's decisions, and the steps they share."""

import datetime
import enum

from buckthorntack import storage
from buckthorntack.consensus import _commands as commands
from buckthorntack.consensus import _configuration as configurations
from buckthorntack.consensus import _entry_log
from buckthorntack.consensus import _proposals
from buckthorntack.schema import messages


class Role(enum.StrEnum):
    """Role of a replica in its group."""

    FOLLOWER = "follower"
    #: Asks whether it would be elected, without starting a term.
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class State:
    """All that a replica knows.

    :param group: id of the group.
    :param node_id: this replica's node.
    :param first_voters: voters of a group that is started for the first time.
    :param recovered: what was found on the disk.
    :param timing: times and limits.
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
        #: Whether the vote of this node belongs to another disk.
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
        #: Members by the index from which they count, oldest first.
        self.history = [(info.index, first)]
        for entry in recovered.entries:
            note_configuration(self, entry)
        self.role = Role.FOLLOWER
        self.leader = ""
        self.heard_at = None
        self.election_due = None
        self.votes = set()
        self.incoming = None
        # What only a leader uses.
        self.progress = {}
        self.round = 0
        self.heartbeat_due = None
        self.term_start_index = 0
        self.uncommitted_bytes = 0
        self.transfer_to = ""
        self.transfer_due = None
        self.reads_waiting = []
        self.reads_asked = []
        self.elected_at = None
        self.proposals_term = 0
        self.proposals_seen = _proposals.SeenProposals()
        self.enrol_due = self.now

    @property
    def configuration(self):
        """Members that count now: the newest in the log."""
        return self.history[-1][1]

    @property
    def is_leader(self):
        """Whether this replica leads."""
        return self.role is Role.LEADER


def note_configuration(state, entry):
    """Let members in a log entry count.

    :param state: the replica's state.
    :param entry: entry that was added to the log.
    """
    if entry.kind == configurations.KIND_CONFIGURATION:
        decoded = configurations.decode(entry.data)
        state.history.append((entry.index, decoded))


def truncate(state, index):
    """Drop entries of the log, with the members in them.

    :param state: the replica's state.
    :param index: first index to drop.
    """
    state.log.truncate(index)
    state.persisted_index = min(state.persisted_index, index - 1)
    while len(state.history) > 1 and state.history[-1][0] >= index:
        state.history.pop()


def configuration_at(state, index):
    """Members at a place in the log.

    :param state: the replica's state.
    :param index: the place.
    """
    known = [members for place, members in state.history if place <= index]
    return known[-1] if known else state.history[0][1]


def send(state, to, message):
    """Ask to send a message.

    :param state: the replica's state.
    :param to: its receiver.
    :param message: the message.
    """
    state.commands.append(commands.Send(to, message))


def persist_hard_state(state):
    """Ask to make term, vote and identities last.

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
    """Ask to make new entries last.

    :param state: the replica's state.
    """
    if state.persisted_index == state.log.last_index:
        return
    entries = state.log.between(
        state.persisted_index + 1, state.log.last_index
    )
    state.persisted_index = state.log.last_index
    state.commands.append(commands.PersistEntries(entries))


def reset_election_timeout(state, shortest=None):
    """Draw a new election timeout.

    :param state: the replica's state.
    :param shortest: shortest silence, if it is not the usual one.
    """
    share = 1 + state.rng.random()
    silence = shortest or state.timing.election_timeout
    state.election_due = state.now + share * silence


def retry_election_soon(state):
    """Draw the time after which an election is tried again.

    :param state: the replica's state.
    """
    share = (1 + state.rng.random()) / 2
    state.election_due = state.now + share * state.timing.election_timeout


def change_role(state, role, leader=""):
    """Take a role and tell of it.

    :param state: the replica's state.
    :param role: the new role.
    :param leader: who leads, if known.
    """
    if (role, leader) == (state.role, state.leader):
        return
    state.role = role
    state.leader = leader
    state.commands.append(commands.RoleChanged(role, state.term, leader))


def follow(state, term, leader=""):
    """Become a follower.

    :param state: the replica's state.
    :param term: term to be in.
    :param leader: who leads, if known.
    """
    if term > state.term:
        state.term = term
        state.vote = ""
        persist_hard_state(state)
        state.leader = ""
    if state.is_leader:
        _drop_leadership(state)
    change_role(state, Role.FOLLOWER, leader)


def retire(state):
    """Take no more part, as the vote of this node has another disk.

    :param state: the replica's state.
    """
    if not state.replaced:
        state.replaced = True
        persist_hard_state(state)
    state.commands.append(commands.DiskReplaced(state.node_id))
    follow(state, state.term)


def _drop_leadership(state):
    refuse_reads(state)
    state.progress = {}
    state.transfer_to = ""
    reset_election_timeout(state)


def refuse_reads(state):
    """Tell all waiting readers that they can't be served.

    :param state: the replica's state.
    """
    reads = state.reads_waiting + [read for _, _, read in state.reads_asked]
    state.reads_waiting = []
    state.reads_asked = []
    for read in reads:
        refuse_read(state, read)


def refuse_read(state, read):
    """Tell a reader that it can't be served.

    :param state: the replica's state.
    :param read: the read.
    """
    if read.origin == state.node_id:
        state.commands.append(commands.ReadRefused(read.read_id))
        return
    message = messages.ReadResponse(state.group, read.read_id, -1)
    send(state, read.origin, message)


def hears_leader(state):
    """Whether a leader was heard within the shortest election timeout.

    :param state: the replica's state.
    """
    if state.is_leader:
        return True
    if not state.leader or state.heard_at is None:
        return False
    return state.now - state.heard_at < state.timing.election_timeout
