"""What nodes tell their listeners of requests that find no memory."""

from buckthorntack import errors
from buckthorntack import http1
from buckthorntack.gateway import _authorisation

#: Retry-After of requests whose bodies find no memory.  Callers that read
#: slowly are given up after some seconds.
RETRY_AFTER_MS = 1000.0


def create_watch(settings):
    """Return the watch over what is held; None if it is not bounded.

    :param settings: ``NodeSettings``.
    :returns: ``http1.MemoryWatch``.
    """
    if not settings.memory_mb:
        return None
    bounds = http1.compute_bounds(settings.memory_mb)
    return http1.MemoryWatch(http1.MemoryBudget(bounds))


def compute_receive_buffer_bytes(settings):
    """Return the size of receive buffers; None for the kernel's default.

    :param settings: ``NodeSettings``.
    """
    # The kernel doubles the size, and one read may take all of it.
    return http1.READ_BYTES // 2 if settings.memory_mb else None


def build_listener_memory(watch, dialect):
    """Return what a listener needs whose callers have no organisations.

    :param watch: the ``http1.MemoryWatch``; None for no bound.
    :param dialect: the ``Dialect``.
    :returns: ``http1.ListenerMemory``; None for no bound.
    """
    if watch is None:
        return None

    def build_refusal_headers(headers):
        request_id = http1.find_header(headers, dialect.request_id_header)
        return dialect.build_local_headers(request_id or b"", RETRY_AFTER_MS)

    return http1.ListenerMemory(
        watch, lambda headers: "", build_refusal_headers
    )


class BodyRefusals:
    """Who sent a request whose body is not read yet, and its refusal.

    :param shared_state: the ``SharedState``.
    :param run_state_header: header with the run state of a request in
        responses to entry VMs; empty in those to callers.
    """

    def __init__(self, shared_state, run_state_header=b""):
        self._shared_state = shared_state
        self._run_state_header = run_state_header

    def find_owner(self, headers):
        """Return the organisation of a request; empty if it has none.

        :param headers: its header fields.
        """
        table = self._shared_state.table
        if table is None or not table.has_organisations:
            return ""
        if self._run_state_header:
            organisation = _authorisation.find_forwarded_organisation(
                table, headers
            )
            return "" if organisation is None else organisation.name
        request = http1.Request(b"", b"", headers, b"", 0.0)
        read = self._shared_state.dialect.parse_request(request)
        if read.is_error() or read.ok.api_key is None:
            return ""
        organisation = table.find_key_owner(read.ok.api_key)
        return "" if organisation is None else organisation.name

    def build_refusal_headers(self, headers):
        """Return the header fields of the refusal of a request.

        :param headers: header fields of the request.
        """
        dialect = self._shared_state.dialect
        request_id = http1.find_header(headers, dialect.request_id_header)
        fields = dialect.build_local_headers(request_id or b"", RETRY_AFTER_MS)
        if self._run_state_header:
            not_run = errors.RunState.NOT_RUN.value.encode()
            fields.append((self._run_state_header, not_run))
        return fields


def get_owner(caller):
    """Return the organisation that memory is held for; empty for none.

    :param caller: ``Caller``; None if callers need no keys.
    """
    if caller is None or caller.organisation is None:
        return ""
    return caller.organisation.name
