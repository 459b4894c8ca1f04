"""Entry VMs leave a control VM that does not get what is committed."""

import errno
import threading

from buckthorntack import storage
from buckthorntack.consensus import _task
from buckthorntack.platform.tests import _standins
from buckthorntack.schema import messages

#: The only control VM of the entry VM's failure domain.
NEAREST = "c1"


def run(scenario):
    _standins.run(scenario, entries=("b1",))


async def wait_until_followed(world):
    """Wait until the entry VM follows its nearest control VM."""
    await world.begin()
    await world.until(lambda: find_followed(world) == NEAREST)


def find_followed(world):
    """Return the name of the control VM that the entry VM follows."""
    selector = world.nodes["e0"].following.control_selector
    names = {
        node.identity.node_id: name
        for name, node in world.nodes.items()
        if node.settings.role == "control"
    }
    return names.get(selector.followed_id)


async def check_is_left(world):
    """Check that a change which the nearest one lacks is taken elsewhere."""
    answer = await world.publish(_standins.configuration(2), "c0")
    assert answer.status == 200
    await world.until(lambda: find_followed(world) not in (NEAREST, None))
    await world.in_force(2)
    assert world.nodes[NEAREST].machine.directives.version == 1


async def check_is_taken_up_again(world):
    """Check that the nearest one is followed once it has caught up."""
    await world.until(lambda: find_followed(world) == NEAREST)
    assert world.nodes[NEAREST].machine.directives.version == 2


def patch_writes(monkeypatch, node, fault):
    """Call a function before each write to the disk of a control VM.

    :param monkeypatch: the fixture.
    :param node: the ``ControlNode``.
    :param fault: the function.
    """
    write = _task.ReplicaTask._write

    def write_or_fail(task, data):
        if task is node.replica:
            fault()
        write(task, data)

    monkeypatch.setattr(_task.ReplicaTask, "_write", write_or_fail)


def refuse_write():
    """Fail as a write to a full disk."""
    cause = OSError(errno.ENOSPC, "no space")
    raise storage.DiskFullError("log", cause)


# Guards against entry VMs that stay with a control VM whose disk is full.
def test_control_vm_with_a_full_disk_is_left(monkeypatch):
    async def scenario(world):
        await wait_until_followed(world)
        with monkeypatch.context() as patch:
            patch_writes(patch, world.nodes[NEAREST], refuse_write)
            await check_is_left(world)
        await check_is_taken_up_again(world)

    run(scenario)


# Guards against entry VMs that stay with a control VM whose disk hangs.
def test_control_vm_whose_disk_hangs_is_left(monkeypatch):
    async def scenario(world):
        await wait_until_followed(world)
        has_ended = threading.Event()
        patch_writes(monkeypatch, world.nodes[NEAREST], has_ended.wait)
        try:
            await check_is_left(world)
        finally:
            has_ended.set()
        await check_is_taken_up_again(world)

    run(scenario)


# Guards against entry VMs that stay with a control VM that lags.
def test_control_vm_that_catches_up_is_left(monkeypatch):
    async def scenario(world):
        await wait_until_followed(world)
        replica = world.nodes[NEAREST].replica
        await replica.transfer_leadership()
        await world.until(lambda: not replica.is_leader())
        deliver = replica.deliver

        def deliver_heartbeats(sender, message):
            is_append = isinstance(message, messages.AppendRequest)
            if not (is_append and message.entries):
                deliver(sender, message)

        with monkeypatch.context() as patch:
            patch.setattr(replica, "deliver", deliver_heartbeats)
            await check_is_left(world)
        await check_is_taken_up_again(world)

    run(scenario)
