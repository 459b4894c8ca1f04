"""Log events of gateway nodes."""

import logbook

from buckthorntack import events

NODE_STARTED = events.declare(
    2200,
    "node_started",
    logbook.NOTICE,
    "The process serves its addresses.",
)
NODE_STOPPING = events.declare(
    2201,
    "node_stopping",
    logbook.NOTICE,
    "The process was told to stop; it finishes what it has begun.",
)
NODE_STOPPED = events.declare(
    2202,
    "node_stopped",
    logbook.NOTICE,
    "The process ends.",
)
SETTINGS_RELOADED = events.declare(
    2203,
    "settings_reloaded",
    logbook.NOTICE,
    "The settings were read again.",
)
SETTINGS_REFUSED = events.declare(
    2204,
    "settings_refused",
    logbook.ERROR,
    "Changed settings could not be read; the former ones stay in force.",
    "correct the settings file",
)
DIRECTIVES_TAKEN = events.declare(
    2205,
    "directives_taken",
    logbook.NOTICE,
    "Another configuration or evacuation is in force at this entry VM.",
)
GUIDE_CHANGED = events.declare(
    2206,
    "guide_changed",
    logbook.NOTICE,
    "The entry VM follows another control VM.",
    "look at the control VM that was followed before",
)
GUIDES_LOST = events.declare(
    2207,
    "guides_lost",
    logbook.WARNING,
    "No control VM answers; the entry VM goes on with what it knows.",
    "look at the control VMs and the network between",
)
SERVER_CHANGED = events.declare(
    2208,
    "server_changed",
    logbook.INFO,
    "What is believed of a backend server has changed.",
)
SERVER_SILENT = events.declare(
    2209,
    "server_or_node_silent",
    logbook.NOTICE,
    "Nothing was heard of a backend server or node for a while.",
    "look whether it runs",
)
ATTEMPT_FAILED = events.declare(
    2210,
    "attempt_failed",
    logbook.INFO,
    "An attempt at a backend server or region gave no whole answer.",
)
REQUEST_ENDED = events.declare(
    2211,
    "request_ended",
    logbook.INFO,
    "A request has its final answer, or its client has left.",
)
DIRECTIVE_ACCEPTED = events.declare(
    2213,
    "directive_accepted",
    logbook.NOTICE,
    "A majority has accepted an order of an operator.",
)
DIRECTIVE_REFUSED = events.declare(
    2214,
    "directive_refused",
    logbook.NOTICE,
    "An order of an operator was refused, or its outcome is not known.",
)
MEMBER_CHANGE = events.declare(
    2215,
    "member_change",
    logbook.NOTICE,
    "The leader changes the members of the control group.",
)
DIRECTIVES_UNREADABLE = events.declare(
    2216,
    "directives_unreadable",
    logbook.ERROR,
    "A configuration that was accepted cannot be read here; the former one "
    "stays in force.",
    "upgrade this node",
)
READ_REFUSED = events.declare(
    2217,
    "read_refused",
    logbook.NOTICE,
    "A read of the configuration could not be confirmed by a majority.",
)
TASK_FAILED = events.declare(
    2223,
    "task_failed",
    logbook.ERROR,
    "Work of the node failed and is begun again.",
    "report the error",
)
CRASH_NOTED = events.declare(
    2218,
    "crash_noted",
    logbook.NOTICE,
    "A server's connection broke while it ran a request.",
)
RELAY_CHANGED = events.declare(
    2224,
    "relay_changed",
    logbook.INFO,
    "Another entry VM of the failure domain relays reports of load.",
    "look at the entry VM that relayed before",
)
