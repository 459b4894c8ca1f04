"""What a node needs of the formats spoken around it."""

from typing import NamedTuple
from typing import Protocol

from buckthorntack import dispatch


class RequestFacts(NamedTuple):
    """What the head of a request says, but for the method and body."""

    host: str
    #: Path without query.
    path: str
    request_id: bytes
    #: How long the client waits; None if it does not say.
    patience_ms: float | None
    prompt: dispatch.Prompt | None
    #: Last event that the client has of a stream; None if it has none.
    last_event: int | None


class AnswerFacts(NamedTuple):
    """What the head of a server's answer says."""

    #: Whether the server says that it did not run the request.
    not_run: bool
    #: Whether another server has the address now.
    is_other_server: bool


class Dialect(Protocol):
    """Formats of requests, answers and configurations."""

    #: Field that names a request, in lower case.
    id_name: bytes

    def read_request(self, request):
        """Read the head of a request.

        :param request: ``http1.Request``.
        :returns: ``Result`` of :class:`RequestFacts`.
        """

    def read_answer(self, head):
        """Read the head of a server's answer.

        :param head: ``http1.AnswerHead``.
        :returns: :class:`AnswerFacts`.
        """

    def server_headers(self, request, server_id, left_ms, after, fetch_from):
        """Header fields of a request as it goes to a server.

        :param request: ``http1.Request`` of the client.
        :param server_id: server that it is meant for.
        :param left_ms: how long an answer is waited for.
        :param after: last event that is not to be sent again, or None.
        :param fetch_from: address of a server to copy parts of the prompt
            from; empty for none.
        """

    def forward_headers(self, request, left_ms, after):
        """Header fields of a request as it goes to another entry VM.

        :param request: ``http1.Request`` of the client.
        :param left_ms: how long an answer is waited for.
        :param after: last event that is not to be sent again, or None.
        """

    def own_headers(self, request_id, retry_after_ms):
        """Header fields of an answer of ours.

        :param request_id: id of the request; empty if it has none.
        :param retry_after_ms: when to come back; None if not said.
        """

    def read_configuration(self, content):
        """Read and check a configuration.

        :param content: its bytes.
        :returns: ``Result`` of a ``directives.Configuration``.
        """
