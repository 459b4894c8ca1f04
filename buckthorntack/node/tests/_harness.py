"""Test harness: a deployment that the tests of a module share."""

import asyncio
import contextlib
import json
import re
import tempfile

import httpx

from buckthorntack import standins

EXAMPLE_FOLDER = "examples/hoardline"
REGIONS = ("fukuoka", "kagoshima", "kumamoto")
#: Organisation whose requests all regions may serve.
ALL_REGIONS_ORGANISATION = "kyushu-roundabouts"
#: Longest duration of a test; leaves room for a busy machine.
TIMEOUT_SECONDS = 40
POLL_INTERVAL_SECONDS = 0.02


class DeploymentHarness:
    """Deployment, callers and an operator that run on one event loop.

    :param layout: ``standins.Layout`` of the deployment; None for the
        default with a one-way link delay of 5 ms.
    """

    def __init__(self, layout=None):
        self.layout = layout or standins.Layout(one_way_ms=5.0)
        self.deployment = None
        self.callers = {}
        self.operator = None
        #: Server id, attempt id, path and body of each run on a backend
        #: server, including servers that have crashed since.
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
        """Run a coroutine on the event loop, with a timeout.

        :param work: the coroutine.
        :raises TimeoutError: it took longer than TIMEOUT_SECONDS.
        """

        async def bounded():
            async with asyncio.timeout(TIMEOUT_SECONDS):
                return await work

        return self._runner.run(bounded())

    async def _start(self):
        enter_async = self._stack.enter_async_context
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        deployment = standins.Deployment(
            EXAMPLE_FOLDER, folder, self.layout, on_run=self._record_run
        )
        self.deployment = await enter_async(deployment)
        client = httpx.AsyncClient(timeout=30, trust_env=False)
        self.operator = await enter_async(client)
        for organisation in deployment.of_kind("Organisation"):
            name = organisation["name"]
            self.callers[name] = await enter_async(
                standins.Caller(f"demo-{name}")
            )

    def _record_run(self, server, attempt_id, path, body):
        self.runs.append((server.server_id, attempt_id, path, body))

    def list_runs(self, marker):
        """Return the runs whose body contains a marker.

        :param marker: text that only this request contains.
        """
        return [run for run in self.runs if marker.encode() in run[3]]

    def list_servers(self, service):
        """Return the running backend servers of a service.

        :param service: name of the service.
        """
        servers = self.deployment.servers.values()
        return [server for server in servers if server.service == service]

    def caller_url(self, region, number=0):
        """Return the URL of an entry VM for callers.

        :param region: region of the entry VM.
        :param number: index among the running entry VMs of the region.
        """
        return self.deployment.caller_url(region, number)

    async def send_booking(
        self, url, key, marker, organisation=ALL_REGIONS_ORGANISATION
    ):
        """Send a booking, which is a non-idempotent request.

        :param url: base URL of an entry VM.
        :param key: idempotency key.
        :param marker: text that only this booking contains.
        :param organisation: name of the calling organisation.
        :returns: ``standins.Answer``, or None if the connection was lost.
        """
        try:
            return await self.callers[organisation].request(
                "POST",
                f"{url}/services/vergedesk/bookings",
                {"idempotency-key": key},
                json={"roundabout": 7, "sponsor": marker},
            )
        except httpx.TransportError:
            return None

    async def resend_until_replayed(self, url, key, marker):
        """Resend a booking until the response has status 200.

        :param url: base URL of an entry VM.
        :param key: idempotency key.
        :param marker: text that only this booking contains.
        :returns: all responses; the last one has status 200.
        """
        answers = []
        while not answers or answers[-1].status != 200:
            answers.append(await self.send_booking(url, key, marker))
        return answers

    async def submit_change(self, change_id, put, base=None, url=None):
        """Send a change of objects to the administration API.

        :param change_id: id of the change.
        :param put: named objects to put.
        :param base: base revision of the change; None for the highest
            applied revision.
        :param url: base URL of a control VM; None for the first that runs.
        :returns: the parsed response.
        """
        if base is None:
            base = self.applied_revision()
        document = {"change_id": change_id, "base_revision": base, "put": put}
        token = standins.OPERATOR_TOKEN
        answer = await self.operator.post(
            f"{url or self.deployment.admin_url()}/admin/v1/changes",
            json=document,
            headers={"authorization": f"Bearer {token}"},
        )
        return answer.json()

    def applied_revision(self, node=None):
        """Return the configuration revision that a node has applied.

        :param node: the node; None for the highest revision of all nodes.
        """
        nodes = [node] if node else self.deployment.nodes.values()
        applied = [n.entry.components.configuration.current() for n in nodes]
        return max(p.revision if p is not None else 0 for p in applied)


async def wait_until(condition):
    """Poll a condition until it is true.

    :param condition: function without parameters.
    """
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


def run_state(answer):
    """Return the run state of an error response.

    :param answer: ``standins.Answer``.
    """
    if answer.run_state:
        return answer.run_state
    return json.loads(answer.body)["error"]["run_state"]


def parse_event_numbers(body):
    """Return the event numbers of a stream in the order of arrival.

    :param body: received bytes of the stream.
    """
    return [int(n) for n in re.findall(rb"^id: \S+/(\d+)$", body, re.M)]
