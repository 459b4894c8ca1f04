"""Events of the storage."""

import logbook

from buckthorntack import events

TAIL_REPAIRED = events.declare(
    300,
    "log_tail_repaired",
    logbook.WARNING,
    "An incomplete write at the end of the log was truncated on opening.",
    "none needed if the process or VM had crashed",
)
SNAPSHOT_SAVED = events.declare(
    301,
    "snapshot_saved",
    logbook.INFO,
    "A snapshot is durable; log segments that it covers were removed.",
)
FOLDER_OPENED = events.declare(
    302,
    "data_folder_opened",
    logbook.INFO,
    "The durable state of a replica was read at its start.",
)
SEGMENT_DELAYED = events.declare(
    303,
    "log_segment_delayed",
    logbook.WARNING,
    "The disk has no space for the next segment of the log; the next write "
    "starts it.",
    "free space on the disk of the data folder",
)
