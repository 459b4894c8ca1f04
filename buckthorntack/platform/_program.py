"""Node that runs until it is told to stop."""

import gc
import importlib
import os
import random

from buckthorntack import clock
from buckthorntack import errors
from buckthorntack import events
from buckthorntack import gateway
from buckthorntack import logs
from buckthorntack import tasks
from buckthorntack.platform import _dialect
from buckthorntack.platform import _events
from buckthorntack.platform import _settings

#: Node type and module with its HTTP interface, by role.  Only those of the
#: own role are imported, as imports take most of the time of a start.
NODE_TYPES = {
    "entry": ("EntryNode", "_entry_api"),
    "control": ("ControlNode", "_control_api"),
}


def load_node_type(role):
    """Import what a node of a role needs.

    :param role: ``entry`` or ``control``.
    :returns: its type, and the module that makes its handlers.
    """
    node_type, interface = NODE_TYPES[role]
    return (
        getattr(gateway, node_type),
        importlib.import_module(f"{__package__}.{interface}"),
    )


def make_node(settings):
    """The node that the settings ask for.

    :param settings: ``gateway.NodeSettings``.
    """
    make, interface = load_node_type(settings.role)
    return make(
        settings,
        _dialect.PlatformDialect(),
        clock.SystemClock(),
        random.SystemRandom(),
        interface.make_handlers,
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
            return tasks.run(work)
        except (errors.GatewayError, OSError) as error:
            log.write(_events.START_FAILED, error=repr(error))
            return 1
