"""Parameters of the choice of a server."""

import datetime
from typing import NamedTuple


class DispatchSettings(NamedTuple):
    """Parameters of the choice of a server.

    Speeds are initial values; a slowdown learnt for each server corrects
    them.
    """

    #: Prefill rate of an engine; the value is that of the slower one of the
    #: known engine types.
    prefill_tokens_per_ms: float = 60.0
    #: Time to the first event of a fully cached prompt.
    first_event_ms: float = 90.0
    #: Time that each running request adds to the first event of the next one:
    #: a decode step for some requests, a prefill chunk for a few.
    batch_ms: float = 1.5
    #: Initial estimate of the duration of a stream at an engine.
    stream_duration_ms: float = 700.0
    #: Initial estimate of the service time of a plain service.
    service_time_ms: float = 80.0
    #: Weight of a new sample in moving averages.
    sample_weight: float = 0.08
    #: Bounds of the learnt ratio of observed to expected time.
    min_slowdown: float = 0.2
    max_slowdown: float = 8.0
    #: Round trip time to another region.
    region_round_trip_ms: float = 112.0
    #: Least gain in expected time for which a request goes to another region:
    #: links are shared and have a price.
    min_region_gain_ms: float = 60.0
    #: Fraction of the objective up to which a request stays in its region.
    local_objective_share: float = 0.2
    #: Expected time to the first event, in objectives, above which a request
    #: of the most urgent priority is refused.
    refuse_at_objectives: float = 1.5
    #: Reduction of that limit, in objectives, per less urgent priority.
    refuse_priority_step: float = 0.25
    #: Fraction of the objective that a prompt may queue if it is too long to
    #: be answered in time even by an idle engine.
    queue_share: float = 0.0
    #: Fraction of the delay to other requests that counts in the decision to
    #: refuse a request.
    refuse_interference_share: float = 0.5
    #: Fraction of the objective that Retry-After aims at as the expected time
    #: of the retry.
    retry_objective_share: float = 0.6
    #: Fraction of the remaining time that the expected time must not exceed.
    deadline_share: float = 0.8
    #: Fewest tokens worth a copy from another engine: prefilling them takes as
    #: long as setting up a copy.
    min_fetch_tokens: int = 256
    #: Largest number of prompt tokens to prefill that keeps the pauses of an
    #: engine's streams acceptable: the engine prefills chunks of 2,048 tokens
    #: between two decode steps, and a stream event has 5 to 10 tokens.
    stall_free_tokens: int = 10_000
    #: Penalty per running stream and per 1,000 tokens above
    #: ``stall_free_tokens``.
    stall_ms: float = 5.0
    #: Penalty per running stream and per 1,000 uncached tokens of the prompt:
    #: the delay that prefilling them causes to each stream.
    delay_ms: float = 2.0
    #: Setup time of a copy between engines.
    fetch_setup_ms: float = 4.0
    #: Factor on the duration of a copy between failure domains, where the
    #: rate is 18 instead of 180 Gbit/s.
    fetch_domain_factor: float = 10.0
    #: Smallest size of a large shared prefix: if only another region has it,
    #: sending the request there is better than prefilling it again.
    large_prefix_tokens: int = 4_000
    #: Cost above that of the local region that is accepted to keep a large
    #: prefix at one server: about the time of a later second prefill.
    affinity_gain_ms: float = 180.0
    #: Longest copy, as a multiple of the time to prefill the same tokens: the
    #: engine works on other requests during the copy.
    fetch_prefill_share: float = 1.5
    #: Penalty for a server that failed all recent requests; scaled by its
    #: failure share.
    failure_ms: float = 1500.0
    #: Fraction of an engine's memory that requests may hold.
    memory_share: float = 0.92
    #: Number of consecutive failures after which a server is ejected.
    eject_after_failures: int = 3
    #: Duration of the first ejection.
    ejection_ms: float = 800.0
    #: Longest duration of an ejection.
    max_ejection_ms: float = 4000.0
    #: Bounds of Retry-After; a client waits for at most a third of its
    #: remaining time.
    min_retry_after_ms: float = 150.0
    max_retry_after_ms: float = 2000.0
    #: Fraction of the retry budget that is used; the rest covers requests that
    #: other components count in a different time window.
    retry_budget_share: float = 0.75
    #: Number of entry VMs of a region that send to a cold server.
    cold_senders: int = 3
    #: Time for which servers count as cold after the evacuation of their
    #: failure domain has ended: two announcement periods of 1.2 s.
    presumed_cold: datetime.timedelta = datetime.timedelta(seconds=2.5)
    #: Fraction of the allowed rate of a cold server that is used: requests may
    #: arrive in bursts.
    cold_rate_share: float = 0.8
