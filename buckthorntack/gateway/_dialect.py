"""Interface to the formats of callers, servers and operators."""

from typing import NamedTuple
from typing import Protocol

from buckthorntack import dispatch


class RequestMetadata(NamedTuple):
    """Fields parsed from the head of a request."""

    host: str
    #: Path without the query.
    path: str
    request_id: bytes
    #: How long the client waits for the response; None if not given.
    timeout_ms: float | None
    prompt: dispatch.Prompt | None
    #: Id of the last stream event that the client received; None for none.
    last_event_id: int | None
    #: Id of the client attempt that brought the first event of the stream
    #: that the request resumes; empty if it is not given.
    resumed_request_id: bytes = b""
    #: Key of an organisation that the caller presents; None without one.
    api_key: str | None = None

    def __repr__(self):
        """Leave the key out, as it must not be logged."""
        return f"RequestMetadata({self.request_id!r})"


class StatedRate(NamedTuple):
    """Rate of requests that a server says it takes."""

    #: Requests per second of all entry VMs together; None for no limit.
    per_s: float | None


#: A response that names no limit.
NO_LIMIT = StatedRate(None)


class ResponseMetadata(NamedTuple):
    """Fields parsed from the head of a server's response."""

    #: Whether the server states that it did not run the request.
    not_run: bool
    #: Whether another server now uses the address.
    is_other_server: bool
    #: Whether the server states that it is leaving.
    is_leaving: bool
    #: Time for which a server that refused wants no requests from this node,
    #: in seconds; None if it does not say.
    pause_s: float | None
    #: What it says of a limit; None if that can't be read.
    limit: StatedRate | None
    #: Rejections per second that it says it bears, as it is brittle; None if
    #: that can't be read.
    brittleness: StatedRate | None


class Dialect(Protocol):
    """Formats of requests, responses and configurations."""

    #: Name of the header that holds the request id, in lower case.
    request_id_header: bytes
    #: Path at which model engines tell their state.
    state_path: bytes

    def parse_request(self, request):
        """Parse the head of a request.

        :param request: ``http1.Request``.
        :returns: ``Result`` of :class:`RequestMetadata`.
        """

    def parse_response(self, head):
        """Parse the head of a server's response.

        :param head: ``http1.ResponseHead``.
        :returns: :class:`ResponseMetadata`.
        """

    def build_server_headers(
        self,
        request,
        server_id,
        timeout_ms,
        last_event_id,
        fetch_from,
        caller,
    ):
        """Return the headers of a request to a server.

        :param request: ``http1.Request`` of the client.
        :param server_id: id of the intended server.
        :param timeout_ms: time left for the response.
        :param last_event_id: id of the stream event to continue after; None
            to start from the first event.
        :param fetch_from: address of a server to copy cached prompt parts
            from; empty for none.
        :param caller: the ``Caller``, whose organisation the server is told
            and whose key it is not; None if callers need no keys.
        :returns: list of name and value pairs.
        """

    def build_health_headers(self, address, timeout_ms):
        """Return the headers of a request to the health path of a server.

        :param address: IP address and port of the server.
        :param timeout_ms: time left for the response.
        :returns: list of name and value pairs.
        """

    def parse_health(self, head, server_id):
        """Parse the head of the response of a server's health path.

        :param head: ``http1.ResponseHead``.
        :param server_id: id of the server that was asked.
        :returns: time in seconds for which the server is cold; None if it
            does not say or is another one.
        """

    def parse_start(self, body):
        """Parse the start of a server from what it tells of its state.

        :param body: the body of its answer.
        :returns: Unix milliseconds; None if it does not say.
        """

    def build_forward_headers(
        self, request, timeout_ms, last_event_id, caller
    ):
        """Return the headers of a request to another entry VM.

        :param request: ``http1.Request`` of the client.
        :param timeout_ms: time left for the response.
        :param last_event_id: id of the stream event to continue after; None
            to start from the first event.
        :param caller: the ``Caller``; None if callers need no keys.
        :returns: list of name and value pairs.
        """

    def build_local_headers(self, request_id, retry_after_ms):
        """Return the headers of a response that the gateway creates itself.

        :param request_id: id of the request; empty if unknown.
        :param retry_after_ms: delay before a retry; None to give none.
        :returns: list of name and value pairs.
        """

    def parse_configuration(self, content):
        """Parse and validate a configuration.

        :param content: the serialized configuration.
        :returns: ``Result`` of a ``directives.Configuration``.
        """
