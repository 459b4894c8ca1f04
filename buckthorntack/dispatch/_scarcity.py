"""How short the room of a region's engines is, and who is refused first.

All entry VMs of a region know the same usage and configuration, so their
limits agree without messages.  The limit of a request falls continuously with
its rank and with the scarcity.
"""

#: Mean fill of a region's engines from which its room counts as short.
SHORT_FILL = 0.8
#: Mean fill at which the order of ranks takes full effect.
FULL_FILL = 1.1
#: Part of the most urgent requests' wait that the least urgent ones lose.
RANK_SPAN = 0.7
#: Part of the less urgent requests that are judged as the most urgent ones,
#: so that none starves.
LEAST_SHARE = 0.4


def compute_scarcity(usages, service, urgent_wait_ms, settings, slowdown=1.0):
    """Compute how short the room of a region is.

    :param usages: list of slots and ``Usage`` of each of its engines.
    :param service: the ``directives.Service``.
    :param urgent_wait_ms: wait that the most urgent requests accept.
    :param settings: the ``DispatchSettings``.
    :param slowdown: ratio of observed to expected times.
    :returns: from 0.0, room for all, to 1.0.
    """
    if not usages or service.engine is None:
        return 0.0
    memory_tokens = service.engine.memory_tokens * settings.memory_share
    total = 0.0
    for slots, usage in usages:
        excess = max(0, usage.running + usage.waiting - slots)
        wait_ms = usage.waiting_tokens / settings.prefill_tokens_per_ms
        wait_ms += usage.running * settings.batch_ms
        wait_ms += settings.stream_duration_ms * excess / max(1, slots)
        fill = max(
            wait_ms * slowdown / max(1.0, urgent_wait_ms),
            usage.held_tokens / max(1.0, memory_tokens),
        )
        total += min(fill, 2 * FULL_FILL)
    mean_fill = total / len(usages)
    scarcity = (mean_fill - SHORT_FILL) / (FULL_FILL - SHORT_FILL)
    return min(1.0, max(0.0, scarcity))


def compute_wait_limit_ms(wait_ms, urgent_wait_ms, position, scarcity):
    """Compute the wait for an engine at which a request is refused.

    :param wait_ms: that limit while there is room.
    :param urgent_wait_ms: the limit of the most urgent requests.
    :param position: place among the ranks, from 0.0 to 1.0.
    :param scarcity: from 0.0 to 1.0.

    >>> compute_wait_limit_ms(2000.0, 600.0, 1.0, 0.0)
    2000.0
    >>> round(compute_wait_limit_ms(2000.0, 600.0, 1.0, 1.0))
    180
    """
    ranked_ms = min(wait_ms, urgent_wait_ms * (1.0 - RANK_SPAN * position))
    return wait_ms + (ranked_ms - wait_ms) * scarcity
