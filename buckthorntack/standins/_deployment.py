"""A whole deployment in one process, for demonstrations and trials.

Real sockets on loopback; delay, bandwidth and cuts between regions are
imposed where links hand messages on.
"""

import asyncio
import contextlib
import datetime
import functools
import pathlib
import random
from typing import NamedTuple

import httpx

from buckthorntack import clock as clocks
from buckthorntack import ledger
from buckthorntack import node as nodes
from buckthorntack import objects
from buckthorntack import security
from buckthorntack import settings as settings_files
from buckthorntack import transport
from buckthorntack.standins import _announcer
from buckthorntack.standins import _engine
from buckthorntack.standins import _ports
from buckthorntack.standins import _service

OPERATOR_TOKEN = "demo-operator"
POLL_SECONDS = 0.02
WEIGHT_BYTES_PER_SECOND = 2e9


class Layout(NamedTuple):
    """Size of a deployment and of its links."""

    entries_per_domain: int = 2
    one_way_ms: float = 55.0
    local_ms: float = 1.5
    bits_per_second: float = 70e6
    #: Backend servers of each service, over all failure domains.
    servers: dict[str, int] = {}
    engine: _engine.EngineProfile = _engine.EngineProfile()
    timing: dict[str, int] = {}


class RunningServer(NamedTuple):
    """A fake backend server with its listener and announcer."""

    server_id: str
    region: str
    service: str
    fake: object
    listener: transport.HttpListener
    announcer: _announcer.Announcer


class Deployment:
    """Nodes, fake backend servers and what lies between them.

    :param folder: folder of operators' objects.
    :param data_folder: where the nodes keep their state.
    :param layout: the :class:`Layout`.
    :param seed: seed of all randomness.
    :param make_router: makes another routing policy, for trials.
    :param on_run: called with server, attempt id, path and body whenever a
        fake backend server begins to run a request.
    """

    def __init__(
        self,
        folder,
        data_folder,
        layout=None,
        seed=1,
        make_router=None,
        on_run=None,
    ):
        self.folder = pathlib.Path(folder)
        self.data_folder = pathlib.Path(data_folder)
        self.layout = layout or Layout()
        self.seed = seed
        self.make_router = make_router
        self.on_run = on_run
        self.clock = clocks.SystemClock()
        self.cut_links = set()
        self.nodes = {}
        self.settings = {}
        self.servers = {}
        self._link_free_at = {}
        self._ports = _ports.FreePorts()
        self._loaded = None
        self._stack = contextlib.AsyncExitStack()
        self._node_stacks = {}

    async def __aenter__(self):
        await self._stack.__aenter__()
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    async def _start(self):
        self._loaded = objects.load_folder(self.folder)
        if self._loaded.findings:
            raise ValueError(f"faults in {self.folder}")
        self._write_keys()
        self._stack.enter_context(self._ports)
        self._plan_nodes()
        self._stack.push_async_callback(self._close_nodes)
        await asyncio.gather(*(self.start_node(n) for n in self.settings))
        await self.publish(self._loaded.named_objects)
        await self._start_servers()
        await self._until_ready()

    def of_kind(self, kind):
        """Objects of one kind, as read from the folder.

        :param kind: the kind.
        """
        return [
            named["object"]
            for named in self._loaded.named_objects
            if named["kind"] == kind
        ]

    def _write_keys(self):
        keys = self.data_folder / "keys"
        keys.mkdir(parents=True, exist_ok=True)
        operators = {
            "operators": [
                {
                    "name": "demo",
                    "role": "admin",
                    "token_sha256": security.hash_token(OPERATOR_TOKEN),
                }
            ]
        }
        contents = {
            "links.json": security.generate_link_keys(),
            "tokens.json": security.generate_signing_keys(),
            "operators.json": operators,
        }
        for name, content in contents.items():
            if not (keys / name).exists():
                text = security.format_key_file(content)
                settings_files.write_secret(keys / name, text)

    def _plan_nodes(self):
        domains = sorted(
            (domain["region"], domain["name"])
            for domain in self.of_kind("FailureDomain")
        )
        addresses = []
        for region, domain in domains:
            for number in range(self.layout.entries_per_domain):
                roles = ["entry", "control"] if number == 0 else ["entry"]
                addresses.append(
                    {
                        "node_id": f"{domain}-{number + 1}",
                        "link_address": f"{_ports.HOST}:{self._ports.take()}",
                        "region": region,
                        "failure_domain": domain,
                        "roles": roles,
                    }
                )
        for address in addresses:
            node_id = address["node_id"]
            self.settings[node_id] = self._settings(address, addresses)

    def _settings(self, address, addresses):
        control = [a["node_id"] for a in addresses if "control" in a["roles"]]
        homes = [
            {
                "home_id": a["failure_domain"],
                "region": a["region"],
                "replicas": [a["node_id"]],
            }
            for a in addresses
            if "control" in a["roles"]
        ]
        keys = self.data_folder / "keys"
        document = {
            "node_id": address["node_id"],
            "roles": address["roles"],
            "region": address["region"],
            "failure_domain": address["failure_domain"],
            "data_folder": str(self.data_folder / address["node_id"]),
            "links": {"listen_address": address["link_address"]},
            "callers": {
                "listen_address": f"{_ports.HOST}:{self._ports.take()}"
            },
            "backends": {
                "listen_address": f"{_ports.HOST}:{self._ports.take()}"
            },
            "metrics": {
                "listen_address": f"{_ports.HOST}:{self._ports.take()}"
            },
            "nodes": addresses,
            "control": control,
            "ledger_homes": homes,
            "keys": {
                "link_keys_file": str(keys / "links.json"),
                "token_key_file": str(keys / "tokens.json"),
                "operator_tokens_file": str(keys / "operators.json"),
            },
            "timing": dict(self.layout.timing),
            "weight_store": {"bytes_per_second": WEIGHT_BYTES_PER_SECOND},
        }
        if "control" in address["roles"]:
            admin = f"{_ports.HOST}:{self._ports.take()}"
            document["admin"] = {"listen_address": admin}
        checked = settings_files.from_document(document)
        if checked.is_error():
            raise checked.error
        return checked.ok

    async def start_node(self, node_id):
        """Start a node, also one that was stopped.

        :param node_id: the node.
        """
        settings = self.settings[node_id]
        shaper = transport.LinkShaper(
            settings["region"],
            self.region_of,
            datetime.timedelta(milliseconds=self.layout.one_way_ms),
            datetime.timedelta(milliseconds=self.layout.local_ms),
            self.layout.bits_per_second / 8,
            self._link_free_at,
            self.cut_links,
        )
        rng = random.Random(f"{self.seed}/{node_id}")
        node = nodes.Node(
            settings,
            self.clock,
            rng,
            shaping=shaper,
            make_router=self.make_router,
        )
        stack = contextlib.AsyncExitStack()
        self.nodes[node_id] = await stack.enter_async_context(node)
        self._node_stacks[node_id] = stack

    async def _close_nodes(self):
        stacks = list(self._node_stacks.values())
        self._node_stacks.clear()
        await asyncio.gather(*(stack.aclose() for stack in stacks))

    async def stop_node(self, node_id):
        """Stop a node as SIGTERM does.

        :param node_id: the node.
        """
        await self.nodes[node_id].stop()
        await self._node_stacks.pop(node_id).aclose()
        del self.nodes[node_id]

    async def kill_node(self, node_id):
        """End a node as a crash does.

        :param node_id: the node.
        """
        node = self.nodes.pop(node_id)
        _mute(node)
        await node.entry.caller_listener.kill()
        await node.entry.backend_listener.kill()
        await self._node_stacks.pop(node_id).aclose()

    def region_of(self, node_id):
        """Region of a node.

        :param node_id: the node.
        """
        return self.settings[node_id]["region"]

    def entries(self, region):
        """Running nodes of a region.

        :param region: its name.
        """
        return [
            self.nodes[node_id]
            for node_id in sorted(self.nodes)
            if self.region_of(node_id) == region
        ]

    def caller_url(self, region, number=0):
        """Where callers reach an entry VM.

        :param region: its region.
        :param number: which of the region's running ones.
        """
        return self.entries(region)[number].entry.caller_listener.url

    def admin_url(self):
        """Where operators reach a control VM."""
        for node_id in sorted(self.nodes):
            node = self.nodes[node_id]
            if node.control is not None:
                return node.control.admin_listener.url
        raise LookupError("no control VM runs")

    def cut(self, region):
        """Cut a region off from all others, both ways.

        :param region: its name.
        """
        for other in {s["region"] for s in self.settings.values()}:
            if other != region:
                self.cut_links |= {(region, other), (other, region)}

    def heal(self, region):
        """Undo :meth:`cut`.

        :param region: its name.
        """
        self.cut_links -= {pair for pair in self.cut_links if region in pair}

    async def publish(self, named_objects, change_id="first", base=0):
        """Publish a whole set and wait for the answer.

        :param named_objects: the objects.
        :param change_id: id of the change.
        :param base: revision that it is based on.
        :returns: the parsed answer.
        """
        change = {
            "change_id": change_id,
            "base_revision": base,
            "put": list(named_objects),
            "replace_all": True,
        }
        headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = f"{self.admin_url()}/admin/v1/changes"
        async with httpx.AsyncClient(timeout=15, trust_env=False) as client:
            for _ in range(20):
                answer = await client.post(url, json=change, headers=headers)
                if answer.status_code not in (502, 503, 504):
                    break
                await asyncio.sleep(0.2)
        document = answer.json()
        if not document.get("accepted"):
            raise RuntimeError(f"not accepted: {document}")
        return document

    async def _start_servers(self):
        pools = self.of_kind("BackendServerPool")
        kinds = {s["name"]: s["kind"] for s in self.of_kind("Service")}
        for pool in pools:
            service = pool["service"]
            count = self.layout.servers.get(service, 3)
            domains = pool["failure_domains"]
            share = sum(
                len(p["failure_domains"])
                for p in pools
                if p["service"] == service
            )
            count = max(len(domains), round(count * len(domains) / share))
            for number in range(count):
                domain = domains[number % len(domains)]
                name = f"{pool['name']}-{number + 1}"
                await self.start_server(name, pool, domain, kinds[service])

    async def start_server(self, server_id, pool, domain, kind, port=0):
        """Start a fake backend server and announce it.

        :param server_id: its id.
        :param pool: its ``BackendServerPool``.
        :param domain: its failure domain.
        :param kind: model or plain.
        :param port: port to listen on; 0 for a free one.
        """
        if kind == "model":
            fake = _engine.FakeEngine(
                server_id,
                self.layout.engine,
                pool.get("model_versions", ()),
            )
            slots = self.layout.engine.slots
        else:
            fake = _service.FakeService(server_id)
            slots = 64
        listener = transport.HttpListener(
            fake, transport.bind_listener(f"{_ports.HOST}:{port}")
        )
        await listener.__aenter__()
        document = {
            "server_id": server_id,
            "incarnation": int(self.clock.wall().timestamp() * 1000),
            "pool": pool["name"],
            "failure_domain": domain,
            "url": listener.url,
            "slots": slots,
        }
        region = self._region_of_domain(domain)
        urls = [
            node.entry.backend_listener.url for node in self.entries(region)
        ]
        announcer = _announcer.Announcer(fake, document, urls)
        server = RunningServer(
            server_id, region, pool["service"], fake, listener, announcer
        )
        if self.on_run is not None:
            fake.on_run = functools.partial(self.on_run, server)
        await self._until(lambda: self._configured(region))
        await announcer.__aenter__()
        self.servers[server_id] = server
        fake.on_crash = lambda: asyncio.create_task(self.kill_server(server))
        self._stack.push_async_callback(self.kill_server, server)

    def _configured(self, region):
        return all(node.is_ready() for node in self.entries(region))

    def _region_of_domain(self, name):
        for domain in self.of_kind("FailureDomain"):
            if domain["name"] == name:
                return domain["region"]
        raise LookupError(name)

    async def kill_server(self, server):
        """End a fake backend server as a crash does.

        :param server: the :class:`RunningServer`.
        """
        if self.servers.pop(server.server_id, None) is None:
            return
        await server.announcer.stop()
        await server.listener.kill()

    async def _until(self, condition):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)

    async def _until_ready(self):
        expected = {}
        for server in self.servers.values():
            expected.setdefault(server.region, set()).add(server.server_id)
        for region, known in expected.items():
            for node in self.entries(region):
                await self._until(
                    lambda n=node, k=known: (
                        k <= n.entry.components.servers.keys()
                    )
                )
                if len(self.of_kind("FailureDomain")) > 1:
                    await self._until(node.members.summaries)

    def key_prefix(self, region):
        """Prefix of idempotency keys whose home is in a region.

        :param region: its name.
        """
        home = next(
            home
            for home in self.entries(region)[0].settings["ledger_homes"]
            if home["region"] == region
        )
        wall_ms = int(self.clock.wall().timestamp() * 1000)
        return ledger.key_prefix(home["home_id"], wall_ms)


def _mute(node):
    """Let a node that is about to crash send nothing about its end."""
    node.links.send = lambda to, message: False
    node.entry.components.attempt_client.cancel = lambda target: None
