"""Generated from consensus.json: do not edit."""

from __future__ import annotations

from typing import NamedTuple


class LogEntry(NamedTuple):
    """
    One entry of a replicated log.
    """

    index: int
    term: int
    kind: str
    proposal_id: str
    data: bytes


class VoteRequest(NamedTuple):
    """
    A candidate asks for a vote.
    """

    group: str
    term: int
    last_index: int
    last_term: int
    voter_identity: str
    trial: bool
    transfer: bool


class VoteResponse(NamedTuple):
    """
    Answer to a request for a vote.
    """

    group: str
    term: int
    granted: bool
    trial: bool


class AppendRequest(NamedTuple):
    """
    The leader's entries, or its heartbeat if there are none.
    """

    group: str
    term: int
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit_index: int
    round: int
    voter_identity: str


class AppendResponse(NamedTuple):
    """
    Answer to entries or a heartbeat.
    """

    group: str
    term: int
    identity: str
    accepted: bool
    match_index: int
    previous_index: int
    round: int


class SnapshotChunk(NamedTuple):
    """
    A part of a snapshot for a replica that lacks released entries.
    """

    group: str
    term: int
    index: int
    index_term: int
    configuration: bytes
    offset_bytes: int
    total_bytes: int
    data: bytes


class SnapshotChunkResponse(NamedTuple):
    """
    Tells how much of a snapshot was received.
    """

    group: str
    term: int
    identity: str
    index: int
    received_bytes: int
    installed: bool


class TransferRequest(NamedTuple):
    """
    The leader asks a voter to take over at once.
    """

    group: str
    term: int


class EnrolRequest(NamedTuple):
    """
    A new voter makes its disk's identity known before the first vote.
    """

    group: str
    identity: str


class EnrolResponse(NamedTuple):
    """
    Answer to an enrolment.
    """

    group: str
    identity: str
    known_identity: str


class ForwardedProposal(NamedTuple):
    """
    A proposal handed to the leader.
    """

    group: str
    term: int
    proposal_id: str
    command: bytes


class ProposalRefused(NamedTuple):
    """
    The leader did not and will not add the proposal.
    """

    group: str
    proposal_id: str


class ReadRequest(NamedTuple):
    """
    Asks the leader which index a read must wait for.
    """

    group: str
    read_id: int


class ReadResponse(NamedTuple):
    """
    Index that a read must wait for.
    """

    group: str
    read_id: int
    index: int
