"""Quotas of organisations: refusals, refunds and forwarded requests."""

from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests
from buckthorntack.schema import messages

SAFE = "/safe/x"
KEY = {"Authorization": "Token k1"}
RATE_PER_S = 0.2
BURST = 4


async def _limit(world, **fields):
    """Publish an organisation with a quota, and fill its buckets."""
    document = _standins.configuration(2)
    document["tenants"] = [
        {
            "name": "depot",
            "api_keys": ["k1"],
            "unit": "requests",
            "rate_per_s": RATE_PER_S,
            "burst": BURST,
            **fields,
        }
    ]
    assert (await world.publish(document)).status == 200
    await world.in_force(2)
    for quotas in _list_quotas(world):
        await world.until(lambda q=quotas: not q.is_cut_off)
        # As if the buckets had refilled since the start, which is over.
        quotas._base_share = 1.0
        quotas._is_starting = False


def _list_quotas(world):
    return [
        node.shared_state.quota_charger.quotas
        for node in world.nodes.values()
        if node.settings.role == "entry"
    ]


def _levels(world):
    return [
        quotas._accounts["depot"].level
        for quotas in _list_quotas(world)
        if "depot" in quotas._accounts
    ]


# Guards against a flood that is refused only after a server was reached.
def test_requests_beyond_the_quota_reach_no_server():
    async def scenario(world):
        await _limit(world)
        answers = [await world.ask(SAFE, **KEY) for _ in range(20)]
        served = [answer for answer in answers if answer.status == 200]
        refused = [answer for answer in answers if answer.status == 429]
        assert len(served) + len(refused) == len(answers)
        assert BURST <= len(served) <= BURST + 3
        assert len(world.servers["s1"].requests) == len(served)
        for answer in refused:
            assert float(answer.headers[b"retry-after"]) >= 1.0
        metrics = world.nodes["e0"].metrics_registry
        count = metrics.get_sample_value(
            "gateway_quota_requests_total",
            {"result": "refused", "unit": "requests"},
        )
        assert count == len(refused)

    test_requests.run(scenario, ("s1", "desk"))


# Guards against a quota that each entry VM hands out anew.
def test_other_entry_vms_learn_what_was_admitted():
    async def scenario(world):
        await _limit(world)
        for _ in range(BURST):
            assert (await world.ask(SAFE, **KEY)).status == 200
        await world.until(lambda: len(_levels(world)) == 3)
        await world.until(lambda: max(_levels(world)) < 1.0)
        for entry in ("e1", "e2"):
            statuses = [
                (await world.ask(SAFE, entry=entry, **KEY)).status
                for _ in range(5)
            ]
            assert 429 in statuses

    test_requests.run(scenario, ("s1", "desk"))


# Guards against a region that counts as out of touch while an entry VM drains.
def test_another_entry_vm_reports_for_the_region_of_one_that_drains():
    async def scenario(world):
        pair = [world.nodes["e0"], world.nodes["e1"]]
        await world.until(lambda: any(n._is_region_reporter() for n in pair))
        first, other = sorted(pair, key=lambda n: not n._is_region_reporter())
        await world.until(lambda: not other._is_region_reporter())
        first.following.set_state("stopping")
        name = first.settings.service_address
        known = other.registry.nodes
        await world.until(lambda: known[name].record.state == "stopping")
        # Its reports of use go on to come.
        now_s = other.clock.monotonic().total_seconds()
        exchange = other.shared_state.exchange
        report = messages.UseReport(
            10**6, "own", False, [], [], [], [], False, []
        )
        exchange.on_report(name, report, now_s)
        assert other._has_recent_report(name)
        assert other._is_region_reporter()
        await world.until(
            lambda: all(
                quotas._member_count == count
                for quotas, count in zip(
                    _list_quotas(world), (2, 2, 1), strict=True
                )
            )
        )

    test_requests.run(scenario)


# Guards against credit that is lost with a request that did not run.
def test_request_that_did_not_run_gives_its_credit_back():
    async def scenario(world):
        await _limit(world)
        server = world.servers["s1"]
        server.behave = _standins.answer_with(
            503, (b"X-Buckthorntack-Not-Executed", b"1")
        )
        for _ in range(5 * BURST):
            answer = await world.ask("/unsafe/x", **KEY)
            assert answer.status == 503, answer.body
        [level] = _levels(world)[:1]
        assert level == BURST

    test_requests.run(scenario, ("s1", "desk"))


# Guards against a second charge at the entry VM of another region.
def test_forwarded_request_is_charged_once():
    async def scenario(world):
        await _limit(world)
        answer = await world.ask(SAFE, entry="e2", **KEY)
        assert answer.status == 200
        amounts = [
            node.metrics_registry.get_sample_value(
                "gateway_quota_amount_total",
                {"result": "admitted", "unit": "requests"},
            )
            or 0
            for name, node in world.nodes.items()
            if name.startswith("e")
        ]
        assert sum(amounts) == 1

    test_requests.run(scenario, ("s1", "desk"))


# Guards against credit that is given back for a request that may have run.
def test_request_that_may_have_run_keeps_its_charge():
    async def scenario(world):
        await _limit(world)
        world.servers["s1"].behave = _standins.reset
        answer = await world.ask("/unsafe/x", **KEY)
        assert answer.status == 502
        [level] = _levels(world)[:1]
        assert level < BURST

    test_requests.run(scenario, ("s1", "desk"))
