"""Events of settings and secrets."""

import logbook

from buckthorntack import events

SETTINGS_FAULTY = events.declare(
    100,
    "settings_faulty",
    logbook.ERROR,
    "The settings file has faults; the process does not start.",
    "mend each path named; 'buckthorntack settings-schema' prints the schema",
)
SECRET_FILE_UNUSABLE = events.declare(
    101,
    "secret_file_unusable",
    logbook.ERROR,
    "A file of secrets is missing, readable by others, or malformed.",
    "make it a regular file of mode 600, or write it anew with "
    "'buckthorntack keys'",
)
SETTINGS_LOADED = events.declare(
    102,
    "settings_loaded",
    logbook.INFO,
    "The settings were read and hold no fault.",
)
