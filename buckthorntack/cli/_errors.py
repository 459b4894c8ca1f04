"""Errors of the command line."""

from buckthorntack import errors
from buckthorntack.cli import _exit_codes


class CommandError(errors.GatewayError):
    """A command cannot be carried out."""

    number = 1700
    kind = "command_failed"
    remedy = "see 'buckthorntack <command> --help'"
    exit_code = _exit_codes.ExitCode.USAGE
    #: Whether another try may do better.
    is_temporary = False


class UsageError(CommandError):
    """Options or files named on the command line cannot be used."""

    number = 1701
    kind = "usage"


class UnreachableError(CommandError):
    """No control VM answered in time."""

    number = 1702
    kind = "unreachable"
    remedy = "name other control VMs with --server, or try again later"
    run_state = errors.RunState.UNKNOWN
    exit_code = _exit_codes.ExitCode.UNREACHABLE
    is_temporary = True


class RefusedError(CommandError):
    """A control VM refused a call.

    :param answer: the ``AdminError`` it gave.
    """

    number = 1703
    kind = "refused"
    remedy = "see the message of the control VM"
    exit_code = _exit_codes.ExitCode.REFUSED

    def __init__(self, answer):
        super().__init__(f"event {answer['number']}: {answer['message']}")
        self.answer = answer
        self.remedy = answer["remedy"]
        self.run_state = errors.RunState(answer["run_state"])
