"""Reads callers' requests from HTTP and checks them."""

import asyncio
import datetime
import uuid

from buckthorntack import retries
from buckthorntack import routing
from buckthorntack import security
from buckthorntack.entry import _errors
from buckthorntack.entry import _request

BODY_SECONDS = 30.0
COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICES_PREFIX = "/services/"
LONGEST_REQUEST_ID = 128
LONGEST_LENGTH_DIGITS = 18
JSON_TYPE = "application/json"


def read_headers(scope, most_bytes):
    """Headers of a request by name; of a repeated one the first.

    :param scope: ASGI scope.
    :param most_bytes: largest head accepted.
    :raises GatewayError: the head is too large.
    """
    size = len(scope["raw_path"]) + len(scope["query_string"])
    headers = {}
    for name, value in scope["headers"]:
        size += len(name) + len(value)
        headers.setdefault(name.decode("latin-1"), value.decode("latin-1"))
    if size > most_bytes:
        error = _errors.TooLargeError(f"the head is over {most_bytes} bytes")
        error.status = 431
        raise error
    return headers


def read_query(scope):
    """Query of a request, percent-encoded.

    :param scope: ASGI scope.
    :raises GatewayError: it has characters that must be encoded.
    """
    query = scope["query_string"].decode("latin-1")
    if not _is_plain(query):
        raise _errors.MalformedRequestError("the query is malformed")
    return query


async def read_body(headers, receive, most_bytes):
    """Whole body of a request.

    :param headers: its headers.
    :param receive: ASGI receive.
    :param most_bytes: largest body accepted.
    :raises GatewayError: it is too large, too slow or broken off.
    """
    length = headers.get("content-length", "0")
    if not _is_within(length, most_bytes):
        raise _errors.TooLargeError(f"the body is over {most_bytes} bytes")
    parts = []
    size = 0
    try:
        async with asyncio.timeout(BODY_SECONDS):
            more = True
            while more:
                message = await receive()
                if message["type"] != "http.request":
                    raise _errors.MalformedRequestError("body broken off")
                parts.append(message.get("body", b""))
                size += len(parts[-1])
                if size > most_bytes:
                    detail = f"the body is over {most_bytes} bytes"
                    raise _errors.TooLargeError(detail)
                more = message.get("more_body", False)
    except TimeoutError:
        detail = f"the body took over {BODY_SECONDS} s"
        raise _errors.MalformedRequestError(detail) from None
    return b"".join(parts)


def _is_within(number, most):
    """Whether a text is a number, and not above a limit."""
    if not number.isdecimal() or len(number) > LONGEST_LENGTH_DIGITS:
        return False
    return int(number) <= most


def request_id(headers):
    """Id that follows a request; a caller may choose it.

    :param headers: the request's headers.
    """
    given = headers.get("x-request-id", "")
    if given and len(given) <= LONGEST_REQUEST_ID and _is_plain(given):
        return given
    return uuid.uuid4().hex


def _is_plain(text):
    """Whether a header's text can be sent on as it is."""
    return text.isascii() and text.isprintable()


def _content_type(headers):
    given = headers.get("content-type", JSON_TYPE)
    if not _is_plain(given):
        raise _errors.MalformedRequestError("Content-Type is malformed")
    return given


class Reader:
    """Makes gateway requests of callers' requests.

    :param parts: the ``EntryParts``.
    """

    def __init__(self, parts):
        self.parts = parts

    def published(self):
        """The published set in force.

        :raises GatewayError: there is none yet.
        """
        current = self.parts.configuration.current()
        if current is None:
            raise _errors.NotReadyError("no configuration is in force yet")
        return current

    def organisation(self, headers):
        """Organisation that a request's credential belongs to.

        :param headers: the request's headers.
        :raises GatewayError: the credential is not valid.
        """
        token = security.parse_bearer_token(headers.get("authorization"))
        if token.is_error():
            raise token.error
        published = self.published()
        digest = security.hash_token_bytes(token.ok)
        credential = published.credential(digest)
        if credential is None:
            raise _errors.UnauthorisedError("unknown token")
        wall = self.parts.clock.wall()
        if security.has_expired(credential, wall):
            raise _errors.UnauthorisedError("the credential has expired")
        return credential["organisation"]

    def completion(self, path, headers, body, organisation):
        """Read a completion request.

        :param path: its path.
        :param headers: its headers.
        :param body: its body.
        :param organisation: the caller's organisation.
        :raises GatewayError: it cannot be served.
        """
        prompt = routing.read_prompt(body)
        if prompt.is_error():
            raise prompt.error
        prompt = prompt.ok
        published = self.published()
        found = published.resolve_model(prompt.model)
        if found is None or not published.may_use(organisation, found[0]):
            raise _errors.NotFoundError(f"model {prompt.model[:64]!r}")
        service, model_version = found
        return self._request(
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

    def service_call(self, method, path, query, headers, body, organisation):
        """Read a call of a plain service.

        :param method: HTTP method.
        :param path: path with the service's name, percent-encoded.
        :param query: query string.
        :param headers: its headers.
        :param body: its body.
        :param organisation: the caller's organisation.
        :raises GatewayError: it cannot be served.
        """
        rest = path.removeprefix(SERVICES_PREFIX)
        service, _, below = rest.partition("/")
        below = f"/{below}"
        published = self.published()
        call = None
        allowed = published.may_use(organisation, service)
        if allowed and path.isascii():
            call = published.match_call(service, method, below)
        if call is None:
            raise _errors.NotFoundError(f"{method} {path[:200]}")
        key = headers.get("idempotency-key", "")
        if not call["idempotent"] and not key:
            raise _errors.KeyNeededError(f"{method} {path[:200]}")
        return self._request(
            published,
            headers,
            organisation,
            service=service,
            model_version="",
            method=method,
            path=f"{below}?{query}" if query else below,
            body=body,
            content_type=_content_type(headers),
            idempotent=call["idempotent"],
            streamed=False,
            idempotency_key="" if call["idempotent"] else key,
            prompt_tokens=1,
            prefix_hashes=(),
        )

    def resumption(self, headers, organisation):
        """Read a request that resumes a stream.

        :param headers: its headers.
        :param organisation: the caller's organisation.
        :raises GatewayError: the event id is not the caller's.
        """
        event_id = headers["last-event-id"]
        attempt_id, _, number = event_id.rpartition("/")
        if not number.isdecimal() or len(number) > 9:
            raise _errors.MalformedRequestError("Last-Event-ID is malformed")
        verified = self.parts.signer.verify(attempt_id, organisation)
        if verified.is_error():
            raise verified.error
        published = self.published()
        service = self._service_of(verified.ok, published, organisation)
        return self._request(
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

    def _service_of(self, target, published, organisation):
        record = self.parts.servers.get(target.server_id)
        if record is not None:
            return record.service
        return published.organisation(organisation)["services"][0]

    def _request(self, published, headers, organisation, **fields):
        now = self.parts.clock.monotonic()
        fingerprint = retries.fingerprint(
            organisation, fields["service"], fields["body"]
        )
        deadline = datetime.timedelta(milliseconds=self.parts.deadline_ms)
        return _request.GatewayRequest(
            request_id=request_id(headers),
            organisation=organisation,
            fingerprint=fingerprint,
            allowed_regions=published.allowed_regions(organisation),
            revision=published.revision,
            deadline=now + deadline,
            **fields,
        )
