"""The control group keeps its majority through losses that are tolerated."""

import pytest

from buckthorntack.gateway.tests import control_vms
from buckthorntack.gateway.tests.control_vms import CATCH_UP
from buckthorntack.gateway.tests.control_vms import S

SEEDS = 24


def _start(seed=0):
    vms = control_vms.ControlVms(seed=seed)
    assert vms.change_configuration()
    return vms


def _split_by_leadership(vms):
    """Return the address of the leader's VM and those of the others."""
    leader = vms.leader_address()
    others = sorted(address for address in vms.vms if address != leader)
    return leader, others


def _lose_disk_in_power_loss(vms, address):
    """Lose one disk while all other control VMs lose power."""
    for other in list(vms.vms):
        if other == address:
            vms.lose_disk(other)
        else:
            vms.kill(other)


# Guards against a vote that outlives its VM while the successor has none.
@pytest.mark.parametrize("lost", ["leader", "follower"])
@pytest.mark.parametrize("delay_s", [0.2, 1.0, 3.0])
@pytest.mark.parametrize("seed", range(4))
def test_replaced_vm_leaves_no_vote_behind(seed, delay_s, lost):
    vms = _start(seed)
    leader, others = _split_by_leadership(vms)
    first, second = leader, others[0]
    if lost == "follower":
        first, second = others
    vms.replace(first, delay_s * S)
    vms.advance(CATCH_UP)
    _lose_disk_in_power_loss(vms, second)
    vms.advance(1 * S)
    vms.check_served()


# Guards against the loss of the majority when VMs are replaced in turn.
@pytest.mark.parametrize("seed", range(4))
def test_vms_are_replaced_in_turn(seed):
    vms = _start(seed)
    for address in list(vms.vms):
        vms.replace(address)
        vms.advance(CATCH_UP)
    vms.check_served()


# Guards against a vote of a VM that was stopped by plan.
@pytest.mark.parametrize("stopped", ["leader", "follower"])
@pytest.mark.parametrize("seed", range(4))
def test_vm_that_is_stopped_by_plan_hands_over_its_vote(seed, stopped):
    vms = _start(seed)
    leader, others = _split_by_leadership(vms)
    address, next_lost = leader, others[0]
    if stopped == "follower":
        address, next_lost = others
    vms.add(vms.vms[address].settings.region)
    vms.advance(CATCH_UP)
    vms.stop(address)
    vms.advance(1 * S)
    vms.lose_disk(next_lost)
    vms.check_served()


# Guards against a VM that ends while its vote still counts on other disks.
@pytest.mark.parametrize("seed", range(8))
def test_vm_that_is_stopped_by_plan_ends_after_its_replacement(seed):
    vms = _start(seed)
    leader, others = _split_by_leadership(vms)
    vms.add(vms.vms[others[0]].settings.region)
    vms.advance(CATCH_UP + 1 * S)
    vms.stop(others[0])
    while not vms.vms[others[0]].has_ended():
        vms.advance(control_vms.STEP)
    vms.lose(others[0])
    _lose_disk_in_power_loss(vms, leader)
    vms.check_served()


# Guards against a voter that is removed because it was away for a while.
@pytest.mark.parametrize("seed", range(4))
def test_vm_that_was_cut_off_keeps_its_place_as_a_spare(seed):
    vms = _start(seed)
    _, others = _split_by_leadership(vms)
    vms.add(vms.vms[others[0]].settings.region)
    vms.advance(CATCH_UP)
    vms.cut_off(others[0])
    vms.advance(25 * S)
    vms.heal()
    vms.advance(CATCH_UP)
    vms.lose(others[1])
    vms.advance(CATCH_UP)
    vms.lose(vms.leader_address())
    vms.check_served()


# Guards against losses within what is tolerated after which nobody is elected.
@pytest.mark.parametrize("seed", range(SEEDS))
def test_group_survives_random_losses(seed):
    vms = _start(seed)
    losses = control_vms.Losses(vms, seed)
    losses.run(6)
    print(losses.log)
    vms.check_served()


# Guards against a change that was acknowledged and is lost with a disk while
# all other control VMs lose power, also while one is being replaced.
@pytest.mark.parametrize("seed", range(SEEDS))
def test_acknowledged_change_survives_a_final_loss(seed):
    vms = _start(seed)
    losses = control_vms.Losses(vms, seed)
    losses.run_to_final_loss()
    print(losses.log)
    vms.check_served()
