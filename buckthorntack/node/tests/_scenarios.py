"""One deployment for the tests of a module, and what they ask of it."""

import asyncio
import contextlib
import json
import re
import tempfile

import httpx

from buckthorntack import standins

FOLDER = "examples/hoardline"
REGIONS = ("fukuoka", "kagoshima", "kumamoto")
#: Organisation that all regions may serve.
WIDE = "kyushu-roundabouts"
#: Enough for a machine that is busy with other work.
PATIENCE_SECONDS = 40
POLL_SECONDS = 0.02


class Scenarios:
    """Runs coroutines beside a deployment, all on one event loop.

    :param layout: ``standins.Layout`` of the deployment.
    """

    def __init__(self, layout=None):
        self.layout = layout or standins.Layout(one_way_ms=5.0)
        self.deployment = None
        self.callers = {}
        self.operator = None
        #: Server, attempt id, path and body of each run, also of servers
        #: that have died since.
        self.runs = []
        self._runner = asyncio.Runner()
        self._stack = contextlib.AsyncExitStack()

    def __enter__(self):
        self._runner.__enter__()
        try:
            self.run(self._start())
        except BaseException:
            self._runner.close()
            raise
        return self

    def __exit__(self, *exc_info):
        try:
            self.run(self._stack.aclose())
        finally:
            self._runner.close()

    def run(self, work):
        """Await a coroutine; give up long after it must have ended.

        :param work: the coroutine.
        """

        async def bounded():
            async with asyncio.timeout(PATIENCE_SECONDS):
                return await work

        return self._runner.run(bounded())

    async def _start(self):
        enter = self._stack.enter_async_context
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        deployment = standins.Deployment(
            FOLDER, folder, self.layout, on_run=self._note_run
        )
        self.deployment = await enter(deployment)
        client = httpx.AsyncClient(timeout=30, trust_env=False)
        self.operator = await enter(client)
        for organisation in deployment.of_kind("Organisation"):
            name = organisation["name"]
            self.callers[name] = await enter(standins.Caller(f"demo-{name}"))

    def _note_run(self, server, attempt_id, path, body):
        self.runs.append((server.server_id, attempt_id, path, body))

    def runs_with(self, mark):
        """Runs whose body holds a mark.

        :param mark: text that only one request carries.
        """
        return [run for run in self.runs if mark.encode() in run[3]]

    def servers_of(self, service):
        """Running backend servers of a service.

        :param service: its name.
        """
        servers = self.deployment.servers.values()
        return [server for server in servers if server.service == service]

    def url(self, region, number=0):
        """Where callers reach an entry VM.

        :param region: its region.
        :param number: which of the region's running ones.
        """
        return self.deployment.caller_url(region, number)

    async def book(self, url, key, mark, organisation=WIDE):
        """Send a booking.

        :param url: base URL of an entry VM.
        :param key: idempotency key.
        :param mark: text that only this booking carries.
        :param organisation: whose booking it is.
        :returns: ``standins.Answer``, or None if the connection broke.
        """
        try:
            return await self.callers[organisation].request(
                "POST",
                f"{url}/services/vergedesk/bookings",
                {"idempotency-key": key},
                json={"roundabout": 7, "sponsor": mark},
            )
        except httpx.TransportError:
            return None

    async def book_until_replayed(self, url, key, mark):
        """Resend a booking until its answer is replayed.

        :param url: base URL of an entry VM.
        :param key: idempotency key.
        :param mark: text that only this booking carries.
        :returns: all answers, the last the replay.
        """
        answers = []
        while not answers or answers[-1].status != 200:
            answers.append(await self.book(url, key, mark))
        return answers

    async def change(self, change_id, put, base=None, url=None):
        """Send a change of objects.

        :param change_id: its id.
        :param put: named objects to put.
        :param base: revision that it is based on; None for the present.
        :param url: base URL of a control VM.
        :returns: the parsed answer.
        """
        if base is None:
            base = self.revision()
        document = {"change_id": change_id, "base_revision": base, "put": put}
        token = standins.OPERATOR_TOKEN
        answer = await self.operator.post(
            f"{url or self.deployment.admin_url()}/admin/v1/changes",
            json=document,
            headers={"authorization": f"Bearer {token}"},
        )
        return answer.json()

    def revision(self, node=None):
        """Revision in force at a node; by default the highest of all.

        :param node: the node.
        """
        nodes = [node] if node else self.deployment.nodes.values()
        held = [n.entry.components.configuration.current() for n in nodes]
        return max(p.revision if p is not None else 0 for p in held)


async def until(condition):
    """Wait until a condition holds.

    :param condition: called without arguments.
    """
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(POLL_SECONDS)


def run_state(answer):
    """Run state that an answer tells.

    :param answer: ``standins.Answer``.
    """
    if answer.run_state:
        return answer.run_state
    return json.loads(answer.body)["error"]["run_state"]


def event_numbers(body):
    """Numbers of the events of a stream, in the order they came.

    :param body: bytes of the stream.
    """
    return [int(n) for n in re.findall(rb"^id: \S+/(\d+)$", body, re.M)]
