"""What the modules of the entry role share."""

import datetime
import random
from typing import Any

from buckthorntack import interfaces
from buckthorntack.entry import _attempt


class EntryParts:
    """Collaborators of the entry role, set up by :class:`EntryRole`.

    :param settings: settings of the process.
    :param sender: sends messages.
    :param clock: source of time.
    :param rng: source of randomness.
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
        #: Slots of each service that are known here, in all regions.
        self.slots: dict[str, int] = {}
        #: Time by which all live backend servers have announced themselves.
        self.settled_at = datetime.timedelta()
        self.configuration: Any = None
        self.members: Any = None
        self.router: Any = None
        self.admitting: Any = None
        self.watching: Any = None
        self.retry_policy: Any = None
        self.signer: Any = None
        self.once: Any = None
        self.attempts: Any = None
        self.forwarding: Any = None
        self.metrics: Any = None

    def lacks_servers(self, service):
        """Whether it is known that no backend server offers a service.

        :param service: its name.
        """
        is_settled = self.clock.monotonic() >= self.settled_at
        return is_settled and not self.slots.get(service)

    def locate(self, attempt_id, organisation):
        """Where an attempt runs, if that is in this region.

        :param attempt_id: the attempt.
        :param organisation: organisation that it was issued for.
        :returns: the ``Target``, or None.
        """
        verified = self.signer.verify(attempt_id, organisation)
        if verified.is_error() or verified.ok.region != self.region:
            return None
        record = self.servers.get(verified.ok.server_id)
        if record is None:
            return None
        return _attempt.Target(attempt_id, record.server_id, record.url)

    def own_home(self, allowed):
        """Ledger home of new keys for callers here.

        :param allowed: regions that the organisation allows.
        :returns: the ``LedgerHome``, or None.
        """
        homes = [
            home
            for home in self.settings["ledger_homes"]
            if home["region"] in allowed
        ]
        homes.sort(key=lambda home: home["region"] != self.region)
        return homes[0] if homes else None
