"""Run the command line as ``python -m buckthorntack``."""

import sys

from buckthorntack import cli

if __name__ == "__main__":
    sys.exit(cli.main())
