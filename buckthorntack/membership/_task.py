"""Task that runs the membership view of a node."""

import asyncio
import datetime
import functools

from buckthorntack import events
from buckthorntack.membership import _commands
from buckthorntack.membership import _entries
from buckthorntack.membership import _errors
from buckthorntack.membership import _events
from buckthorntack.membership import _timing


class MembershipTask:
    """Runs a view: its timer, messages and listeners.

    Listeners are registered with :meth:`listen` and called with the command
    that describes the change, such as :class:`ServerChanged`.

    :param view: a :class:`MembershipView`.
    :param sender: a ``Sender``.
    :param clock: a ``Clock``.
    :param timing: the view's :class:`MembershipTiming`.
    """

    def __init__(self, view, sender, clock, timing):
        self.view = view
        self.sender = sender
        self.clock = clock
        self.timing = timing
        self._log = events.EventLog("membership")
        self._listeners = []
        self._runner = None
        self._logged_servers = {}
        self._known_domains = set()

    async def __aenter__(self):
        self._execute(self.view.tick(self._now()))
        self._runner = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *_):
        self._runner.cancel()
        await asyncio.gather(self._runner, return_exceptions=True)
        self.set_entry_state(_entries.STOPPED)

    async def _run(self):
        period = datetime.timedelta(milliseconds=self.timing.gossip_ms)
        while True:
            await self.clock.sleep(period)
            self._tick()

    def _tick(self):
        try:
            self._execute(self.view.tick(self._now()))
        except Exception as error:
            self._log.write(_events.STEP_FAILED, error=repr(error))

    def _now(self):
        return self.clock.monotonic()

    def listen(self, kind, listener):
        """Register a listener for one kind of change.

        :param kind: type of the change, such as :class:`ServerChanged`.
        :param listener: called with each change of this type.
        """
        self._listeners.append((kind, listener))

    def deliver(self, sender, message):
        """Handle a message without blocking.

        :param sender: authenticated id of the sender.
        :param message: a membership message.
        """
        self._execute(self.view.receive(sender, message, self._now()))

    def announce(self, document, service):
        """Handle an announcement of a backend server.

        :param document: a validated ``Announcement``.
        :param service: name of the service of the server's pool.
        :returns: an ``AnnouncementAnswer`` document.
        """
        result, commands = self.view.announce(document, service, self._now())
        self._execute(commands)
        answer = {
            "lease_ms": self.timing.server_lease_ms,
            "renew_ms": self.timing.server_lease_ms // 3,
            "accepted": result.is_ok(),
            "echo": self.view.echo(self._now()),
        }
        if result.is_error():
            answer["reason"] = str(result.error)
            self._log_refusal(document["server_id"], result.error)
        if _should_repeat(result):
            answer["renew_ms"] = 0
        return answer

    def _log_refusal(self, server_id, error):
        event = _events.ANNOUNCEMENT_REFUSED
        if isinstance(error, _errors.UnknownAgeError):
            event = _events.ECHO_ASKED
        self._log.write(event, server=server_id, reason=error)

    def publish(self, item):
        """Publish an item to all nodes.

        :param item: the item.
        :returns: ``Result`` of the item or a ``GatewayError``.
        """
        result, commands = self.view.publish(item, self._now())
        self._execute(commands)
        if result.is_error():
            self._log.write(_events.ITEM_REFUSED, reason=result.error)
        return result

    def set_entry_state(self, entry_state):
        """Set this node's state and send it to its peers at once.

        :param entry_state: ``ready``, ``stopping`` or ``stopped``.
        """
        self._execute(self.view.set_state(entry_state, self._now()))

    def set_in_flight(self, in_flight):
        """Set the number of requests in progress on this node.

        :param in_flight: callers' requests in progress.
        """
        self.view.set_in_flight(in_flight)

    def set_revision(self, revision):
        """Set the revision of the configuration in force on this node.

        :param revision: the revision, which peers get with the next batch.
        """
        self.view.set_revision(revision)

    def servers(self):
        """Records of this region's backend servers with a running lease."""
        return self.view.servers(self._now())

    def summaries(self):
        """Summaries of the other failure domains."""
        return self.view.summaries(self._now())

    def items(self, kind):
        """Items of one kind.

        :param kind: kind of the items.
        """
        return self.view.items(kind, self._now())

    def members(self):
        """Records of the other known nodes of this region."""
        return self.view.members()

    def entries_of(self, region):
        """Records of a region's entry VMs that accept callers.

        :param region: name of the region.
        """
        return self.view.entries_of(region, self._now())

    def entry_list(self, region, failure_domain=None):
        """Records of the entry VMs for callers, in the order to try them.

        :param region: the callers' region.
        :param failure_domain: the callers' failure domain, or ``None``.
        """
        return self.view.entry_list(region, failure_domain, self._now())

    def _execute(self, commands):
        for command in commands:
            self._perform(command)

    @functools.singledispatchmethod
    def _perform(self, command):
        self._notify_listeners(command)

    @_perform.register
    def _(self, command: _commands.SendMessage):
        self.sender.send(command.to, command.message)

    @_perform.register
    def _(self, command: _commands.ServerChanged):
        record = command.record
        known = (record.incarnation, record.state, record.model_versions)
        if self._logged_servers.get(record.server_id) != known:
            self._logged_servers[record.server_id] = known
            self._log.write(
                _events.SERVER_ADDED,
                server=record.server_id,
                incarnation=record.incarnation,
                state=record.state,
                model_versions=",".join(record.model_versions),
            )
        self._notify_listeners(command)

    @_perform.register
    def _(self, command: _commands.ServerRemoved):
        self._logged_servers.pop(command.server_id, None)
        self._log.write(
            _events.SERVER_REMOVED,
            server=command.server_id,
            reason=command.reason,
        )
        self._notify_listeners(command)

    @_perform.register
    def _(self, command: _commands.EntryChanged):
        self._log.write(
            _events.ENTRY_CHANGED,
            node=command.record.node_id,
            state=command.record.state,
        )
        self._notify_listeners(command)

    @_perform.register
    def _(self, command: _commands.EntryRemoved):
        self._log.write(_events.ENTRY_REMOVED, node=command.record.node_id)
        self._notify_listeners(command)

    @_perform.register
    def _(self, command: _commands.SummaryChanged):
        domain = command.summary.failure_domain
        if domain not in self._known_domains:
            self._known_domains.add(domain)
            self._log.write(_events.DOMAIN_LEARNED, failure_domain=domain)
        self._notify_listeners(command)

    @_perform.register
    def _(self, command: _commands.SummaryRemoved):
        domain = command.summary.failure_domain
        self._known_domains.discard(domain)
        self._log.write(_events.DOMAIN_SILENT, failure_domain=domain)
        self._notify_listeners(command)

    def _notify_listeners(self, command):
        for kind, listener in self._listeners:
            if isinstance(command, kind):
                listener(command)


def _should_repeat(result):
    """Return whether the server should announce again at once."""
    if result.is_ok():
        return False
    return isinstance(result.error, _errors.UnknownAgeError)


def build_timing(settings):
    """Build the membership timing from the settings of a process.

    :param settings: the parsed settings.
    """
    return _timing.MembershipTiming.from_settings(settings.get("timing", {}))
