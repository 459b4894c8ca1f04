"""Drives a deployment with a mix of requests and collects what is seen."""

import asyncio
import contextlib
import pathlib
import tempfile
from typing import NamedTuple

from buckthorntack import standins
from buckthorntack.bench import _client
from buckthorntack.bench import _faults
from buckthorntack.bench import _mix
from buckthorntack.bench import _policies
from buckthorntack.bench import _promises
from buckthorntack.bench import _records

LAG_PERIOD_S = 0.05


class RunPlan(NamedTuple):
    """What one run does."""

    workload: object
    policy: str = _policies.GATEWAY
    seed: int = 1
    seconds: float = 30.0
    rate: float = 1.0
    #: Steps of a fault schedule.
    faults: tuple = ()
    examples: str = "examples"
    #: Time before what is measured, to fill the caches.
    warm_up_s: float = 0.0


class RunResult(NamedTuple):
    """What one run gave."""

    plan: RunPlan
    observations: list
    records: _records.RunRecords
    violations: list
    #: Cost of one server for an hour, by pool.
    pool_costs: dict
    profile: standins.EngineProfile
    #: Lateness of the event loop, which bounds what a run can tell.
    loop_lags_ms: list


class Driver:
    """Runs one plan.

    :param plan: the :class:`RunPlan`.
    """

    def __init__(self, plan):
        self.plan = plan
        self.records = _records.RunRecords()
        self.observations = []
        self.loop_lags_ms = []
        self.deployment = None
        self._callers = {}
        self._stack = contextlib.AsyncExitStack()

    async def run(self):
        """Bring the deployment up, send all requests, check the answers.

        :returns: the :class:`RunResult`.
        """
        with tempfile.TemporaryDirectory(prefix="buckthorntack-") as folder:
            async with self._stack:
                await self._start(folder)
                await self._send_all()
                return self._result()

    async def _start(self, folder):
        plan, workload = self.plan, self.plan.workload
        layout = standins.Layout(
            bits_per_second=workload.bits_per_second,
            servers=workload.servers,
            engine=standins.EngineProfile(
                cached_blocks=workload.cached_blocks
            ),
        )
        self.deployment = standins.Deployment(
            pathlib.Path(plan.examples) / workload.name,
            folder,
            layout,
            plan.seed,
            _policies.POLICIES[plan.policy],
            self.records.note,
        )
        await self._stack.enter_async_context(self.deployment)
        for organisation in self.deployment.of_kind("Organisation"):
            name = organisation["name"]
            caller = _client.LoadCaller(
                f"demo-{name}", self.deployment.key_prefix
            )
            self._callers[name] = caller
            await self._stack.enter_async_context(caller)

    async def _send_all(self):
        plan = self.plan
        requests = _mix.with_warm_up(
            plan.workload,
            plan.seed,
            plan.seconds,
            plan.rate,
            plan.warm_up_s,
        )
        watch = asyncio.create_task(self._watch_loop())
        injector = _faults.Injector(self.deployment, self.send_marked)
        faults = asyncio.create_task(injector.run(plan.faults))
        try:
            async with asyncio.TaskGroup() as group:
                await self._send_in_time(requests, group)
            await faults
        finally:
            watch.cancel()
            faults.cancel()

    async def _send_in_time(self, requests, group):
        loop = asyncio.get_running_loop()
        begun = loop.time()
        for request in requests:
            await asyncio.sleep(max(0.0, begun + request.at_s - loop.time()))
            group.create_task(self._send(request))

    async def _send(self, request):
        caller = self._callers[request.organisation]
        urls = self._urls(request)
        self.observations.append(await caller.send(request, urls))

    async def send_marked(self, region, organisation, content):
        """Send a request beside the mix.

        :param region: where its caller is.
        :param organisation: whose it is.
        :param content: its text.
        """
        model = self.plan.workload.kinds[0].service
        url = self.deployment.caller_url(region)
        async with standins.Caller(f"demo-{organisation}") as caller:
            return await caller.chat(url, model, content, max_tokens=4)

    def _urls(self, request):
        """All entry VMs of the region; callers may not know which run."""
        settings = self.deployment.settings
        urls = [
            f"http://{settings[node_id]['callers']['listen_address']}"
            for node_id in sorted(settings)
            if settings[node_id]["region"] == request.region
        ]
        first = request.entry % len(urls)
        return urls[first:] + urls[:first]

    async def _watch_loop(self):
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(LAG_PERIOD_S)
            late_s = loop.time() - before - LAG_PERIOD_S
            self.loop_lags_ms.append(late_s * 1e3)

    def _result(self):
        rules = {
            rule["name"]: rule["regions"]
            for rule in self.deployment.of_kind("ResidencyRule")
        }
        allowed = {
            one["name"]: rules[one["residency_rule"]]
            for one in self.deployment.of_kind("Organisation")
        }
        lost_expected = _faults.loses_connections(self.plan.faults)
        violations = _promises.check(
            self.observations, self.records, allowed, lost_expected
        )
        costs = {
            pool["name"]: pool["cost_per_hour"]
            for pool in self.deployment.of_kind("BackendServerPool")
        }
        return RunResult(
            self.plan,
            self.observations,
            self.records,
            violations,
            costs,
            self.deployment.layout.engine,
            self.loop_lags_ms,
        )
