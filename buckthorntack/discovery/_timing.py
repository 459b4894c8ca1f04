"""Times of discovery."""

import datetime
from typing import NamedTuple


def _ms(milliseconds):
    return datetime.timedelta(milliseconds=milliseconds)


class Timing(NamedTuple):
    """Times of discovery.

    The defaults suit links of 55 ms one way, and rules that give a node 3 s
    to act on news.
    """

    #: Pause between two reports of an entry VM to its control VM.
    report: datetime.timedelta = _ms(800)
    #: Pause between two reports of a control VM to another.
    control_report: datetime.timedelta = _ms(500)
    #: Silence after which an entry VM turns to another control VM: two
    #: reports and a round trip.
    guide_silence: datetime.timedelta = _ms(1900)
    #: Silence after which a node is left out of the directory.
    node_silence: datetime.timedelta = _ms(2800)
    #: Silence after which a backend server counts as silent; announcements
    #: come every 1.2 s and may come seconds late.
    server_silence: datetime.timedelta = _ms(5000)
    #: Age of a registry until which it asks entry VMs for their copies.
    registry_young: datetime.timedelta = _ms(4000)
    #: Time between two looks at the deadlines that means that the process
    #: was stopped; silence during it says nothing.
    stopped: datetime.timedelta = _ms(1000)
    #: Age after which silent and gone servers and nodes are forgotten; late
    #: announcements come within seconds.
    forget: datetime.timedelta = _ms(120_000)
