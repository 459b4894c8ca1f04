"""Components that the modules of the entry role share."""

import datetime
import random
from typing import Any

from buckthorntack import interfaces
from buckthorntack.entry import _attempt
from buckthorntack.entry import _planned_stop


class EntryComponents:
    """Components of the entry role, created by :class:`EntryRole`.

    :param settings: settings of the process.
    :param sender: sender of messages to other nodes.
    :param clock: source of time.
    :param rng: random number generator.
    """

    def __init__(
        self,
        settings,
        sender: interfaces.Sender,
        clock,
        rng: random.Random,
    ):
        self.settings = settings
        self.sender = sender
        self.clock = clock
        self.rng = rng
        self.region = settings["region"]
        self.failure_domain = settings["failure_domain"]
        self.deadline_ms = settings["timing"]["request_deadline_ms"]
        #: Backend servers of this region by id, as last announced.
        self.servers: dict[str, Any] = {}
        #: Number of slots by service, as known here, in all regions.
        self.slots: dict[str, int] = {}
        #: Monotonic time by which all live backend servers have announced
        #: themselves to this process.
        self.discovery_complete_at = datetime.timedelta()
        self.planned_stop = _planned_stop.PlannedStop(clock)
        self.configuration: Any = None
        self.members: Any = None
        self.router: Any = None
        self.admission_task: Any = None
        self.crash_monitor: Any = None
        self.retry_policy: Any = None
        self.signer: Any = None
        self.idempotency: Any = None
        self.attempt_client: Any = None
        self.forwarding: Any = None
        self.metrics: Any = None

    def has_no_servers(self, service):
        """Return whether a service is known to have no backend server.

        :param service: name of the service.
        """
        is_discovery_complete = (
            self.clock.monotonic() >= self.discovery_complete_at
        )
        return is_discovery_complete and not self.slots.get(service)

    def find_target(self, attempt_id, organisation):
        """Find the backend server of an attempt in this region.

        :param attempt_id: id of the attempt.
        :param organisation: organisation that the id was issued for.
        :returns: the ``Target``, or ``None`` if the id is not valid or the
            server is unknown or in another region.
        """
        verified = self.signer.verify(attempt_id, organisation)
        if verified.is_error() or verified.ok.region != self.region:
            return None
        record = self.servers.get(verified.ok.server_id)
        if record is None:
            return None
        return _attempt.Target(attempt_id, record.server_id, record.url)

    def choose_key_home(self, allowed):
        """Choose the ledger home for new idempotency keys of a caller.

        A home in the region of this entry VM is preferred.

        :param allowed: regions that are allowed for the organisation.
        :returns: the ``LedgerHome``, or ``None`` if no home is allowed.
        """
        homes = [
            home
            for home in self.settings["ledger_homes"]
            if home["region"] in allowed
        ]
        homes.sort(key=lambda home: home["region"] != self.region)
        return homes[0] if homes else None
