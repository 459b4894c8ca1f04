"""Times and limits of a replicated group."""

import datetime
from typing import NamedTuple


class Timing(NamedTuple):
    """Times and limits of a replicated group.

    The defaults suit a one-way network latency of 55 ms.
    """

    #: Interval at which a replica checks its deadlines.
    tick: datetime.timedelta = datetime.timedelta(milliseconds=200)
    #: Interval between heartbeats of a leader.
    heartbeat: datetime.timedelta = datetime.timedelta(milliseconds=400)
    #: Shortest time without contact after which a follower starts an
    #: election.  Each timeout is random, up to twice as long.
    election_timeout: datetime.timedelta = datetime.timedelta(
        milliseconds=1600
    )
    #: Time from a start to the first election, for the voter whose turn is
    #: first; None means a random time, as after lost contact.  A short time
    #: does not make a restart disruptive, as replicas with an active leader
    #: ignore vote requests.
    first_election_timeout: datetime.timedelta | None = None
    #: Time between the first elections of two voters that start together; two
    #: round trips decide an election.
    first_election_interval: datetime.timedelta = datetime.timedelta(
        milliseconds=250
    )
    #: Longest time that a caller waits for a proposal or read.
    request_timeout: datetime.timedelta = datetime.timedelta(seconds=6)
    #: Most unacknowledged messages with entries for one follower.
    window_messages: int = 64
    #: Most bytes of entries in them; a larger entry is on its way alone.  What
    #: a link has not sent yet holds up heartbeats behind it.
    window_bytes: int = 1024 * 1024
    #: Most bytes of entries in one message; a larger entry is sent alone.
    message_bytes: int = 64 * 1024
    #: Most bytes of entries that a leader sends before it knows how far the
    #: logs match.  They go out again with each heartbeat until the answer.
    probe_bytes: int = 64 * 1024
    #: Bytes of uncommitted entries at which a leader refuses more commands.
    uncommitted_bytes: int = 16 * 1024 * 1024
    #: Most proposals that may wait at one replica.
    waiting_proposals: int = 4096
    #: Most bytes of a snapshot in one chunk.  A chunk is sent only after the
    #: chunk before it was acknowledged.
    chunk_bytes: int = 64 * 1024
    #: Shortest time between two chunks of a snapshot.
    chunk_interval: datetime.timedelta = datetime.timedelta(milliseconds=100)
    #: Number of applied entries after which a snapshot is taken.
    snapshot_entries: int = 1000
    #: Bytes of applied entries after which a snapshot is taken.
    snapshot_bytes: int = 4 * 1024 * 1024
    #: Time between two tries of a write for which the disk has no room.
    disk_full_retry: datetime.timedelta = datetime.timedelta(milliseconds=200)
    #: Time from a snapshot for which the disk has no room to the next one.
    snapshot_retry: datetime.timedelta = datetime.timedelta(seconds=5)
    #: Most bytes of entries that a replica without any is sent; in place of
    #: more it is sent a snapshot.
    replayed_bytes: int = 256 * 1024
    #: Entries kept in memory before a snapshot, so that followers that are
    #: slightly behind need no snapshot.
    kept_entries: int = 200
    #: Most bytes of these entries: four of the largest configurations.
    kept_bytes: int = 16 * 1024 * 1024
    #: Most entries that a learner may lack when it is promoted.
    promotion_lag_entries: int = 16
