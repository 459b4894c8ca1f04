"""Intervals and timeouts of discovery."""

import datetime
from typing import NamedTuple


def _ms(milliseconds):
    return datetime.timedelta(milliseconds=milliseconds)


class Timing(NamedTuple):
    """Intervals and timeouts of discovery.

    The defaults suit links with a one-way delay of 55 ms and rules by which a
    node must act within 3 s after a change.
    """

    #: Interval of an entry VM's reports to its control VM.
    report_interval: datetime.timedelta = _ms(800)
    #: Interval of a control VM's reports to each other control VM.
    control_report_interval: datetime.timedelta = _ms(500)
    #: Silence after which an entry VM follows another control VM: two
    #: report intervals and a round trip.
    control_silence_timeout: datetime.timedelta = _ms(1900)
    #: Silence after which callers no longer get the address of a node.
    node_silence_timeout: datetime.timedelta = _ms(2800)
    #: Silence after which a backend server is marked as silent.
    #: Announcements have an interval of 1.2 s and can be late by seconds.
    server_silence_timeout: datetime.timedelta = _ms(5000)
    #: Time after the start of a registry during which it asks entry VMs for
    #: their copies of the server records.
    registry_sync_period: datetime.timedelta = _ms(4000)
    #: Time between two checks for silence above which this process was
    #: paused. The pause does not count as silence of others.
    pause_threshold: datetime.timedelta = _ms(1000)
    #: Silence after which records of servers and nodes are deleted. It
    #: exceeds the delay of late announcements, which is a few seconds.
    retention: datetime.timedelta = _ms(120_000)
