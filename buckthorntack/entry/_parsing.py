"""Parsing, authentication and checks of callers' requests."""

import asyncio
import datetime
import uuid

from buckthorntack import retries
from buckthorntack import routing
from buckthorntack import security
from buckthorntack.entry import _errors
from buckthorntack.entry import _request

#: Timeout of receiving a request body.
BODY_TIMEOUT_SECONDS = 30.0
COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICES_PREFIX = "/services/"
MAX_REQUEST_ID_LENGTH = 128
#: Maximum number of digits in Content-Length.  int() raises an error for
#: numbers with thousands of digits.
MAX_LENGTH_DIGITS = 18
JSON_TYPE = "application/json"


def read_headers(scope, max_bytes):
    """Return the headers of a request by name.

    The first value counts if a header is repeated.

    :param scope: ASGI connection scope.
    :param max_bytes: maximum size of path, query and headers in bytes.
    :raises GatewayError: the head is too large.
    """
    size = len(scope["raw_path"]) + len(scope["query_string"])
    headers = {}
    for name, value in scope["headers"]:
        size += len(name) + len(value)
        headers.setdefault(name.decode("latin-1"), value.decode("latin-1"))
    if size > max_bytes:
        error = _errors.TooLargeError(f"the head exceeds {max_bytes} bytes")
        error.status = 431
        raise error
    return headers


def read_query(scope):
    """Return the query string of a request, still percent-encoded.

    :param scope: ASGI connection scope.
    :raises GatewayError: the query has characters that must be encoded.
    """
    query = scope["query_string"].decode("latin-1")
    if not _is_printable_ascii(query):
        raise _errors.MalformedRequestError("the query is malformed")
    return query


async def read_body(headers, receive, max_bytes):
    """Receive the whole body of a request.

    :param headers: headers of the request.
    :param receive: ASGI receive function.
    :param max_bytes: maximum size of the body in bytes.
    :raises GatewayError: the body is too large, incomplete or not received
        in time.
    """
    length = headers.get("content-length", "0")
    if not _is_number_up_to(length, max_bytes):
        raise _errors.TooLargeError(f"the body exceeds {max_bytes} bytes")
    chunks = []
    size = 0
    try:
        async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
            more = True
            while more:
                message = await receive()
                if message["type"] != "http.request":
                    raise _errors.MalformedRequestError(
                        "the body is incomplete"
                    )
                chunks.append(message.get("body", b""))
                size += len(chunks[-1])
                if size > max_bytes:
                    detail = f"the body exceeds {max_bytes} bytes"
                    raise _errors.TooLargeError(detail)
                more = message.get("more_body", False)
    except TimeoutError:
        detail = f"the body was not received within {BODY_TIMEOUT_SECONDS} s"
        raise _errors.MalformedRequestError(detail) from None
    return b"".join(chunks)


def _is_number_up_to(number, maximum):
    """Return whether a text is a decimal number up to a maximum."""
    if not number.isdecimal() or len(number) > MAX_LENGTH_DIGITS:
        return False
    return int(number) <= maximum


def choose_request_id(headers):
    """Return the caller's id of a request if valid, else a new one.

    :param headers: headers of the request.
    """
    given = headers.get("x-request-id", "")
    if (
        given
        and len(given) <= MAX_REQUEST_ID_LENGTH
        and _is_printable_ascii(given)
    ):
        return given
    return uuid.uuid4().hex


def _is_printable_ascii(text):
    """Return whether a header's text can be forwarded unchanged."""
    return text.isascii() and text.isprintable()


def _parse_content_type(headers):
    given = headers.get("content-type", JSON_TYPE)
    if not _is_printable_ascii(given):
        raise _errors.MalformedRequestError("Content-Type is malformed")
    return given


class RequestParser:
    """Parser that creates a ``GatewayRequest`` for a caller's request.

    :param components: the ``EntryComponents``.
    """

    def __init__(self, components):
        self.components = components

    def current_configuration(self):
        """Return the active configuration.

        :raises GatewayError: no configuration is active yet.
        """
        current = self.components.configuration.current()
        if current is None:
            raise _errors.NotReadyError("no configuration is active yet")
        return current

    def authenticate(self, headers):
        """Authenticate a request and return the caller's organisation.

        :param headers: headers of the request.
        :raises GatewayError: the credential is not valid.
        """
        token = security.parse_bearer_token(headers.get("authorization"))
        if token.is_error():
            raise token.error
        published = self.current_configuration()
        digest = security.hash_token_bytes(token.ok)
        credential = published.credential(digest)
        if credential is None:
            raise _errors.UnauthorisedError("unknown token")
        wall = self.components.clock.wall()
        if security.has_expired(credential, wall):
            raise _errors.UnauthorisedError("the credential has expired")
        return credential["organisation"]

    def parse_completion(self, path, headers, body, organisation):
        """Parse a completion request.

        :param path: path of the request.
        :param headers: headers of the request.
        :param body: body of the request.
        :param organisation: the caller's organisation.
        :raises GatewayError: the request is not valid or not allowed.
        """
        prompt = routing.read_prompt(body)
        if prompt.is_error():
            raise prompt.error
        prompt = prompt.ok
        published = self.current_configuration()
        found = published.resolve_model(prompt.model)
        if found is None or not published.may_use(organisation, found[0]):
            raise _errors.NotFoundError(f"model {prompt.model[:64]!r}")
        service, model_version = found
        return self._build_request(
            published,
            headers,
            organisation,
            service=service,
            model_version=model_version,
            method="POST",
            path=path,
            body=body,
            content_type=JSON_TYPE,
            idempotent=True,
            streamed=prompt.streamed,
            idempotency_key="",
            prompt_tokens=prompt.tokens,
            prefix_hashes=routing.prefix_hashes(prompt.content),
        )

    def parse_service_call(
        self, method, path, query, headers, body, organisation
    ):
        """Parse a call of a service that serves no model.

        :param method: HTTP method.
        :param path: path with the name of the service, percent-encoded.
        :param query: query string, percent-encoded.
        :param headers: headers of the request.
        :param body: body of the request.
        :param organisation: the caller's organisation.
        :raises GatewayError: the request is not valid or not allowed.
        """
        rest = path.removeprefix(SERVICES_PREFIX)
        service, _, service_path = rest.partition("/")
        service_path = f"/{service_path}"
        published = self.current_configuration()
        call = None
        allowed = published.may_use(organisation, service)
        if allowed and path.isascii():
            call = published.match_call(service, method, service_path)
        if call is None:
            raise _errors.NotFoundError(f"{method} {path[:200]}")
        key = headers.get("idempotency-key", "")
        if not call["idempotent"] and not key:
            raise _errors.KeyNeededError(f"{method} {path[:200]}")
        return self._build_request(
            published,
            headers,
            organisation,
            service=service,
            model_version="",
            method=method,
            path=f"{service_path}?{query}" if query else service_path,
            body=body,
            content_type=_parse_content_type(headers),
            idempotent=call["idempotent"],
            streamed=False,
            idempotency_key="" if call["idempotent"] else key,
            prompt_tokens=1,
            prefix_hashes=(),
        )

    def parse_resumption(self, headers, organisation):
        """Parse a request to resume a stream.

        :param headers: headers of the request.
        :param organisation: the caller's organisation.
        :raises GatewayError: the event id is malformed or was issued to
            another organisation.
        """
        event_id = headers["last-event-id"]
        attempt_id, _, number = event_id.rpartition("/")
        if not number.isdecimal() or len(number) > 9:
            raise _errors.MalformedRequestError("Last-Event-ID is malformed")
        verified = self.components.signer.verify(attempt_id, organisation)
        if verified.is_error():
            raise verified.error
        published = self.current_configuration()
        service = self._find_service(verified.ok, published, organisation)
        return self._build_request(
            published,
            headers,
            organisation,
            service=service,
            model_version="",
            method="GET",
            path="",
            body=b"",
            content_type=JSON_TYPE,
            idempotent=True,
            streamed=True,
            idempotency_key="",
            prompt_tokens=1,
            prefix_hashes=(),
            resumed_attempt=attempt_id,
            resume_after=int(number),
        )

    def _find_service(self, target, published, organisation):
        record = self.components.servers.get(target.server_id)
        if record is not None:
            return record.service
        return published.organisation(organisation)["services"][0]

    def _build_request(self, published, headers, organisation, **fields):
        now = self.components.clock.monotonic()
        fingerprint = retries.fingerprint(
            organisation, fields["service"], fields["body"]
        )
        deadline = datetime.timedelta(milliseconds=self.components.deadline_ms)
        return _request.GatewayRequest(
            request_id=choose_request_id(headers),
            organisation=organisation,
            fingerprint=fingerprint,
            allowed_regions=published.allowed_regions(organisation),
            revision=published.revision,
            deadline=now + deadline,
            **fields,
        )
