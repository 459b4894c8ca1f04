"""Announces a fake backend server to entry VMs, as a server's agent does."""

import asyncio

import httpx

REQUEST_SECONDS = 2.0
#: Accepted, or refused with a reason: either may carry the next echo.
ANSWERED = (200, 409)


class Announcer:
    """Announces, renews and withdraws one backend server.

    :param server: the fake server.
    :param document: fields of the announcement that do not change.
    :param entry_urls: base URLs of entry VMs, the first tried first.
    :param period_ms: period of renewal.
    :param announced_to: how many entry VMs are told each time.
    """

    def __init__(
        self, server, document, entry_urls, period_ms=400, announced_to=2
    ):
        self.server = server
        self.document = document
        self.entry_urls = list(entry_urls)
        self.period_ms = period_ms
        self.announced_to = announced_to
        self.state = "ready"
        self.sequence = 0
        self._echoes = {}
        self._client = None
        self._renewal = None

    async def __aenter__(self):
        self._client = httpx.AsyncClient(timeout=REQUEST_SECONDS)
        await self.announce()
        self._renewal = asyncio.create_task(self._renew())
        return self

    async def __aexit__(self, *exc_info):
        await self.stop()

    async def stop(self):
        """Stop announcing, without withdrawal."""
        self._renewal.cancel()
        await asyncio.gather(self._renewal, return_exceptions=True)
        await self._client.aclose()

    async def set_state(self, state):
        """Announce another state.

        :param state: ready, draining or withdrawn.
        """
        self.state = state
        await self.announce()

    async def announce(self):
        """Announce once.

        :returns: how many entry VMs took it.
        """
        self.sequence += 1
        document = {
            **self.document,
            "sequence": self.sequence,
            "state": self.state,
            "load": self.server.load_report(),
        }
        if hasattr(self.server, "model_versions"):
            document["model_versions"] = self.server.model_versions
            document["cache_events"] = self.server.take_cache_events()
        taken = 0
        for url in list(self.entry_urls):
            if taken == self.announced_to:
                break
            taken += await self._post(url, document)
        return taken

    async def _post(self, url, document):
        echo, heard = self._echoes.get(url, ("", 0.0))
        loop = asyncio.get_running_loop()
        if echo:
            age_ms = int((loop.time() - heard) * 1e3)
            document = {**document, "echo": echo, "echo_age_ms": age_ms}
        try:
            answer = await self._client.post(
                f"{url}/backend/v1/announce", json=document
            )
        except httpx.HTTPError:
            return 0
        if answer.status_code not in ANSWERED:
            return 0
        told = answer.json()
        if "echo" in told:
            self._echoes[url] = (told["echo"], loop.time())
        return int(told.get("accepted", False))

    async def _renew(self):
        while True:
            await asyncio.sleep(self.period_ms / 1e3)
            await self.announce()
