"""Calls at an entry VM besides those of routes: readiness, directory."""

import urllib.parse

import msgspec

_JSON = [(b"Content-Type", b"application/json")]
#: Time that an answer of the directory is used; short, so that callers leave
#: VMs that stop, at the price of one small request for each client.
TTL_S = 2.0


def make_handlers(node):
    """Handlers of an entry VM, by name.

    :param node: the ``gateway.EntryNode``.
    """

    async def readiness(request, reply):
        status = 200 if node.is_ready() else 503
        reply.send(status, [], b"")

    async def directory(request, reply):
        path, _, query = request.target.decode("latin-1").partition("?")
        if path != "/resolve":
            reply.send(404, [], b"no such call\n")
            return
        asked = dict(urllib.parse.parse_qsl(query))
        addresses = node.directory(
            asked.get("name", ""),
            asked.get("region", ""),
            asked.get("zone", ""),
        )
        if not addresses:
            reply.send(503, [], b"no entry VM is known to be ready\n")
            return
        most_s = node.settings.directory_ttl.total_seconds()
        answer = {"addresses": addresses, "ttl_s": min(TTL_S, most_s)}
        reply.send(200, _JSON, msgspec.json.encode(answer))

    return {"readiness": readiness, "directory": directory}
