"""Times and limits of a replicated group."""

import datetime
from typing import NamedTuple


class Timing(NamedTuple):
    """Times and limits of a replicated group.

    The defaults suit links of 55 ms one way.
    """

    #: How often a replica looks at its deadlines.
    tick: datetime.timedelta = datetime.timedelta(milliseconds=200)
    #: How often a leader that has nothing to send makes itself heard.
    heartbeat: datetime.timedelta = datetime.timedelta(milliseconds=400)
    #: Shortest silence after which a leader counts as lost; the longest is
    #: twice that.
    election_timeout: datetime.timedelta = datetime.timedelta(
        milliseconds=1600
    )
    #: Shortest silence after a start until the first election; the longest is
    #: twice that; the usual one if it is None.  Replicas that hear a leader
    #: do not answer, so a restart does not disturb them.
    first_election_timeout: datetime.timedelta | None = None
    #: Longest wait for a proposal or read.
    request_timeout: datetime.timedelta = datetime.timedelta(seconds=6)
    #: Messages with entries that a leader sends ahead of a follower's answer.
    window_messages: int = 64
    #: Bytes of commands in one message.
    message_bytes: int = 64 * 1024
    #: Bytes of commands that a leader takes before they are committed.
    uncommitted_bytes: int = 16 * 1024 * 1024
    #: Proposals that may wait at one replica.
    waiting_proposals: int = 4096
    #: Bytes of a snapshot in one message; one message is on its way at once.
    chunk_bytes: int = 64 * 1024
    #: Shortest time between two parts of a snapshot.
    chunk_interval: datetime.timedelta = datetime.timedelta(milliseconds=100)
    #: Applied entries after which a snapshot is taken.
    snapshot_entries: int = 1000
    #: Bytes of applied entries after which a snapshot is taken.
    snapshot_bytes: int = 4 * 1024 * 1024
    #: Entries kept before a snapshot for followers that are a little behind.
    kept_entries: int = 200
    #: Entries that a learner may lack when it is promoted.
    promotion_lag_entries: int = 16
