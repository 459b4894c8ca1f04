"""Log events of the ledger package."""

import logbook

from buckthorntack import events

OUTCOME_UNKNOWN = events.declare(
    600,
    "ledger_outcome_unknown",
    logbook.WARNING,
    "The holder of a claim was lost; the outcome could not be determined.",
    "check at the service whether the request ran",
)
LATE_GRANT = events.declare(
    601,
    "ledger_late_grant",
    logbook.INFO,
    "A claim was granted after its attempt was abandoned; it is released.",
)
PROPOSAL_FAILED = events.declare(
    602,
    "ledger_proposal_failed",
    logbook.WARNING,
    "This replica did not commit a batch; senders try another replica.",
    "check the links between the replicas of the home",
)
SETTLEMENT_KEPT = events.declare(
    603,
    "ledger_settlement_kept",
    logbook.WARNING,
    "The home has not confirmed an outcome yet; it is sent again.",
    "check the links from this node to the home",
)
CLAIM_DECIDED = events.declare(
    604,
    "ledger_claim_decided",
    logbook.DEBUG,
    "A claim was decided.",
)
