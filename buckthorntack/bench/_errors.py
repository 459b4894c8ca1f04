"""Error kinds of the load tool."""

from buckthorntack import errors


class ScheduleError(errors.GatewayError):
    """A fault schedule cannot be used."""

    number = 1600
    kind = "faulty_schedule"
    remedy = "mend the schedule; see docs/LOAD.md for its fields"


class UnknownPolicyError(errors.GatewayError):
    """A routing policy of this name does not exist."""

    number = 1601
    kind = "unknown_policy"
    remedy = "name policies that 'buckthorntack load --help' lists"
