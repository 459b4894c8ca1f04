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
    "A change of the group's voters or learners was committed.",
)
DISK_REPLACED = events.declare(
    402,
    "replica_disk_replaced",
    logbook.ERROR,
    "A voter runs on a different disk from the one recorded for it; its "
    "responses are ignored.",
    "start the VM under a new node id, add it as a learner, promote it and "
    "remove the old id",
)
REPLICA_FAILED = events.declare(
    403,
    "replica_failed",
    logbook.CRITICAL,
    "A replica stopped because of an error; it acknowledges nothing more.",
    "follow the remedy of the error",
)
SNAPSHOT_RESTORED = events.declare(
    404,
    "snapshot_restored",
    logbook.NOTICE,
    "A replica replaced its log by a snapshot from the leader.",
)
SNAPSHOT_SENT = events.declare(
    405,
    "snapshot_sent",
    logbook.INFO,
    "The leader started to send a snapshot to a replica.",
)
ENROLLED = events.declare(
    406,
    "voter_enrolled",
    logbook.NOTICE,
    "All first voters recorded this replica's disk; it may vote.",
)
MESSAGE_REFUSED = events.declare(
    407,
    "replica_message_out_of_range",
    logbook.ERROR,
    "A message of another replica has a value out of range and was passed "
    "over.",
    "compare the builds of both control VMs, and check the sender's disk",
)
DISK_FULL = events.declare(
    408,
    "replica_disk_full",
    logbook.ERROR,
    "A replica has no room for a write; until it has, it takes no part in its "
    "group and refuses calls.",
    "free space on the disk of the data folder; no restart is needed",
)
DISK_HAS_ROOM = events.declare(
    409,
    "replica_disk_has_room",
    logbook.NOTICE,
    "The disk of a replica has room again; the replica takes part again.",
)
SNAPSHOT_DELAYED = events.declare(
    410,
    "snapshot_delayed",
    logbook.WARNING,
    "The disk has no room for a snapshot; the log is kept until a later one.",
    "free space on the disk of the data folder",
)
CALLS_WITHDRAWN = events.declare(
    411,
    "replica_calls_withdrawn",
    logbook.NOTICE,
    "Calls waited at a replica until their callers had left or were told that "
    "the outcome is unknown, and were not begun; field calls has their "
    "number.",
    "check whether the disk of the data folder is slow or the VM stood still",
)
