"""Construction of the placement task from the settings of a process."""

from buckthorntack.placement import _inputs
from buckthorntack.placement import _lease
from buckthorntack.placement import _planner
from buckthorntack.placement import _store
from buckthorntack.placement import _task
from buckthorntack.placement import _timing

#: Default number of concurrent loads from the weight store.
_CONCURRENT_LOADS = 2


def build_placement_task(
    settings,
    incarnation,
    sender,
    client,
    clock,
    members,
    read_published,
    read_arrivals,
):
    """Build the placement task of an entry VM.

    :param settings: the parsed settings.
    :param incarnation: number that grows with each start of the process.
    :param sender: a ``Sender``.
    :param client: an ``httpx.AsyncClient`` for engines.
    :param clock: a ``Clock``.
    :param members: the :class:`MembershipTask` of this process.
    :param read_published: callable that returns the ``PublishedSet`` in force,
        or ``None``.
    :param read_arrivals: callable that returns arrivals per second by model
        version.
    :returns: a :class:`PlacementTask`; ``None`` without a weight store.
    """
    store = settings.get("weight_store")
    if store is None:
        return None
    domain = settings["failure_domain"]
    timing = _timing.PlacementTiming()
    holder = f"{settings['node_id']}#{incarnation}"
    budget = _store.WeightStoreBudget(
        store["bytes_per_second"],
        store.get("concurrent_loads", _CONCURRENT_LOADS),
    )

    def read():
        published = read_published()
        if published is None:
            return _planner.Inputs({}, {}, [], {})
        servers = members.servers()
        arrivals = read_arrivals()
        return _inputs.read_inputs(published, servers, domain, arrivals)

    return _task.PlacementTask(
        _lease.IssuerLease(domain, holder, timing),
        _planner.PlacementPlanner(timing, budget),
        settings["control"],
        sender,
        client,
        clock,
        read,
        members.publish,
    )


def drained_servers(items):
    """Return the ids of all engines that issuers are draining.

    :param items: membership items of kind :data:`DRAIN_KIND`.
    """
    ids = set()
    for item in items:
        ids.update(_task.read_drain_item(item))
    return ids
