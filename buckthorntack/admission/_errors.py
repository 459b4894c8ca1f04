"""Errors of admission; each is raised before the request has run."""

from buckthorntack import errors


class QuotaExceededError(errors.GatewayError):
    """The organisation's quota is used up for now."""

    number = 910
    status = 429
    kind = "quota_exceeded"
    remedy = (
        "retry after the stated time; operators: raise the organisation's "
        "quota if it is too small"
    )


class QueueFullError(errors.GatewayError):
    """The request was shed because the queue is full."""

    number = 911
    status = 503
    kind = "queue_full"
    remedy = (
        "retry after the stated time; operators: add backend servers or "
        "raise the organisation's priority"
    )


class DeadlineError(errors.GatewayError):
    """The request cannot start, or did not start, before its deadline."""

    number = 912
    status = 503
    kind = "deadline_before_start"
    remedy = (
        "retry after the stated time or with a later deadline; operators: "
        "add backend servers"
    )
