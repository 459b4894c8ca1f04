"""Log events of the ledger package."""

import logbook

from buckthorntack import events

OUTCOME_UNKNOWN = events.declare(
    600,
    "ledger_outcome_unknown",
    logbook.WARNING,
    "The holder of a claim was lost and the outcome could not be found out.",
    "look up at the service whether the request ran",
)
LATE_GRANT = events.declare(
    601,
    "ledger_late_grant",
    logbook.INFO,
    "A claim was granted after its attempt was given up; it is released.",
)
PROPOSAL_FAILED = events.declare(
    602,
    "ledger_proposal_failed",
    logbook.WARNING,
    "A batch was not committed by this replica; senders try another.",
    "look at the links between the replicas of the home",
)
SETTLEMENT_KEPT = events.declare(
    603,
    "ledger_settlement_kept",
    logbook.WARNING,
    "An outcome could not be told to the home yet; it is sent again.",
    "look at the links from this node to the home",
)
CLAIM_DECIDED = events.declare(
    604,
    "ledger_claim_decided",
    logbook.DEBUG,
    "A claim was decided.",
)
