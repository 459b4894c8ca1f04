"""Processes for measuring streams: source, bare relay, gateway, callers."""

import asyncio
import multiprocessing
import pathlib
import resource
import tempfile
import time

from buckthorntack import standins
from buckthorntack import transport

EVENT_PERIOD_SECONDS = 0.025
END = b"data: [DONE]\n\n"
OBJECTS = """[
  {"kind": "Region", "object": {"name": "r1"}},
  {"kind": "FailureDomain", "object": {"name": "r1-a", "region": "r1"}},
  {"kind": "ResidencyRule", "object": {"name": "here", "regions": ["r1"]}},
  {"kind": "Priority", "object": {"name": "p", "rank": 1, "weight": 1}},
  {"kind": "Quota", "object": {"name": "q", "requests_per_second": 100000,
    "burst_requests": 100000, "tokens_per_minute": 1000000000}},
  {"kind": "DeploymentTerms", "object": {"name": "t",
    "tail_latency_weight": 1, "cost_weight": 1, "share_away_weight": 1}},
  {"kind": "ModelVersion", "object": {"name": "m-1", "model": "m",
    "version": "1", "weights_bytes": 1}},
  {"kind": "Service", "object": {"name": "m", "kind": "model",
    "terms": "t", "model_versions": ["m-1"]}},
  {"kind": "BackendServerPool", "object": {"name": "pool", "service": "m",
    "failure_domains": ["r1-a"], "model_versions": ["m-1"],
    "cost_per_hour": 1, "checks_fencing": true}},
  {"kind": "Organisation", "object": {"name": "org",
    "residency_rule": "here", "priority": "p", "quota": "q",
    "services": ["m"]}},
  {"kind": "CallerCredential", "object": {"name": "c",
    "organisation": "org", "token_sha256":
    "%s"}}
]"""
TOKEN = "demo-org"


class Worker:
    """A process that runs one asyncio function until told to end.

    :param function: called with a connection; sends a value when ready,
        and another once it received something.
    :param arguments: further arguments.
    """

    def __init__(self, function, *arguments):
        self.function = function
        self.arguments = arguments

    def __enter__(self):
        context = multiprocessing.get_context("spawn")
        self.pipe, other = context.Pipe()
        self.process = context.Process(
            target=_run, args=(self.function, other, self.arguments)
        )
        self.process.start()
        self.ready = self.pipe.recv()
        return self

    def cpu_seconds(self):
        """Processor time that the process has used."""
        self.pipe.send("cpu")
        return self.pipe.recv()

    def __exit__(self, *exc_info):
        self.pipe.send("end")
        self.process.join(10)
        if self.process.is_alive():
            self.process.terminate()


def _run(function, pipe, arguments):
    asyncio.run(function(pipe, *arguments))


async def _serve_pipe(pipe):
    loop = asyncio.get_running_loop()
    while True:
        asked = await loop.run_in_executor(None, pipe.recv)
        if asked == "end":
            return
        used = resource.getrusage(resource.RUSAGE_SELF)
        pipe.send(used.ru_utime + used.ru_stime)


async def source(pipe):
    """Serve paced events, as an engine does.

    :param pipe: connection to the owner.
    """
    profile = standins.EngineProfile(
        slots=100_000, prefill_tokens_per_second=1e9
    )
    engine = standins.FakeEngine("s1", profile, ["m-1"])
    bound = transport.bind_listener("127.0.0.1:0")
    async with transport.HttpListener(engine, bound) as listener:
        pipe.send(listener.url)
        await _serve_pipe(pipe)


async def bare_relay(pipe, url):
    """Copy bytes between a caller and the source.

    :param pipe: connection to the owner.
    :param url: the source.
    """
    host, port = url.removeprefix("http://").split(":")

    async def copy(reader, writer):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()

    async def handle(reader, writer):
        upstream = await asyncio.open_connection(host, int(port))
        ways = [copy(reader, upstream[1]), copy(upstream[0], writer)]
        tasks = [asyncio.create_task(way) for way in ways]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        writer.close()
        upstream[1].close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    own_port = server.sockets[0].getsockname()[1]
    pipe.send(f"http://127.0.0.1:{own_port}")
    await _serve_pipe(pipe)


async def gateway(pipe, url):
    """Run one entry VM before the source.

    :param pipe: connection to the owner.
    :param url: the source.
    """
    from buckthorntack import security

    with tempfile.TemporaryDirectory() as folder:
        objects = pathlib.Path(folder) / "objects"
        objects.mkdir()
        text = OBJECTS % security.hash_token(TOKEN)
        (objects / "all.json").write_text(text)
        layout = standins.Layout(entries_per_domain=1, servers={"m": 0})
        deployment = standins.Deployment(objects, folder, layout)
        async with deployment:
            await _announce(deployment, url)
            pipe.send(deployment.caller_url("r1"))
            await _serve_pipe(pipe)


class _Idle:
    model_versions = ("m-1",)

    def load_report(self):
        return {"running": 0, "waiting": 0, "cache_used_fraction": 0.0}

    def take_cache_events(self):
        return []


async def _announce(deployment, url):
    """Announce the source in place of the deployment's own engine."""
    for server in list(deployment.servers.values()):
        await deployment.kill_server(server)
    node = deployment.entries("r1")[0]
    document = {
        "server_id": "s1",
        "incarnation": 1,
        "pool": "pool",
        "failure_domain": "r1-a",
        "url": url,
        "slots": 10_000,
    }
    announcer = standins.Announcer(
        _Idle(), document, [node.entry.backend_listener.url]
    )
    await announcer.__aenter__()
    while set(node.entry.components.servers) != {"s1"}:
        if len(node.members.servers()) == 1:
            break
        await asyncio.sleep(0.05)


async def _one_stream(url, tokens, first_bytes):
    host, port = url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    body = (
        b'{"model":"m","stream":true,"max_tokens":%d,'
        b'"messages":[{"role":"user","content":"x"}]}' % tokens
    )
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
        f"authorization: Bearer {TOKEN}\r\nx-attempt-id: "
        f"{id(reader)}-{time.monotonic_ns()}\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    begun = time.monotonic()
    writer.write(head.encode() + body)
    events = 0
    first = None
    tail = b""
    while True:
        data = await reader.read(65536)
        if not data:
            break
        seen = data.count(b"data: ")
        if seen and first is None:
            first = time.monotonic()
            first_bytes.append((first - begun) * 1e3)
        events += seen
        tail = (tail + data)[-64:]
        if b"[DONE]" in tail:
            break
    writer.close()
    return events


async def _all_streams(url, streams, tokens):
    first_bytes = []
    tasks = []
    for _ in range(streams):
        tasks.append(
            asyncio.create_task(_one_stream(url, tokens, first_bytes))
        )
        await asyncio.sleep(EVENT_PERIOD_SECONDS / streams)
    counts = await asyncio.gather(*tasks)
    return sum(counts), first_bytes


def ask(url, streams, tokens):
    """Read streams at once and count their events.

    :param url: what is measured.
    :param streams: how many.
    :param tokens: events of each.
    :returns: number of events, and times to the first byte.
    """
    return asyncio.run(_all_streams(url, streams, tokens))
