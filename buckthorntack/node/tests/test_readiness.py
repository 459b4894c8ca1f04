"""Test of the readiness endpoint of a node."""

import asyncio
import pathlib

import httpx

from buckthorntack import standins

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples" / "hoardline"
TIMEOUT_SECONDS = 120
NODE_ID = "fukuoka-a-1"


async def get_readiness_status(node):
    async with httpx.AsyncClient(trust_env=False) as client:
        answer = await client.get(f"{node.monitoring_listener.url}/readyz")
    return answer.status_code


async def get_statuses_around_stop(folder):
    layout = standins.Layout(entries_per_domain=1)
    async with standins.Deployment(EXAMPLES, folder, layout) as deployment:
        node = deployment.nodes[NODE_ID]
        before = await get_readiness_status(node)
        stop = asyncio.create_task(deployment.stop_node(NODE_ID))
        await asyncio.sleep(0)
        in_stop = await get_readiness_status(node)
        await stop
    return before, in_stop


def test_a_stopping_node_is_not_ready(tmp_path):
    async def run():
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await get_statuses_around_stop(tmp_path)

    assert asyncio.run(run()) == (200, 503)
