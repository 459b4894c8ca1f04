"""The control role: owns the replicas and listeners of a control VM."""

import asyncio
import contextlib
import datetime
import pathlib

from buckthorntack import configuration
from buckthorntack import consensus
from buckthorntack import events
from buckthorntack import ledger
from buckthorntack import placement
from buckthorntack import security
from buckthorntack import transport
from buckthorntack.control import _admin
from buckthorntack.control import _events
from buckthorntack.schema import messages

CONFIGURATION_GROUP = "configuration"
PLACEMENT_GROUP = "placement"
#: Times of a group whose replicas are all in one region.
LOCAL_TIMING = consensus.Timing(
    tick=datetime.timedelta(milliseconds=50),
    heartbeat=datetime.timedelta(milliseconds=100),
    election_timeout=datetime.timedelta(milliseconds=500),
)
TRANSFER_PATIENCE_SECONDS = 3.0
TO_SOURCE = (
    messages.ConfigurationPoll,
    messages.ConfigurationChunkRequest,
    messages.ConfigurationReport,
    messages.ConfigurationReports,
    messages.ConfigurationLeave,
)
TO_HOME = (
    messages.LedgerClaim,
    messages.LedgerSettle,
    messages.LedgerProbeReply,
)


def ledger_group(home_id):
    """Id of the group of a ledger home.

    :param home_id: the home.
    """
    return f"ledger-{home_id}"


class ControlRole:
    """Runs replicas, spreads configuration and serves operators.

    :param settings: settings of the process, with defaults.
    :param links: ``LinkTask`` of the process.
    :param listener: bound socket of the administration API, or None.
    :param clock: source of time.
    :param rng: source of randomness.
    :param files: file operations, for tests of faults.
    """

    def __init__(self, settings, links, listener, clock, rng, files=None):
        self.settings = settings
        self.links = links
        self.listener = listener
        self.clock = clock
        self.rng = rng
        self.files = files
        self.replicas = {}
        self.homes = {}
        self.machine = configuration.ConfigurationMachine()
        self.admin_listener = None
        self._log = events.EventLog("control")
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        await self._stack.__aenter__()
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        self._log.write(
            _events.CONTROL_STARTED, groups=",".join(self.replicas)
        )
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    async def _start(self):
        node_id = self.settings["node_id"]
        voters = self.settings["control"]
        wide = self._timing()
        group = await self._replica(
            CONFIGURATION_GROUP, voters, self.machine, wide
        )
        enter = self._stack.enter_async_context
        self.source = await enter(
            configuration.ConfigurationSourceTask(
                node_id, self.machine, group, self.links, self.clock
            )
        )
        self.administration = configuration.Administration(
            self.machine, group, self.source, self.clock
        )
        leases = placement.LeaseMachine()
        self.granter = await enter(
            placement.LeaseGranterTask(
                leases,
                await self._replica(PLACEMENT_GROUP, voters, leases, wide),
                self.links,
                self.clock,
            )
        )
        for home in self.settings["ledger_homes"]:
            if node_id in home["replicas"]:
                await self._start_home(home)
        if self.listener is not None:
            await self._serve()

    async def _replica(self, group, voters, machine, timing):
        node_id = self.settings["node_id"]
        folder = pathlib.Path(self.settings["data_folder"]) / "groups" / group
        replica = consensus.ReplicaTask(
            group,
            node_id,
            voters if node_id in voters else (),
            folder,
            machine,
            self.links,
            self.clock,
            self.rng,
            timing=timing,
            files=self.files,
        )
        self.replicas[group] = replica
        return await self._stack.enter_async_context(replica)

    def _timing(self):
        timing = self.settings["timing"]
        heartbeat = datetime.timedelta(milliseconds=timing["heartbeat_ms"])
        election = datetime.timedelta(milliseconds=timing["election_ms"])
        return consensus.Timing(
            tick=heartbeat / 2, heartbeat=heartbeat, election_timeout=election
        )

    async def _start_home(self, home):
        home_id = home["home_id"]
        machine = ledger.LedgerMachine(home_id)
        group = await self._replica(
            ledger_group(home_id), home["replicas"], machine, LOCAL_TIMING
        )
        retention_ms = self.settings["timing"]["ledger_retention_ms"]
        task = ledger.LedgerHomeTask(
            home_id,
            group,
            machine,
            self.links,
            self.clock,
            retention=datetime.timedelta(milliseconds=retention_ms),
            answer_bytes=self.settings["limits"]["answer_bytes"],
        )
        self.homes[home_id] = await self._stack.enter_async_context(task)

    async def _serve(self):
        document = self.settings["admin"]
        tokens = security.load_operator_tokens(
            self.settings["keys"]["operator_tokens_file"]
        )
        if tokens.is_error():
            raise tokens.error
        app = _admin.create_admin_app(self.administration, tokens.ok)
        self.admin_listener = await self._stack.enter_async_context(
            transport.HttpListener(
                app,
                self.listener,
                document.get("certificate_file"),
                document.get("private_key_file"),
            )
        )

    def deliver(self, sender, message):
        """Take a message for this role.

        :param sender: node that sent it.
        :param message: the message.
        :returns: whether the role handles this kind of message.
        """
        group = getattr(message, "group", None)
        if group is not None:
            if group in self.replicas:
                self.replicas[group].deliver(sender, message)
        elif isinstance(message, messages.LeaseRequest):
            self.granter.deliver(sender, message)
        elif isinstance(message, TO_SOURCE):
            self.source.deliver(sender, message)
        elif isinstance(message, TO_HOME):
            home = self.homes.get(message.home_id)
            if home is not None:
                home.deliver(sender, message)
        else:
            return False
        return True

    async def stop(self):
        """Hand leadership on, so that a planned stop costs no election."""
        for replica in self.replicas.values():
            if replica.is_leader() and len(replica.voters()) > 1:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(TRANSFER_PATIENCE_SECONDS):
                        await replica.transfer_leadership()

    async def failed(self):
        """Wait until a replica has stopped by itself.

        :returns: the error that stopped it.
        """
        waits = [
            asyncio.create_task(replica.wait_until_stopped())
            for replica in self.replicas.values()
        ]
        try:
            done, _ = await asyncio.wait(
                waits, return_when=asyncio.FIRST_COMPLETED
            )
            return done.pop().result()
        finally:
            for wait in waits:
                wait.cancel()
