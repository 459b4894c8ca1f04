"""Log events of credentials and keys."""

import logbook

from buckthorntack import events

TOKEN_REFUSED = events.declare(
    1800,
    "token_refused",
    logbook.NOTICE,
    "A caller or operator sent no token, or an unknown or expired one.",
    "give the caller a valid token; frequent events can be an attack",
)
ATTEMPT_ID_REFUSED = events.declare(
    1801,
    "attempt_id_refused",
    logbook.NOTICE,
    "An attempt id was not issued to the organisation that used it.",
    "frequent events of one organisation can be an attack",
)
ROLE_REFUSED = events.declare(
    1802,
    "role_refused",
    logbook.NOTICE,
    "An operator's role does not allow the call.",
    "use the token of an operator with the required role",
)
KEY_FILE_UNUSABLE = events.declare(
    1803,
    "key_file_unusable",
    logbook.ERROR,
    "A key file is missing, readable by other users, or malformed.",
    "recreate the file with 'buckthorntack keys'",
)
