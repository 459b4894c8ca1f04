"""Events of the durable state."""

import logbook

from buckthorntack import events

TAIL_REPAIRED = events.declare(
    300,
    "log_tail_repaired",
    logbook.WARNING,
    "An unfinished write at the end of the log was cut off on opening.",
    "none needed if the process or VM had stopped suddenly",
)
SNAPSHOT_SAVED = events.declare(
    301,
    "snapshot_saved",
    logbook.INFO,
    "A snapshot is durable; the log before it is released.",
)
FOLDER_OPENED = events.declare(
    302,
    "data_folder_opened",
    logbook.INFO,
    "The durable state of a replica was read.",
)
