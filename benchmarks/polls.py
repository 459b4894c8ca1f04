"""What entry VMs that follow it cost a control VM.

Decisions and codec, in virtual time; every entry VM polls once a second, and
the set changes 3,000 times a day.  Usage::

    python -m benchmarks.polls
"""

import datetime
import time
from typing import NamedTuple

from benchmarks import configuration as sizes
from buckthorntack import schema
from buckthorntack.configuration import _commands as commands
from buckthorntack.configuration import _source as sources
from buckthorntack.schema import messages

OVERHEAD_BYTES = 66
OTHER_CONTROLS = [f"c{number}" for number in range(13)]
SECONDS = 288
SECONDS_A_CHANGE = 86_400 // sizes.CHANGES_PER_DAY
TICKS_A_SECOND = 10


class Cost(NamedTuple):
    """What one control VM spends a second."""

    cpu_us: float
    received_bytes: float
    sent_bytes: float


class Source:
    """A control VM's source and the entry VMs that poll it.

    :param count: number of entry VMs.
    """

    def __init__(self, count):
        self.machine = sizes.Machine()
        self.machine.change(sizes.base_objects())
        log = self.machine.machine.log
        self.source = sources.ConfigurationSource(log, lambda *_: True)
        self.names = [f"region-1-a-entry-{place}" for place in range(count)]
        self.sent_bytes = 0
        self.received_bytes = 0
        self.cpu_s = 0.0

    def poll(self, name, now):
        """Let an entry VM poll; it has what is in force.

        :param name: the entry VM.
        :param now: virtual time.
        """
        log = self.machine.machine.log
        digest = log.digest_at(log.revision)
        poll = messages.ConfigurationPoll(
            "region-1", "region-1-a", log.revision, digest, True, 1
        )
        frames = schema.encode(poll)
        self.received_bytes += _wire_bytes(frames)
        begun = time.process_time()
        message = schema.decode(*frames)
        self._send(self.source.receive(name, message, now))
        self.cpu_s += time.process_time() - begun

    def step(self, now):
        """Push what is new and pass reports on.

        :param now: virtual time.
        """
        begun = time.process_time()
        self._send(self.source.push_new_deltas(now))
        self._send(self.source.tick(now, OTHER_CONTROLS))
        self.cpu_s += time.process_time() - begun

    def _send(self, found):
        for command in found:
            if isinstance(command, commands.Send):
                frames = schema.encode(command.message)
                self.sent_bytes += _wire_bytes(frames)

    def second(self, number):
        """Let a second pass.

        :param number: which.
        """
        if number % SECONDS_A_CHANGE == 0:
            self.machine.change(
                [sizes.rule(0, sizes.REGIONS[: 1 + number % 9])]
            )
        for tick in range(TICKS_A_SECOND):
            now = datetime.timedelta(seconds=number + tick / TICKS_A_SECOND)
            for name in self.names[tick::TICKS_A_SECOND]:
                self.poll(name, now)
            self.step(now)


def _wire_bytes(frames):
    return sum(map(len, frames)) + OVERHEAD_BYTES


def measure(count):
    """Cost of a number of entry VMs.

    :param count: how many poll this control VM.
    :returns: :class:`Cost`.
    """
    source = Source(count)
    for number in range(1, SECONDS + 1):
        source.second(number)
    return Cost(
        source.cpu_s / SECONDS * 1e6,
        source.received_bytes / SECONDS,
        source.sent_bytes / SECONDS,
    )


def main():
    """Measure and print."""
    print("| entry VMs | us CPU/s | bytes/s received | bytes/s sent |")
    for count in (10, 38, 100, 530):
        cost = measure(count)
        print(
            f"| {count} | {cost.cpu_us:.0f} | {cost.received_bytes:.0f} "
            f"| {cost.sent_bytes:.0f} |"
        )


if __name__ == "__main__":
    main()
