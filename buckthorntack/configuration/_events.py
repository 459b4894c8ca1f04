"""Log events of the configuration package."""

import logbook

from buckthorntack import events

CHANGE_DECIDED = events.declare(
    500,
    "configuration_change_decided",
    logbook.INFO,
    "A proposed change was accepted, refused or conflicted with another.",
)
CHANGE_PENDING = events.declare(
    501,
    "configuration_change_pending",
    logbook.INFO,
    "A change that takes organisations out of regions awaits confirmation.",
)
CHANGE_WITHDRAWN = events.declare(
    502,
    "configuration_change_withdrawn",
    logbook.WARNING,
    "A pending change was withdrawn because entry VMs did not confirm it.",
    "restore the links to the entry VMs named, or list those that are stopped "
    "in stopped_entry_vms of a new change",
)
REVISION_ACTIVATED = events.declare(
    503,
    "configuration_in_force",
    logbook.INFO,
    "A new revision is active on this entry VM.",
)
SOURCE_CHANGED = events.declare(
    504,
    "configuration_source_changed",
    logbook.INFO,
    "This entry VM follows another control VM for the configuration.",
)
ENTRY_REGISTERED = events.declare(
    505,
    "configuration_entry_registered",
    logbook.INFO,
    "An entry VM was registered in the log or removed from it.",
)
COPY_NOT_WRITTEN = events.declare(
    506,
    "configuration_copy_not_written",
    logbook.ERROR,
    "The durable copy could not be written; the revision is not active.",
    "free space in the data folder or replace the disk",
)
HISTORY_DIFFERS = events.declare(
    507,
    "configuration_history_differs",
    logbook.ERROR,
    "A source has a different history for the same revision.",
    "stop the source named and compare its data folder with the others",
)
COPY_UNREADABLE = events.declare(
    508,
    "configuration_copy_unreadable",
    logbook.WARNING,
    "A file of the durable copy cannot be read; what it held is fetched from "
    "a control VM.",
    "check the disk; after a return to an earlier build none is needed",
)
