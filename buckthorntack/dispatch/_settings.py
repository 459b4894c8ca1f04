"""Figures that the choice of a server depends on."""

import datetime
from typing import NamedTuple


class DispatchSettings(NamedTuple):
    """Figures that the choice of a server depends on.

    Speeds are starting points; what each server does is learnt on top.
    """

    #: Prompt tokens that an engine reads in a millisecond; the slower one of
    #: the engines met so far.
    prefill_tokens_per_ms: float = 60.0
    #: Time to the first event of a prompt that is all cached.
    first_event_ms: float = 90.0
    #: Time that each request in the batch adds to the next first event: one
    #: step of decoding for some, a chunk of prefill for a few.
    batch_ms: float = 1.5
    #: How long an engine works on a stream, until it is learnt.
    stream_duration_ms: float = 700.0
    #: How long a plain service works on a request, until it is learnt.
    service_time_ms: float = 80.0
    #: Weight of a new sample in learnt times.
    sample_weight: float = 0.08
    #: Bounds of the learnt ratio of observed to expected time.
    min_slowdown: float = 0.5
    max_slowdown: float = 8.0
    #: Way to another region and back, once.
    region_round_trip_ms: float = 112.0
    #: Expected time that a region must save over the local one before a
    #: request is sent there: links are shared and priced.
    min_region_gain_ms: float = 60.0
    #: Share of the objective up to which a request stays in its region.
    local_objective_share: float = 0.2
    #: Expected time to the first event, in objectives, at which a request
    #: of the most urgent kind is refused; less urgent ones are refused
    #: sooner by the step below.
    refuse_at_objectives: float = 1.5
    refuse_priority_step: float = 0.25
    #: Part of the objective that a prompt may wait at an engine for which it
    #: is too large to be answered in time.
    queue_share: float = 0.0
    #: Part of what a request costs others that counts when it is refused.
    refuse_interference_share: float = 0.5
    #: Part of the objective that a request which comes back is to find.
    retry_objective_share: float = 0.6
    #: Share of the time left that the expected time must stay below.
    deadline_share: float = 0.8
    #: Fewest tokens that are worth a copy from another engine: they are read
    #: in the time that it takes to begin one.
    min_fetch_tokens: int = 256
    #: Prompt tokens that an engine may have to read in one go before the
    #: pauses of its streams grow too long: it reads in chunks of 2,048, each
    #: between two tokens of all streams, and an event has 5 to 10 tokens.
    stall_free_tokens: int = 10_000
    #: Added for each stream at an engine and each 1,000 tokens beyond that.
    stall_ms: float = 5.0
    #: Added for each stream at an engine and each 1,000 tokens at all: how
    #: long these take to read, for each of them.
    delay_ms: float = 2.0
    #: Time that a copy takes besides the bytes.
    fetch_setup_ms: float = 4.0
    #: How much longer a copy takes between failure domains: as measured, 18
    #: of 180 Gbit/s.
    fetch_domain_factor: float = 10.0
    #: Shared tokens that no server of the region has and that are worth the
    #: way to a region where one has them, rather than reading them again.
    large_prefix_tokens: int = 4_000
    #: What the way to the one place that reads a new large part may cost more
    #: than to read it here: about the time of another read, later.
    affinity_gain_ms: float = 180.0
    #: A copy is made if it takes at most this share of the time to read: the
    #: engine goes on with other requests meanwhile.
    fetch_read_share: float = 1.5
    #: Added for a server that failed all of its last requests.
    failure_ms: float = 1500.0
    #: Share of an engine's memory that requests may hold.
    memory_share: float = 0.92
    #: Failures in a row after which a server is left out, and for how long.
    eject_after_failures: int = 3
    ejection_ms: float = 800.0
    longest_ejection_ms: float = 4000.0
    #: Bounds of Retry-After; a client waits up to a third of its time left.
    min_retry_after_ms: float = 150.0
    max_retry_after_ms: float = 2000.0
    #: Part of the budget of repeats that is used; the rest covers requests
    #: that are counted elsewhere in another window.
    repeat_share: float = 0.75
    #: Entry VMs of a region that send to a cold server.
    cold_senders: int = 3
    #: Time for which servers count as cold after their failure domain was
    #: taken back: two announcements, which come every 1.2 s.
    presumed_cold: datetime.timedelta = datetime.timedelta(seconds=2.5)
    #: Part of the rate of a cold server that is used: requests may bunch up
    #: on their way.
    cold_share: float = 0.8
