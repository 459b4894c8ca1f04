"""Program of a node on the users' platform."""

import asyncio
import gc
import os
import random
import sys

from buckthorntack import clock
from buckthorntack import errors
from buckthorntack import events
from buckthorntack import gateway
from buckthorntack import logs
from buckthorntack.platform import _control_api
from buckthorntack.platform import _dialect
from buckthorntack.platform import _entry_api
from buckthorntack.platform import _events
from buckthorntack.platform import _settings


def make_node(settings):
    """The node that the settings ask for.

    :param settings: ``gateway.NodeSettings``.
    """
    kinds = {
        "entry": (gateway.EntryNode, _entry_api.make_handlers),
        "control": (gateway.ControlNode, _control_api.make_handlers),
    }
    make, make_handlers = kinds[settings.role]
    return make(
        settings,
        _dialect.PlatformDialect(),
        clock.SystemClock(),
        random.SystemRandom(),
        make_handlers,
    )


def main():
    """Run the node until it is told to stop.

    :returns: exit code.
    """
    path = os.environ.get(_settings.PATH_VARIABLE, "")
    with logs.standard_output():
        log = events.EventLog("platform")
        try:
            node = make_node(_settings.load_settings(path))
            # Objects made so far live as long as the process.
            gc.freeze()
            work = gateway.run(node, _settings.load_settings, path)
            return asyncio.run(work)
        except (errors.GatewayError, OSError) as error:
            log.write(_events.START_FAILED, error=repr(error))
            return 1


if __name__ == "__main__":
    sys.exit(main())
