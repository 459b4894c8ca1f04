"""What is asked of the choice of a server, and what it answers."""

from typing import NamedTuple


class Serve(NamedTuple):
    """Send the request to a server of this region."""

    server_id: str
    expected_ms: float
    unread_tokens: int
    #: Address of a server that holds more of the prompt; empty for none.
    fetch_from: str


class Forward(NamedTuple):
    """Send the request to an entry VM of another region."""

    region: str
    expected_ms: float
    #: The server there that seems best now; that region decides anew.
    server_id: str
    unread_tokens: int


class Refuse(NamedTuple):
    """Refuse the request; it is sent nowhere."""

    reason: str
    retry_after_ms: float


class Wanted(NamedTuple):
    """What a request asks for."""

    route: object
    service: object
    prompt: object
    #: Servers that it was sent to already.
    tried: frozenset[str]
    left_ms: float
    #: Whether another region may be asked.
    can_forward: bool


class Candidate(NamedTuple):
    """A server that may get a request."""

    server_id: str
    region: str
    expected_ms: float
    #: What places are compared by: the expected time, and what the request
    #: costs others.
    cost_ms: float
    unread_tokens: int
    fetch_from: str
