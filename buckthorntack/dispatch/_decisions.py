"""Input and results of the choice of a server."""

from typing import NamedTuple


class Serve(NamedTuple):
    """Decision to send the request to a server of the local region."""

    server_id: str
    expected_ms: float
    unread_tokens: int
    #: Address of a server to copy cached prompt tokens from; empty for none.
    fetch_from: str


class Forward(NamedTuple):
    """Decision to send the request to another entry VM."""

    #: Region of that entry VM; the local one if no server is reachable here.
    region: str
    expected_ms: float
    #: Best server there by present estimates; the other entry VM makes its
    #: own choice.
    server_id: str
    unread_tokens: int


class Refuse(NamedTuple):
    """Decision to refuse the request without sending it."""

    reason: str
    retry_after_ms: float
    #: Whether a server that may take the request is only busy at present.
    may_wait: bool = False
    #: Place among the ranks of its service, from 0.0, the most urgent, to
    #: 1.0; None if requests are not ranked.
    rank_position: float | None = None
    #: How short the room was, from 0.0 to 1.0.
    scarcity: float = 0.0


class RoutingRequest(NamedTuple):
    """A request, as seen by the choice of a server."""

    route: object
    service: object
    prompt: object
    #: Ids of servers that the request was already sent to.
    tried_server_ids: frozenset[str]
    remaining_ms: float
    #: Whether the request may go to another region.
    can_forward: bool
    #: Whether another entry VM of the local region reaches its servers.
    can_hop: bool = False
    #: Software version of the servers that may take it; None for any.
    software_version: str | None = None
    #: ``directives.Organisation`` of its caller; None for none.
    organisation: object = None


class Candidate(NamedTuple):
    """A server that may get the request, with its estimates."""

    server_id: str
    region: str
    expected_ms: float
    #: Value by which candidates are compared: the expected time plus the
    #: delay that the request causes to other requests.
    cost_ms: float
    unread_tokens: int
    fetch_from: str
