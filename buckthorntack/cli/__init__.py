"""Command line."""

from buckthorntack.cli._context import Context
from buckthorntack.cli._exit_codes import ExitCode
from buckthorntack.cli._main import main
from buckthorntack.cli._main import make_parser
from buckthorntack.cli._main import run

__all__ = ["Context", "ExitCode", "main", "make_parser", "run"]
