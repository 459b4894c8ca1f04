"""Names of header fields on the platform, in lower case."""

_PREFIX = b"x-buckthorntack-"

REQUEST_ID = _PREFIX + b"request-id"
#: How long the sender waits, in milliseconds.
DEADLINE = _PREFIX + b"deadline-ms"
#: Id of the only server that shall run the request.
EXPECT_INSTANCE = _PREFIX + b"expect-instance"
#: Prompt tokens and most output tokens, parted by a comma.
TOKEN_COUNT = _PREFIX + b"token-count"
#: Parts of the prompt, as ID:TOKENS parted by commas.
PROMPT_PREFIX = _PREFIX + b"prompt-prefix"
#: Rank from 0, first, to 9.  It is not set: an engine that is full puts
#: requests of lower rank back, and reads their prompts again.
PRIORITY = _PREFIX + b"request-priority"
#: Sent with an answer of a server that did not run the request.
NOT_EXECUTED = _PREFIX + b"not-executed"
#: Sent with all answers of a server that is leaving.
SERVER_LEAVING = b"server-leaving"
#: Requests per second that a server takes of all entry VMs together, in its
#: answers for as long as the limit holds.
SERVER_LIMIT = b"server-limit"
#: Requests per second that a server can turn away for want of room before it
#: falls over, in all its answers for as long as it is brittle.
SERVER_BRITTLE = b"server-brittle"
#: Id of the server that answers.
INSTANCE_ID = _PREFIX + b"instance-id"
#: How long the server stays cold, in milliseconds, in answers of its health
#: path.
WARMUP_MS = _PREFIX + b"warmup-ms"
#: Address of a server whose memory holds parts of the prompt.
FETCH = b"kv-fetch"
LAST_EVENT_ID = b"last-event-id"
#: Id of the client attempt that brought the first event of the stream that a
#: request takes up.
RESUMES = b"resumes"
RETRY_AFTER = b"retry-after"
#: Name of the organisation whose key the caller presented.
TENANT = _PREFIX + b"tenant"
AUTHORIZATION = b"authorization"
#: Scheme of the keys in ``AUTHORIZATION``, in lower case.
KEY_SCHEME = b"token"

#: Fields that only the system sets; a client's are removed.
SYSTEM_SET = frozenset(
    (
        DEADLINE,
        EXPECT_INSTANCE,
        TENANT,
        PRIORITY,
        _PREFIX + b"expect-version",
        _PREFIX + b"kv-hold",
        _PREFIX + b"kv-backup",
        _PREFIX + b"kv-from",
        _PREFIX + b"kv-fetch",
        _PREFIX + b"pin-ms",
        b"kv-hold",
        b"kv-backup",
        b"kv-from",
        FETCH,
        b"pin-ms",
    )
)
