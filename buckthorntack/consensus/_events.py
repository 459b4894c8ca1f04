"""Events of replicated groups."""

import logbook

from buckthorntack import events

ROLE_CHANGED = events.declare(
    400,
    "replica_role_changed",
    logbook.NOTICE,
    "A replica became leader, candidate or follower.",
)
MEMBERS_CHANGED = events.declare(
    401,
    "group_members_changed",
    logbook.NOTICE,
    "A change of the group's voters or learners is committed.",
)
DISK_REPLACED = events.declare(
    402,
    "replica_disk_replaced",
    logbook.ERROR,
    "A voter answers from another disk than the one it voted with; its "
    "answers do not count.",
    "start the VM under a new node id, add it as a learner, promote it and "
    "remove the old id",
)
REPLICA_FAILED = events.declare(
    403,
    "replica_failed",
    logbook.CRITICAL,
    "A replica stopped because of an error, before acknowledging anything.",
    "follow the remedy of the error",
)
SNAPSHOT_RESTORED = events.declare(
    404,
    "snapshot_restored",
    logbook.NOTICE,
    "A replica took the leader's snapshot in place of its log.",
)
SNAPSHOT_SENT = events.declare(
    405,
    "snapshot_sent",
    logbook.INFO,
    "The leader began to send a snapshot to a replica.",
)
ENROLLED = events.declare(
    406,
    "voter_enrolled",
    logbook.NOTICE,
    "All first voters know this replica's disk; it may vote.",
)
