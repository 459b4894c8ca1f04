"""Events of settings and secrets."""

import logbook

from buckthorntack import events

SETTINGS_FAULTY = events.declare(
    100,
    "settings_faulty",
    logbook.ERROR,
    "The settings file is invalid; the process does not start.",
    "correct each listed path; 'buckthorntack settings-schema' prints the "
    "schema",
)
SECRET_FILE_UNUSABLE = events.declare(
    101,
    "secret_file_unusable",
    logbook.ERROR,
    "A secret file is missing, accessible to other users, or malformed.",
    "make it a regular file of mode 600, or recreate it with "
    "'buckthorntack keys'",
)
SETTINGS_LOADED = events.declare(
    102,
    "settings_loaded",
    logbook.INFO,
    "The settings were read and are valid.",
)
