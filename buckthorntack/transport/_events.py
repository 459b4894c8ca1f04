"""Log events of links and listeners."""

import logbook

from buckthorntack import events

LINK_LISTENING = events.declare(
    1200,
    "link_listening",
    logbook.INFO,
    "The process receives messages of other nodes at this address.",
)
MESSAGE_REFUSED = events.declare(
    1201,
    "message_refused",
    logbook.WARNING,
    "A message from another node could not be decoded and was dropped.",
    "upgrade the node with the older release, or look for a sender that is "
    "no node of this deployment",
)
LINK_REFUSED = events.declare(
    1202,
    "link_refused",
    logbook.WARNING,
    "A peer presented a public key that this node does not accept.",
    "finish the key rotation on that node, or look for an unauthorised peer",
)
MESSAGE_UNHANDLED = events.declare(
    1203,
    "message_unhandled",
    logbook.WARNING,
    "A node received a message that none of its roles handles.",
    "compare the roles in the settings of both nodes",
)
HTTP_LISTENING = events.declare(
    1204,
    "http_listening",
    logbook.INFO,
    "An HTTP listener accepts connections.",
)
LINKS_UNAUTHENTICATED = events.declare(
    1205,
    "links_unauthenticated",
    logbook.INFO,
    "The settings configure links without keys: any process that can connect "
    "to the link address can send messages.",
    "set link keys unless the network is isolated",
)
LINK_OPENED = events.declare(
    1206,
    "link_opened",
    logbook.INFO,
    "A connection to another node is open.",
)
LINK_LOST = events.declare(
    1207,
    "link_lost",
    logbook.NOTICE,
    "A connection to another node has ended.",
    "check that node and the network path to it",
)
LINK_FAILED = events.declare(
    1208,
    "link_failed",
    logbook.NOTICE,
    "Connecting to another node failed; the waiting messages were dropped.",
    "check that node and the network path to it",
)
MESSAGE_FAILED = events.declare(
    1209,
    "message_failed",
    logbook.ERROR,
    "Handling a message of another node failed; the link and its other "
    "messages are kept.",
    "report the error; compare the builds of both nodes",
)
MESSAGE_UNSENDABLE = events.declare(
    1210,
    "message_unsendable",
    logbook.ERROR,
    "A message to another node holds a value that cannot be encoded and was "
    "dropped.",
    "report the error",
)
