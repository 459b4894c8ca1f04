"""Log events of links and listeners."""

import logbook

from buckthorntack import events

LINK_LISTENING = events.declare(
    1200,
    "link_listening",
    logbook.INFO,
    "The process takes messages of other nodes at this address.",
)
MESSAGE_REFUSED = events.declare(
    1201,
    "message_refused",
    logbook.WARNING,
    "A message from another node could not be decoded and was dropped.",
    "upgrade the node that is behind, or look for a foreign sender",
)
LINK_REFUSED = events.declare(
    1202,
    "link_refused",
    logbook.WARNING,
    "A peer presented a public key that is not accepted.",
    "finish the key rotation on that node, or look for an intruder",
)
MESSAGE_UNHANDLED = events.declare(
    1203,
    "message_unhandled",
    logbook.WARNING,
    "A message reached a node that does not hold the role for it.",
    "compare the roles in the settings of both nodes",
)
HTTP_LISTENING = events.declare(
    1204,
    "http_listening",
    logbook.INFO,
    "An HTTP listener takes connections.",
)
LINKS_UNAUTHENTICATED = events.declare(
    1205,
    "links_unauthenticated",
    logbook.INFO,
    "The settings ask for links without keys: any process that reaches the "
    "link address can send messages.",
    "name link keys in the settings unless the network is walled",
)
LINK_OPENED = events.declare(
    1206,
    "link_opened",
    logbook.INFO,
    "Messages can be exchanged with another node.",
)
LINK_LOST = events.declare(
    1207,
    "link_lost",
    logbook.NOTICE,
    "A connection to another node has ended.",
    "look at that node and the network between",
)
LINK_FAILED = events.declare(
    1208,
    "link_failed",
    logbook.NOTICE,
    "No connection to another node could be made; messages were dropped.",
    "look at that node and the network between",
)
