"""A caller: asks, reads streams, resumes, resends."""

import time
from typing import NamedTuple

import httpx

CONNECT_SECONDS = 5.0
READ_SECONDS = 60.0


class Answer(NamedTuple):
    """What a caller received."""

    status: int
    headers: dict
    body: bytes
    #: Time to the first byte of the body.
    first_byte_ms: float
    #: Number of events, for a stream.
    events: int
    #: Whether the stream ended with its end mark.
    whole: bool
    last_event_id: str

    @property
    def run_state(self):
        """Run state that the gateway told."""
        return self.headers.get("x-run-state", "")


class Caller:
    """Sends requests of one organisation to entry VMs.

    :param token: the caller's bearer token.
    """

    def __init__(self, token):
        self.token = token
        self._client = None

    async def __aenter__(self):
        limits = httpx.Limits(max_connections=None)
        timeout = httpx.Timeout(READ_SECONDS, connect=CONNECT_SECONDS)
        self._client = httpx.AsyncClient(limits=limits, timeout=timeout)
        return self

    async def __aexit__(self, *exc_info):
        await self._client.aclose()

    def _headers(self, extra):
        return {"authorization": f"Bearer {self.token}", **dict(extra)}

    async def request(self, method, url, headers=(), **arguments):
        """Send a request and read the whole answer.

        :param method: HTTP method.
        :param url: whole URL.
        :param headers: further headers.
        :param arguments: passed to httpx, such as ``json``.
        """
        return await self.stream(method, url, headers, None, **arguments)

    async def stream(
        self, method, url, headers=(), stop_after=None, **arguments
    ):
        """Send a request and read its answer as it comes.

        :param method: HTTP method.
        :param url: whole URL.
        :param headers: further headers.
        :param stop_after: events after which to leave; ``None`` for all.
        :param arguments: passed to httpx, such as ``json``.
        """
        begun = time.monotonic()
        first_byte = None
        body = bytearray()
        async with self._client.stream(
            method, url, headers=self._headers(headers), **arguments
        ) as response:
            async for chunk in response.aiter_raw():
                if first_byte is None:
                    first_byte = time.monotonic()
                body += chunk
                seen = body.count(b"\n\n")
                if stop_after is not None and seen >= stop_after:
                    break
        first_byte = first_byte or time.monotonic()
        return Answer(
            response.status_code,
            dict(response.headers),
            bytes(body),
            (first_byte - begun) * 1e3,
            body.count(b"\nid: ") + body.startswith(b"id: "),
            body.endswith(b"data: [DONE]\n\n"),
            _last_event_id(bytes(body)),
        )

    async def chat(self, entry_url, model, content, **options):
        """Ask for a chat completion.

        :param entry_url: base URL of the entry VM.
        :param model: name of the model.
        :param content: text of the user's message.
        :param options: further fields of the body, ``headers`` and
            ``stop_after``.
        """
        headers = options.pop("headers", ())
        stop_after = options.pop("stop_after", None)
        document = {
            "model": model,
            "messages": [{"role": "user", "content": content}],
            **options,
        }
        return await self.stream(
            "POST",
            f"{entry_url}/v1/chat/completions",
            headers,
            stop_after,
            json=document,
        )


def _last_event_id(body):
    at = body.rfind(b"id: ")
    if at < 0:
        return ""
    return body[at + 4 : body.find(b"\n", at)].decode()
