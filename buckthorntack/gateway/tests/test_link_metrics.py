"""Metrics of what a node sends to others."""

from typing import NamedTuple

import prometheus_client

from buckthorntack.gateway import _metrics


class Links(NamedTuple):
    """Stands in for links that have sent messages."""

    sent_bytes: int
    sent_messages: int


# Guards against a link full of reports that only a trial could tell from one
# full of requests.
def test_bytes_sent_to_other_nodes_are_served():
    registry = prometheus_client.CollectorRegistry()
    _metrics.EntryMetrics(registry).serve_links(Links(690_000, 721))
    served = registry.get_sample_value
    assert served("gateway_link_sent_bytes") == 690_000
    assert served("gateway_link_sent_messages") == 721
