"""Processes of the soak: nodes behind proxies, ended by their ids only."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys

from tools.soak import _proxy

LINK, FORWARD, METRICS = 7400, 7401, 7402
CONTROL, FRONT, READY, DIRECTORY = 8400, 8401, 8402, 8403
GRACE_S = 8.0
START_POLL_S = 0.05
#: Event of a process that handles signals and accepts connections.
STARTED_EVENT = b'"name":"node_started"'
ZONES = {"a1": "north", "b1": "south"}


class Node:
    """One process of buckthorntack, its settings, disk and proxies.

    :param name: its name.
    :param role: ``entry`` or ``control``.
    :param zone: its failure domain.
    :param public: IP address that others use.
    :param private: IP address that it binds.
    :param seeds: service addresses of control VMs.
    :param folder: where its files lie.
    """

    def __init__(self, name, role, zone, public, private, seeds, folder):
        self.name = name
        self.role = role
        self.zone = zone
        self.public = public
        self.private = private
        self.seeds = seeds
        self.folder = pathlib.Path(folder, name)
        self.process = None
        self.proxies = {}
        self.first_start = True
        #: When each of its processes was told to stop; monotonic.
        self.stops_s = []
        self._stopping = None
        self._log_start_bytes = 0
        #: Held while its process is started: faults may overlap.
        self._start_lock = asyncio.Lock()
        self._stack = contextlib.AsyncExitStack()

    @property
    def port(self):
        """Port of its service address."""
        return FRONT if self.role == "entry" else CONTROL

    @property
    def address(self):
        """Service address that others use."""
        return f"{self.public}:{self.port}"

    @property
    def direct_address(self):
        """Service address behind its proxy."""
        return f"{self.private}:{self.port}"

    @property
    def directory_address(self):
        """Address of its directory that others use."""
        return f"{self.public}:{DIRECTORY}"

    def _document(self):
        is_entry = self.role == "entry"
        return {
            "role": self.role,
            "node_name": self.name,
            "region": ZONES[self.zone],
            "failure_domain": self.zone,
            "regions": ZONES,
            "ip_address": self.public,
            "listen_ip": self.private,
            "service_address": self.address,
            "readiness_address": f"{self.public}:{READY}" if is_entry else "",
            "directory_address": (self.directory_address if is_entry else ""),
            "metrics_port": METRICS,
            "internal_ports": [LINK, METRICS],
            "seeds": self.seeds,
            "first_start": self.first_start,
            "data_folder": "" if is_entry else str(self.folder / "data"),
            "announcement_ms": 1200,
            "tolerated_losses": 1,
            "repeat_ratio": 0.2,
            "repeat_slack": 56.0,
            "directory_ttl_s": 5.0,
            "grace_s": GRACE_S,
        }

    async def __aenter__(self):
        (self.folder / "data").mkdir(parents=True, exist_ok=True)
        for port in (LINK, FORWARD, self.port, READY, DIRECTORY):
            proxy = _proxy.Proxy(
                f"{self.public}:{port}", f"{self.private}:{port}"
            )
            self.proxies[port] = await self._stack.enter_async_context(proxy)
        await self.start()
        return self

    async def __aexit__(self, *exc_info):
        await self.kill()
        await self._stack.aclose()

    async def start(self):
        """Start its process on what its disk holds."""
        settings = self.folder / "settings.json"
        settings.write_text(json.dumps(self._document()))
        log_path = self.folder / "log"
        self._log_start_bytes = (
            log_path.stat().st_size if log_path.exists() else 0
        )
        with log_path.open("ab") as log:  # noqa: ASYNC230
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "buckthorntack.platform",
                stdout=log,
                stderr=log,
                env={**os.environ, "BUCKTHORNTACK_NODE_FILE": str(settings)},
            )
        self.first_start = False

    async def ensure_running(self):
        """Start its process if that has ended, or let it go on."""
        async with self._start_lock:
            self.signal(signal.SIGCONT)
            if self.process.returncode is not None:
                await self.start()

    async def wait_started(self):
        """Wait until its process has started or ended."""
        while not self._is_settled():  # noqa: ASYNC110
            await asyncio.sleep(START_POLL_S)

    def _is_settled(self):
        return self.process.returncode is not None or self._has_started()

    def _has_started(self):
        """Return whether its present process has told that it started."""
        with (self.folder / "log").open("rb") as log:
            log.seek(self._log_start_bytes)
            return STARTED_EVENT in log.read()

    def signal(self, number):
        """Send a signal to its process, if that still runs.

        :param number: the signal.
        """
        if self.process is None or self.process.returncode is not None:
            return
        # Process.send_signal polls first, which takes the exit code away from
        # the event loop.
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, number)

    async def kill(self):
        """Kill its process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def stop(self):
        """Stop its process as planned.

        :returns: whether it ended by itself within the grace time.
        """
        has_started = self._has_started()
        process = self.process
        # The grace is counted from the first of the signals to a process.
        if process is not self._stopping:
            self._stopping = process
            self.stops_s.append(asyncio.get_running_loop().time())
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                code = await process.wait()
                was_starting = not has_started and code == -signal.SIGTERM
                return code == 0 or was_starting
        except TimeoutError:
            await self.kill()
            return False

    def wipe(self):
        """Empty its disk; its process must have ended."""
        for path in sorted((self.folder / "data").rglob("*"), reverse=True):
            path.unlink() if path.is_file() else path.rmdir()
