"""Error kinds of the configuration package."""

from buckthorntack import errors


class ChangeIdReusedError(errors.GatewayError):
    """A change id was used again with different content."""

    number = 510
    status = 409
    kind = "change_id_reused"
    remedy = "send the new content with a new change id"


class ChangeOutcomeUnknownError(errors.GatewayError):
    """It is not known whether a change was accepted."""

    number = 511
    status = 504
    kind = "change_outcome_unknown"
    remedy = "send the same change again; it is applied once"
    run_state = errors.RunState.UNKNOWN


class RevisionNotReachedError(errors.GatewayError):
    """A revision did not become active in time."""

    number = 512
    status = 503
    kind = "revision_not_reached"
    remedy = "retry; check the links from this node to the control VMs"


class InvalidChangeError(errors.GatewayError):
    """A change does not match the schema."""

    number = 513
    status = 400
    kind = "invalid_change"
    remedy = "correct the fields named"
