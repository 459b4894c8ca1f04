"""Events of credentials and keys."""

import logbook

from buckthorntack import events

TOKEN_REFUSED = events.declare(
    1800,
    "token_refused",
    logbook.NOTICE,
    "A caller or operator gave no token, or one that is not known or expired.",
    "give the caller a valid token; many of these may be an attack",
)
ATTEMPT_ID_REFUSED = events.declare(
    1801,
    "attempt_id_refused",
    logbook.NOTICE,
    "An attempt id was not issued to the organisation that used it.",
    "many of these from one organisation may be an attack",
)
ROLE_REFUSED = events.declare(
    1802,
    "role_refused",
    logbook.NOTICE,
    "An operator's role does not allow the call.",
    "use an operator with the role named",
)
KEY_FILE_UNUSABLE = events.declare(
    1803,
    "key_file_unusable",
    logbook.ERROR,
    "A key file is missing, open to others, or malformed.",
    "write it anew with 'buckthorntack keys'",
)
