"""What a replica tells of itself."""

from typing import NamedTuple


class PeerStatus(NamedTuple):
    """What a leader knows of another member."""

    node_id: str
    match_index: int
    heard_ms_ago: int | None
    caught_up: bool
    receives_snapshot: bool


class ReplicaStatus(NamedTuple):
    """What a replica knows of itself and its group."""

    group: str
    node_id: str
    identity: str
    role: str
    term: int
    leader: str
    may_vote: bool
    last_index: int
    commit_index: int
    applied_index: int
    snapshot_index: int
    voters: list[str]
    learners: list[str]
    retired: list[str]
    #: Other members, as the leader sees them; empty elsewhere.
    peers: list[PeerStatus]
    #: Why the replica stopped; empty while it runs.
    failure: str
