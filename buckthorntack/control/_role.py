"""Control role: owns the replicas and the admin listener of a control VM."""

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
#: Raft timing of a group whose replicas are all in one region.
SINGLE_REGION_TIMING = consensus.Timing(
    tick=datetime.timedelta(milliseconds=50),
    heartbeat=datetime.timedelta(milliseconds=100),
    election_timeout=datetime.timedelta(milliseconds=500),
)
LEADERSHIP_TRANSFER_TIMEOUT_SECONDS = 3.0
#: Messages that the configuration source handles.
CONFIGURATION_SOURCE_MESSAGES = (
    messages.ConfigurationPoll,
    messages.ConfigurationChunkRequest,
    messages.ConfigurationReport,
    messages.ConfigurationReports,
    messages.ConfigurationLeave,
)
#: Messages that a ledger home handles.
LEDGER_HOME_MESSAGES = (
    messages.LedgerClaim,
    messages.LedgerSettle,
    messages.LedgerProbeReply,
)


def ledger_group_id(home_id):
    """Return the id of the consensus group of a ledger home.

    :param home_id: id of the ledger home.
    """
    return f"ledger-{home_id}"


class ControlRole:
    """Consensus replicas, configuration source and administration API.

    :param settings: settings of the process, including defaults.
    :param links: ``LinkTask`` of the process.
    :param listener: bound socket of the administration API; None if the
        node does not serve it.
    :param clock: source of time.
    :param rng: source of randomness.
    :param files: file operations; tests inject storage faults here.
    """

    def __init__(self, settings, links, listener, clock, rng, files=None):
        self.settings = settings
        self.links = links
        self.listener = listener
        self.clock = clock
        self.rng = rng
        self.files = files
        self.replicas = {}
        self.ledger_homes = {}
        self.configuration_machine = configuration.ConfigurationMachine()
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
        wide_area_timing = self._wide_area_timing()
        replica = await self._start_replica(
            CONFIGURATION_GROUP,
            voters,
            self.configuration_machine,
            wide_area_timing,
        )
        enter_async = self._stack.enter_async_context
        self.configuration_source = await enter_async(
            configuration.ConfigurationSourceTask(
                node_id,
                self.configuration_machine,
                replica,
                self.links,
                self.clock,
            )
        )
        self.administration = configuration.Administration(
            self.configuration_machine,
            replica,
            self.configuration_source,
            self.clock,
        )
        lease_machine = placement.LeaseMachine()
        self.lease_granter = await enter_async(
            placement.LeaseGranterTask(
                lease_machine,
                await self._start_replica(
                    PLACEMENT_GROUP, voters, lease_machine, wide_area_timing
                ),
                self.links,
                self.clock,
            )
        )
        for home in self.settings["ledger_homes"]:
            if node_id in home["replicas"]:
                await self._start_ledger_home(home)
        if self.listener is not None:
            await self._start_admin_api()

    async def _start_replica(self, group_id, voters, state_machine, timing):
        node_id = self.settings["node_id"]
        folder = (
            pathlib.Path(self.settings["data_folder"]) / "groups" / group_id
        )
        replica = consensus.ReplicaTask(
            group_id,
            node_id,
            voters if node_id in voters else (),
            folder,
            state_machine,
            self.links,
            self.clock,
            self.rng,
            timing=timing,
            files=self.files,
        )
        self.replicas[group_id] = replica
        return await self._stack.enter_async_context(replica)

    def _wide_area_timing(self):
        timing = self.settings["timing"]
        heartbeat = datetime.timedelta(milliseconds=timing["heartbeat_ms"])
        election = datetime.timedelta(milliseconds=timing["election_ms"])
        return consensus.Timing(
            tick=heartbeat / 2, heartbeat=heartbeat, election_timeout=election
        )

    async def _start_ledger_home(self, home_settings):
        home_id = home_settings["home_id"]
        machine = ledger.LedgerMachine(home_id)
        replica = await self._start_replica(
            ledger_group_id(home_id),
            home_settings["replicas"],
            machine,
            SINGLE_REGION_TIMING,
        )
        retention_ms = self.settings["timing"]["ledger_retention_ms"]
        task = ledger.LedgerHomeTask(
            home_id,
            replica,
            machine,
            self.links,
            self.clock,
            retention=datetime.timedelta(milliseconds=retention_ms),
            answer_bytes=self.settings["limits"]["answer_bytes"],
        )
        self.ledger_homes[home_id] = await self._stack.enter_async_context(
            task
        )

    async def _start_admin_api(self):
        admin_settings = self.settings["admin"]
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
                admin_settings.get("certificate_file"),
                admin_settings.get("private_key_file"),
            )
        )

    def deliver(self, sender, message):
        """Pass a message to the task that handles it.

        :param sender: node id of the sender.
        :param message: the message.
        :returns: whether this role handles messages of this type.
        """
        group_id = getattr(message, "group", None)
        if group_id is not None:
            if group_id in self.replicas:
                self.replicas[group_id].deliver(sender, message)
        elif isinstance(message, messages.LeaseRequest):
            self.lease_granter.deliver(sender, message)
        elif isinstance(message, CONFIGURATION_SOURCE_MESSAGES):
            self.configuration_source.deliver(sender, message)
        elif isinstance(message, LEDGER_HOME_MESSAGES):
            home = self.ledger_homes.get(message.home_id)
            if home is not None:
                home.deliver(sender, message)
        else:
            return False
        return True

    async def stop(self):
        """Transfer leadership, so that a planned stop needs no election."""
        for replica in self.replicas.values():
            if replica.is_leader() and len(replica.voters()) > 1:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(
                        LEADERSHIP_TRANSFER_TIMEOUT_SECONDS
                    ):
                        await replica.transfer_leadership()

    async def wait_until_failed(self):
        """Wait until a replica has stopped because of an error.

        :returns: the error that stopped the replica.
        """
        wait_tasks = [
            asyncio.create_task(replica.wait_until_stopped())
            for replica in self.replicas.values()
        ]
        try:
            done, _ = await asyncio.wait(
                wait_tasks, return_when=asyncio.FIRST_COMPLETED
            )
            return done.pop().result()
        finally:
            for wait_task in wait_tasks:
                wait_task.cancel()
