"""Control VMs send directives to entry VMs that follow another one."""

import asyncio
import datetime

from buckthorntack import clock
from buckthorntack import directives
from buckthorntack.gateway import _distribution
from buckthorntack.gateway.tests import test_directory
from buckthorntack.schema import messages

ENTRY_VM = "10.1.0.9:80"
#: Time between two changes; shorter than that after which one is overdue.
CHANGE_INTERVAL = _distribution.OVERDUE_AFTER * 0.9


class Links:
    """Links that keep what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, to, message):
        self.sent.append((to, message))


class ControlVm:
    """Directives of a control VM, and how it distributes them."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.links = Links()
        self.task = _distribution.DistributionTask(self.links, self.clock)
        self.machine = directives.DirectivesMachine(
            self.task.on_directives_changed
        )
        self.task.machine = self.machine
        self.index = 0

    def change(self):
        """Apply a change to the directives."""
        self.index += 1
        command = messages.PublishVersion(self.index, b"{}")
        self.machine.apply(self.index, directives.encode_command(command))

    def report(self, index):
        """Handle a report of an entry VM that follows another one.

        :param index: index and version of its directives.
        :returns: index of the directives that it is sent; None if none are.
        """
        entry = test_directory._entry_node("ready", None)
        report = messages.PresenceReport(
            node=entry.following.presence()._replace(node_id=ENTRY_VM),
            registry_epoch=-1,
            registry_stamp=0,
            version=index,
            directives_index=index,
            heard_servers=[],
            heard_nodes=[],
        )
        self.links.sent.clear()
        self.task.on_presence_report(report, False, self.clock.monotonic())
        return self.links.sent[0][1].index if self.links.sent else None


def run(scenario):
    async def bounded():
        scenario(ControlVm())

    asyncio.run(bounded())


def test_change_is_sent_once_it_is_overdue():
    def scenario(control):
        control.change()
        control.clock.advance(_distribution.OVERDUE_AFTER)
        assert control.report(0) is None
        control.clock.advance(datetime.timedelta(milliseconds=1))
        assert control.report(0) == 1
        assert control.report(1) is None

    run(scenario)


# Guards against entry VMs that are sent nothing overdue while changes go on.
def test_overdue_change_is_sent_though_newer_ones_are_not():
    def scenario(control):
        control.change()
        for _ in range(2):
            control.clock.advance(CHANGE_INTERVAL)
            control.change()
        assert control.report(0) == 3
        assert control.report(1) is None

    run(scenario)
