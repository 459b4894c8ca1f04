"""HTTP application that receives announcements of backend servers."""

import re

import httpx
import msgspec

from buckthorntack import errors
from buckthorntack import schema
from buckthorntack import transport
from buckthorntack.entry import _errors
from buckthorntack.entry import _parsing
from buckthorntack.entry import _render
from buckthorntack.entry import _sink

ANNOUNCE_PATH = "/backend/v1/announce"
MAX_BODY_BYTES = 1 << 20
MAX_PORT = 65535
#: Maximum length of a DNS label, in characters.
MAX_LABEL_LENGTH = 63
HOST_LABEL = re.compile("[A-Za-z0-9-]*")


class BackendsApp:
    """ASGI application that checks and registers announcements.

    :param components: the ``EntryComponents``.
    """

    def __init__(self, components):
        self.components = components

    def asgi(self):
        """Return the ASGI application."""
        return transport.mounted_app(self.handle)

    async def handle(self, scope, receive, send):
        """Handle one HTTP request.

        :param scope: ASGI connection scope.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        """
        sink = _sink.CallerSink(send, "", self.components.planned_stop)
        try:
            headers = _parsing.read_headers(scope, MAX_BODY_BYTES)
            sink.request_id = _parsing.choose_request_id(headers)
            if (scope["method"], scope["path"]) != ("POST", ANNOUNCE_PATH):
                raise _errors.NotFoundError(scope["path"][:200])
            body = await _parsing.read_body(headers, receive, MAX_BODY_BYTES)
            response = self._register_server(body)
        except errors.GatewayError as error:
            await _render.send_error(sink, error, sink.request_id)
            return
        status = 200 if response["accepted"] else 409
        await _render.send_json(sink, response, status)

    def _register_server(self, body):
        document = _parse_announcement(body)
        published = self.components.configuration.current()
        if published is None:
            raise _errors.NotReadyError("no configuration is active yet")
        pool = published.pool(document["pool"])
        self._check_pool(document, pool, published)
        response = self.components.members.announce(document, pool["service"])
        if response["accepted"] and document.get("cache_events"):
            self.components.router.on_cache_events(
                document["server_id"],
                document["cache_events"],
                self.components.clock.monotonic(),
            )
        return response

    def _check_pool(self, document, pool, published):
        domain = document["failure_domain"]
        if pool is None:
            detail = f"pool {document['pool']} is not published"
            raise _errors.AnnouncementRefusedError(detail)
        if domain not in pool["failure_domains"]:
            detail = f"pool {document['pool']} does not include {domain}"
            raise _errors.AnnouncementRefusedError(detail)
        if domain != self.components.failure_domain:
            detail = f"{domain} is not the failure domain of this entry VM"
            raise _errors.AnnouncementRefusedError(detail)
        if not _is_address(document["url"]):
            detail = f"{document['url'][:200]!r} is not a valid base URL"
            raise _errors.AnnouncementRefusedError(detail)


def _is_address(url):
    """Return whether a URL is a valid base address for requests."""
    try:
        parsed = httpx.URL(url)
    except (httpx.InvalidURL, ValueError):
        return False
    if parsed.query or parsed.fragment or not url.isascii():
        return False
    port = parsed.port
    return (port is None or port <= MAX_PORT) and _is_host(parsed.host)


def _is_host(host):
    labels = re.split("[.:]", host)
    return bool(host) and all(
        len(label) <= MAX_LABEL_LENGTH and HOST_LABEL.fullmatch(label)
        for label in labels
    )


def _parse_announcement(body):
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise _errors.MalformedAnnouncementError(str(error)) from error
    findings = schema.validate_document("backend", "Announcement", document)
    if findings:
        details = "; ".join(f"{f.path}: {f.message}" for f in findings[:8])
        raise _errors.MalformedAnnouncementError(details)
    return document
