"""Servers that come back under the id that they had."""

import asyncio

from buckthorntack.platform.tests import _standins
from buckthorntack.platform.tests import test_requests

EVENTS = 4
#: Requests while no server accepts connections, and after they are back.
REQUESTS = 60
PAUSE_S = 0.05
PATH = "/talk/x"


# Guards against a service that is refused for good, with all its servers
# free, after connections to each of them have failed for some time.
def test_servers_that_were_down_are_used_again():
    async def scenario(world):
        servers = list(world.servers.values())
        for server in servers:
            server.behave = _standins.stream(EVENTS)
        assert (await world.ask(PATH, method="POST")).status == 200
        for server in servers:
            server.crash()
        state = world.nodes["e0"].shared_state.fleet.state
        for _ in range(REQUESTS):
            for server in servers:
                state(server.server_id).ejection.until_s = None
            answer = await world.ask(PATH, method="POST")
            assert answer.status == 503
        for server in servers:
            await world.restart_server(server)
        statuses = []
        for _ in range(REQUESTS):
            answer = await world.ask(PATH, method="POST")
            statuses.append(answer.status)
            await asyncio.sleep(PAUSE_S)
        assert statuses[-1] == 200, statuses

    test_requests.run(scenario, ("s1", "text"), ("s2", "text"))
