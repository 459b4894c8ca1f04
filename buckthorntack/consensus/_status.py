"""Status of a replica."""

from typing import NamedTuple


class PeerStatus(NamedTuple):
    """Status of another member, as the leader sees it."""

    node_id: str
    match_index: int
    heard_ms_ago: int | None
    caught_up: bool
    receives_snapshot: bool


class ReplicaStatus(NamedTuple):
    """Status of a replica and its group, as the replica sees it."""

    group: str
    node_id: str
    identity: str
    role: str
    term: int
    leader: str
    can_vote: bool
    last_index: int
    commit_index: int
    applied_index: int
    snapshot_index: int
    voters: list[str]
    learners: list[str]
    retired: list[str]
    #: Voters before a replacement that is not complete; otherwise empty.
    outgoing: list[str]
    #: Other members; empty unless this replica is the leader.
    peers: list[PeerStatus]
    #: Text of the error that stopped the replica; empty while it runs.
    failure: str
