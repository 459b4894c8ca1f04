"""Errors of membership."""

from buckthorntack import errors


class StaleAnnouncementError(errors.GatewayError):
    """An announcement is older than one that was accepted before."""

    number = 702
    status = 409
    kind = "stale_announcement"
    remedy = "announce with a higher incarnation after each start"


class ForeignAnnouncementError(errors.GatewayError):
    """An announcement is for another failure domain."""

    number = 702
    status = 421
    kind = "foreign_announcement"
    remedy = "announce to an entry VM of the backend server's failure domain"


class UnknownAgeError(errors.GatewayError):
    """The age of an announcement is unknown, as it has no valid echo."""

    number = 708
    status = 409
    kind = "unknown_age"
    remedy = "announce again with the echo of this answer"


class TableFullError(errors.GatewayError):
    """The table of backend servers is full."""

    number = 702
    status = 503
    kind = "membership_full"
    remedy = "withdraw backend servers or split the failure domain"


class ItemRefusedError(errors.GatewayError):
    """An item is too large, has no time to live or is outdated."""

    number = 707
    status = 400
    kind = "item_refused"
    remedy = "publish a smaller value, a longer time to live or a new version"
