"""Log events of gateway nodes."""

import logbook

from buckthorntack import events

NODE_STARTED = events.declare(
    2200,
    "node_started",
    logbook.NOTICE,
    "The node has started and accepts connections at its addresses.",
)
NODE_STOPPING = events.declare(
    2201,
    "node_stopping",
    logbook.NOTICE,
    "The node received a signal to stop; it finishes pending requests.",
)
NODE_STOPPED = events.declare(
    2202,
    "node_stopped",
    logbook.NOTICE,
    "The node has stopped; the process exits.",
)
SETTINGS_RELOADED = events.declare(
    2203,
    "settings_reloaded",
    logbook.NOTICE,
    "The settings file was reloaded.",
)
SETTINGS_REFUSED = events.declare(
    2204,
    "settings_refused",
    logbook.ERROR,
    "Changed settings could not be read; the previous ones stay active.",
    "correct the settings file",
)
DIRECTIVES_TAKEN = events.declare(
    2205,
    "directives_taken",
    logbook.NOTICE,
    "A new configuration or evacuation is active at this entry VM.",
)
GUIDE_CHANGED = events.declare(
    2206,
    "guide_changed",
    logbook.NOTICE,
    "The entry VM now follows another control VM.",
    "check the control VM that was followed before",
)
GUIDES_LOST = events.declare(
    2207,
    "guides_lost",
    logbook.WARNING,
    "No control VM responds; the entry VM keeps its last known state.",
    "check the control VMs and the network to them",
)
SERVER_CHANGED = events.declare(
    2208,
    "server_changed",
    logbook.INFO,
    "The known state of a backend server has changed.",
)
SERVER_SILENT = events.declare(
    2209,
    "server_or_node_silent",
    logbook.NOTICE,
    "Nothing was received from a backend server or node for too long.",
    "check whether it is running",
)
ATTEMPT_FAILED = events.declare(
    2210,
    "attempt_failed",
    logbook.INFO,
    "An attempt at a backend server or region got no complete response.",
)
REQUEST_ENDED = events.declare(
    2211,
    "request_ended",
    logbook.INFO,
    "A request got its final response, or its client disconnected.",
)
DIRECTIVE_ACCEPTED = events.declare(
    2213,
    "directive_accepted",
    logbook.NOTICE,
    "A majority has committed a directive of an operator.",
)
DIRECTIVE_REFUSED = events.declare(
    2214,
    "directive_refused",
    logbook.NOTICE,
    "A directive of an operator was rejected, or its outcome is unknown.",
)
MEMBER_CHANGE = events.declare(
    2215,
    "member_change",
    logbook.NOTICE,
    "The leader has tried to change the members of the control group.",
)
DIRECTIVES_UNREADABLE = events.declare(
    2216,
    "directives_unreadable",
    logbook.ERROR,
    "A committed configuration cannot be parsed here; the previous one "
    "stays active.",
    "upgrade this node",
)
READ_REFUSED = events.declare(
    2217,
    "read_refused",
    logbook.NOTICE,
    "A read of the configuration was refused: a majority did not confirm it,"
    " or a planned stop leaves no time for it.",
)
TASK_FAILED = events.declare(
    2223,
    "task_failed",
    logbook.ERROR,
    "A background task of the node failed and is restarted.",
    "report the error",
)
CRASH_NOTED = events.declare(
    2218,
    "crash_noted",
    logbook.NOTICE,
    "The connection to a server broke while it ran a request.",
)
CRASH_COUNTED = events.declare(
    2234,
    "crash_counted",
    logbook.NOTICE,
    "A broken connection counts as a crash of its server, as other servers"
    " are reachable.",
    "check the server",
)
SERVER_LEAVING = events.declare(
    2225,
    "server_leaving",
    logbook.NOTICE,
    "A server said in a response that it leaves; it gets no more requests.",
)
SERVER_PAUSED = events.declare(
    2226,
    "server_paused",
    logbook.INFO,
    "A server refused a request and wants none for a while; it gets none.",
)
RELAY_CHANGED = events.declare(
    2224,
    "relay_changed",
    logbook.INFO,
    "Another entry VM of the failure domain relays the usage reports.",
    "check the entry VM that relayed before",
)
DIRECTORY_WIDENED = events.declare(
    2227,
    "directory_widened",
    logbook.NOTICE,
    "The directory has no entry VM of a caller's region to name; logged when"
    " the scope of its answers for a region and host changes.",
    "check the entry VMs of the caller's region",
)
GROUP_WITHOUT_LEADER = events.declare(
    2228,
    "group_without_leader",
    logbook.ERROR,
    "The control group has had no leader for a while; nothing is accepted"
    " or read.",
    "start the control VMs among its voters again",
)
VOTE_KEPT = events.declare(
    2230,
    "vote_kept",
    logbook.NOTICE,
    "A control VM that stops still leads or has a vote, as no other one took"
    " over in time.",
    "check the other control VMs before stopping one more",
)
SERVER_LIMIT = events.declare(
    2231,
    "server_limit",
    logbook.NOTICE,
    "A server names another limit for the requests of all entry VMs, or none"
    " any more.",
    "check why the server is in need",
)
CONFIGURATION_AWAITED = events.declare(
    2229,
    "configuration_awaited",
    logbook.NOTICE,
    "An entry VM that started has no configuration yet and refuses all"
    " requests.",
    "check the control VMs",
)
LIMIT_UNREADABLE = events.declare(
    2235,
    "limit_unreadable",
    logbook.NOTICE,
    "What a server says of its limits cannot be read and is passed over.",
    "check the version of the server",
)
SERVER_SPEED = events.declare(
    2245,
    "server_speed",
    logbook.INFO,
    "What is known of a server's speed has changed by a factor; at most once"
    " in 2 s for each server of the region.",
    "check why the server is slow",
)
REACHABILITY_CHANGED = events.declare(
    2232,
    "reachability_changed",
    logbook.NOTICE,
    "Connects to a server fail at this entry VM, or succeed again.",
    "check the network between the entry VM and the server",
)
QUOTA_REFUSED = events.declare(
    2237,
    "quota_refused",
    logbook.INFO,
    "A request was refused as the quota of its organisation is used up; it was"
    " not run.",
    "raise the organisation's quota if it is too small",
)
QUOTA_SHARE_CHANGED = events.declare(
    2238,
    "quota_share_changed",
    logbook.NOTICE,
    "An entry VM hears nothing of another region and admits only the part of"
    " each quota that belongs to its own, or admits the whole again.",
    "check the links between the regions",
)
LINK_CHECK_EXPIRED = events.declare(
    2236,
    "link_check_expired",
    logbook.NOTICE,
    "No other server accepted a connection in time after one broke, which"
    " therefore counts as a lost link.",
    "check the network of the entry VM",
)
SERVICES_UNREACHABLE = events.declare(
    2233,
    "services_unreachable",
    logbook.WARNING,
    "An entry VM reaches no server of the named services of its region, and"
    " hands their requests to others; logged when the services change.",
    "check the network of the entry VM",
)
CAPACITY_CHANGED = events.declare(
    2239,
    "capacity_changed",
    logbook.NOTICE,
    "The capacity that this entry VM reports has changed, by how late its"
    " timers are; callers and relays choose by it.",
    "check whether its VM is slowed or overloaded",
)
REPLICA_MESSAGE_REFUSED = events.declare(
    2240,
    "replica_message_refused",
    logbook.WARNING,
    "A message of the control group could not be decoded and was dropped; it"
    " may be of a build whose messages this one may not shorten.",
    "bring this control VM and the sender to builds that may run side by side",
)
PROTOCOL_VERSIONS_CHANGED = events.declare(
    2241,
    "protocol_versions_changed",
    logbook.NOTICE,
    "The versions of messages that the known nodes understand have changed:"
    " an upgrade begins or ends.",
    "if no upgrade is under way, look for nodes of another build",
)
RECORD_REFUSED = events.declare(
    2246,
    "record_refused",
    logbook.WARNING,
    "A node told of a server or node with a value out of range; this record"
    " was set aside and the others were taken.",
    "look for a node of an earlier build, or a server that announces it",
)
CHANGES_UNREADABLE = events.declare(
    2242,
    "changes_unreadable",
    logbook.WARNING,
    "Compressed changes of a registry could not be read and were dropped.",
    "look for a sender of another build",
)
RESTART_SUSPECTED = events.declare(
    2251,
    "restart_suspected",
    logbook.INFO,
    "A connection to a server broke or was refused here, another entry VM told"
    " so, or its evacuation has ended: it may have started again, and counts"
    " as cold until it tells.",
)
RESTART_CHECKED = events.declare(
    2252,
    "restart_checked",
    logbook.INFO,
    "A server that may have started again said for how long it is cold.",
)
RESTART_UNANSWERED = events.declare(
    2253,
    "restart_unanswered",
    logbook.INFO,
    "A server that may have started again did not answer on its health path.",
    "check the health path of its service",
)
USUAL_IDLE_CLOSE = events.declare(
    2254,
    "usual_idle_close",
    logbook.INFO,
    "A server closed an idle connection at an age at which it has closed one"
    " before without having started again; nothing is concluded.",
)
DIRECTIVE_ORDERED = events.declare(
    2248,
    "directive_ordered",
    logbook.NOTICE,
    "An order of an operator arrived at this control VM.",
)
DIRECTIVE_APPLIED = events.declare(
    2249,
    "directive_applied",
    logbook.NOTICE,
    "A committed order was applied at this control VM.",
)
DIRECTIVE_ABANDONED = events.declare(
    2250,
    "directive_abandoned",
    logbook.NOTICE,
    "The caller of an order left before its outcome was known.",
)
