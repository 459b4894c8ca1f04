"""Readiness of a node, as its monitor tells it."""

import asyncio
import pathlib

import httpx

from buckthorntack import standins

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples" / "hoardline"
PATIENCE_SECONDS = 120
NODE = "fukuoka-a-1"


async def readiness(node):
    async with httpx.AsyncClient(trust_env=False) as client:
        answer = await client.get(f"{node.monitor.url}/readyz")
    return answer.status_code


async def readiness_before_and_in_stop(folder):
    layout = standins.Layout(entries_per_domain=1)
    async with standins.Deployment(EXAMPLES, folder, layout) as deployment:
        node = deployment.nodes[NODE]
        before = await readiness(node)
        stop = asyncio.create_task(deployment.stop_node(NODE))
        await asyncio.sleep(0)
        in_stop = await readiness(node)
        await stop
    return before, in_stop


def test_a_stopping_node_is_not_ready(tmp_path):
    async def run():
        async with asyncio.timeout(PATIENCE_SECONDS):
            return await readiness_before_and_in_stop(tmp_path)

    assert asyncio.run(run()) == (200, 503)
