"""What control VMs send and receive at deployments of many sizes.

Pattern: all VMs and servers of a deployment start at once, then announce
themselves regularly at random control VMs.
"""

import pytest

from buckthorntack.gateway.tests import fleets

#: Times a second at which changes are sent together.
FLUSHES_PER_S = 10
#: Reports and replies a second with each other control VM, both ways.
PEER_MESSAGES_PER_S = 8
#: Reports and replies a second for each entry VM: 1.25 reports, each to one
#: control VM and every fourth one to all.
ENTRY_MESSAGES_PER_S = 1.0


def resting_messages_per_s(size):
    """Messages a second of a control VM when nothing changes, at most."""
    entry_vms = size - fleets.CONTROL_VMS
    peers = fleets.CONTROL_VMS - 1
    return ENTRY_MESSAGES_PER_S * entry_vms + PEER_MESSAGES_PER_S * peers


def starting_messages_per_s(size):
    """Messages a second of a control VM when all changes, at most."""
    followers = (size - fleets.CONTROL_VMS) / fleets.CONTROL_VMS
    peers = fleets.CONTROL_VMS - 1
    updates = FLUSHES_PER_S * (followers + 2 * peers)
    return resting_messages_per_s(size) + updates


# Each new server was told to each follower by itself, and control VMs told
# each other of it again: 17,519 messages in 4 s at 100 VMs.
@pytest.mark.parametrize("size", [30, 100])
def test_messages_of_a_start_do_not_grow_with_the_number_of_servers(size):
    fleet = fleets.Fleet(size)
    fleet.advance(4 * fleets.S)
    count = sum(fleet.busiest().messages.values())
    assert count / 4 <= starting_messages_per_s(size)
    fleet.forget_traffic()
    fleet.advance(4 * fleets.S)
    count = sum(fleet.busiest().messages.values())
    assert count / 4 <= resting_messages_per_s(size)


def count_copies(fleet, address):
    return fleet.traffic[address].bytes["RegistryChanges", "received"]


# All entry VMs returned their whole copies to a control VM that came back.
def test_copies_returned_to_a_young_control_vm_are_few():
    fleet = fleets.Fleet(100)
    fleet.advance(8 * fleets.S)
    fleet.forget_traffic()
    (first, *_) = fleet.addresses
    whole = sum(len(fleets.schema.pack(record)) for record in fleet.servers)
    fleet.start_control(0)
    fleet.advance(4 * fleets.S)
    senders = 2 * len(fleets.control_vms.REGIONS) + fleets.CONTROL_VMS - 1
    assert len(fleet.controls[first].registry.servers) == len(fleet.servers)
    assert count_copies(fleet, first) <= 2 * senders * whole


# A draining mark is lost if only entry VMs that lack it are asked.
def test_all_control_vms_come_back_with_the_draining_marks():
    fleet = fleets.Fleet(30)
    fleet.advance(8 * fleets.S)
    drained = fleet.servers[7]
    fleet.announce(7, state="draining")
    fleet.advance(1 * fleets.S)
    # It says no more; only copies at entry VMs have the mark.
    fleet.mute(7)
    for number in range(fleets.CONTROL_VMS):
        fleet.start_control(number)
    fleet.advance(4 * fleets.S)
    for control in fleet.controls.values():
        view = control.registry.servers[drained.server_id]
        assert view.record.state == "draining"
