"""HTTP application for backend servers."""

import re

import httpx
import msgspec

from buckthorntack import errors
from buckthorntack import schema
from buckthorntack import transport
from buckthorntack.entry import _errors
from buckthorntack.entry import _reading
from buckthorntack.entry import _render
from buckthorntack.entry import _sink

ANNOUNCE_PATH = "/backend/v1/announce"
MOST_BODY_BYTES = 1 << 20
MOST_PORT = 65535
LONGEST_LABEL = 63
HOST_LABEL = re.compile("[A-Za-z0-9-]*")


class BackendsApp:
    """Takes announcements.

    :param parts: the ``EntryParts``.
    """

    def __init__(self, parts):
        self.parts = parts

    def asgi(self):
        """The application."""
        return transport.mounted_app(self.handle)

    async def handle(self, scope, receive, send):
        """Answer one request.

        :param scope: ASGI scope.
        :param receive: ASGI receive.
        :param send: ASGI send.
        """
        sink = _sink.CallerSink(send, "")
        try:
            headers = _reading.read_headers(scope, MOST_BODY_BYTES)
            sink.request_id = _reading.request_id(headers)
            if (scope["method"], scope["path"]) != ("POST", ANNOUNCE_PATH):
                raise _errors.NotFoundError(scope["path"][:200])
            body = await _reading.read_body(headers, receive, MOST_BODY_BYTES)
            answer = self._announce(body)
        except errors.GatewayError as error:
            await _render.send_error(sink, error, sink.request_id)
            return
        status = 200 if answer["accepted"] else 409
        await _render.send_json(sink, answer, status)

    def _announce(self, body):
        document = _parse(body)
        published = self.parts.configuration.current()
        if published is None:
            raise _errors.NotReadyError("no configuration is in force yet")
        pool = published.pool(document["pool"])
        self._check(document, pool, published)
        answer = self.parts.members.announce(document, pool["service"])
        if answer["accepted"] and document.get("cache_events"):
            self.parts.router.cache_events(
                document["server_id"],
                document["cache_events"],
                self.parts.clock.monotonic(),
            )
        return answer

    def _check(self, document, pool, published):
        domain = document["failure_domain"]
        if pool is None:
            detail = f"pool {document['pool']} is not published"
            raise _errors.AnnouncementRefusedError(detail)
        if domain not in pool["failure_domains"]:
            detail = f"pool {document['pool']} is not for {domain}"
            raise _errors.AnnouncementRefusedError(detail)
        if domain != self.parts.failure_domain:
            detail = f"{domain} is not the failure domain of this entry VM"
            raise _errors.AnnouncementRefusedError(detail)
        if not _is_address(document["url"]):
            detail = f"{document['url'][:200]!r} is no address"
            raise _errors.AnnouncementRefusedError(detail)


def _is_address(url):
    """Whether requests can be sent to a base address."""
    try:
        parsed = httpx.URL(url)
    except (httpx.InvalidURL, ValueError):
        return False
    if parsed.query or parsed.fragment or not url.isascii():
        return False
    port = parsed.port
    return (port is None or port <= MOST_PORT) and _is_host(parsed.host)


def _is_host(host):
    labels = re.split("[.:]", host)
    return bool(host) and all(
        len(label) <= LONGEST_LABEL and HOST_LABEL.fullmatch(label)
        for label in labels
    )


def _parse(body):
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise _errors.MalformedAnnouncementError(str(error)) from error
    findings = schema.validate_document("backend", "Announcement", document)
    if findings:
        told = "; ".join(f"{f.path}: {f.message}" for f in findings[:8])
        raise _errors.MalformedAnnouncementError(told)
    return document
