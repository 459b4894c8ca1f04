"""Prometheus metrics of entry VMs and control VMs."""

import prometheus_client

from buckthorntack import http1

#: Upper bounds of the latency histograms, in seconds; objectives lie between
#: 0.3 and 2 s.
LATENCY_BUCKETS_S = (
    0.02,
    0.05,
    0.1,
    0.2,
    0.35,
    0.5,
    0.8,
    1.2,
    2.0,
    4.0,
    8.0,
)


class EntryMetrics:
    """Counters and histograms of an entry VM.

    :param registry: ``prometheus_client.CollectorRegistry``.
    """

    def __init__(self, registry):
        self._requests = prometheus_client.Counter(
            "gateway_requests",
            "Requests that have ended.",
            ["kind", "status", "outcome"],
            registry=registry,
        )
        self._request_seconds = prometheus_client.Histogram(
            "gateway_request_seconds",
            "Time from the last byte of a request to its end.",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._first_byte_seconds = prometheus_client.Histogram(
            "gateway_first_byte_seconds",
            "Time from the last byte of a request to its answer's first.",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._failed_attempts = prometheus_client.Counter(
            "gateway_failed_attempts",
            "Attempts at servers and regions that gave no whole answer.",
            ["result"],
            registry=registry,
        )
        self._body_ends = prometheus_client.Counter(
            "gateway_body_ends",
            "Response bodies that have ended as their framing tells.",
            ["framing", "place"],
            registry=registry,
        )
        self._directory_answers = prometheus_client.Counter(
            "gateway_directory_answers",
            "Answers of the directory, by where the named entry VMs lie.",
            ["scope"],
            registry=registry,
        )
        self._unknown_keys = prometheus_client.Counter(
            "gateway_unknown_keys",
            "Requests that were refused as no organisation has their key.",
            registry=registry,
        )
        self._quota_requests = prometheus_client.Counter(
            "gateway_quota_requests",
            "Requests of organisations with a quota that were admitted,"
            " refused, or refunded as they did not run.",
            ["result", "unit"],
            registry=registry,
        )
        self._quota_amount = prometheus_client.Counter(
            "gateway_quota_amount",
            "What those requests count as, in tokens or requests.",
            ["result", "unit"],
            registry=registry,
        )
        self._capacity = prometheus_client.Gauge(
            "gateway_capacity",
            "Capacity that this entry VM reports, relative to a nominal one.",
            registry=registry,
        )
        self._hedges = prometheus_client.Counter(
            "gateway_hedges",
            "Second sends of late requests: sent, won by the second server,"
            " and cancelled, which counts the attempt that lost.",
            ["result"],
            registry=registry,
        )
        self._withheld_hedges = prometheus_client.Counter(
            "gateway_withheld_hedges",
            "Late requests that were not sent a second time.",
            ["reason"],
            registry=registry,
        )
        self._cancelled_seconds = prometheus_client.Counter(
            "gateway_hedge_cancelled_seconds",
            "Time that cancelled attempts of hedged requests had run.",
            registry=registry,
        )
        self._room_refusals = prometheus_client.Counter(
            "gateway_room_refusals",
            "Requests that were refused as no server was to take them.",
            ["reason", "rank"],
            registry=registry,
        )
        self._stop_refusals = prometheus_client.Counter(
            "gateway_stop_refusals",
            "Requests that a planned stop left no time for.",
            registry=registry,
        )
        self._refusals = prometheus_client.Counter(
            "gateway_quarantine_refusals",
            "Requests that were refused as they crash servers.",
            registry=registry,
        )
        self._slowdowns = prometheus_client.Gauge(
            "gateway_server_slowdown",
            "Time to the first byte over that at nominal speed, of cached"
            " prompts: lowest, median and highest of the known servers.",
            ["which"],
            registry=registry,
        )
        self._blamed = prometheus_client.Gauge(
            "gateway_quarantined_subjects",
            "Requests and prompt parts refused as they crash servers.",
            registry=registry,
        )

        self._registry = registry

    def serve_memory(self, watch):
        """Serve what is held for callers and servers.

        :param watch: the ``http1.MemoryWatch``.
        """
        budget = watch.budget
        held = prometheus_client.Gauge(
            "gateway_held_bytes",
            "Bytes held for callers and servers, by purpose.",
            ["purpose"],
            registry=self._registry,
        )
        for purpose in http1.Purpose:
            held.labels(purpose.value).set_function(
                lambda purpose=purpose: budget.by_purpose[purpose]
            )
        self._serve_number(
            "gateway_memory_refusals",
            "Requests refused since the start as they found no memory.",
            lambda: budget.refusals,
        )
        self._serve_number(
            "gateway_slow_readers",
            "Connections of callers that have not taken all that was written.",
            lambda: len(watch.slow_readers),
        )

    def _serve_number(self, name, text, read):
        gauge = prometheus_client.Gauge(name, text, registry=self._registry)
        gauge.set_function(read)

    def serve_links(self, links):
        """Serve what was sent to other nodes.

        :param links: ``transport.PlainLinks``.
        """
        self._serve_number(
            "gateway_link_sent_bytes",
            "Bytes sent to other nodes since the start.",
            lambda: links.sent_bytes,
        )
        self._serve_number(
            "gateway_link_sent_messages",
            "Messages sent to other nodes since the start.",
            lambda: links.sent_messages,
        )

    def serve_unanswered(self, listeners):
        """Serve how many requests were read whole and not answered.

        :param listeners: ``http1.Listener`` by name.
        """
        unanswered = prometheus_client.Gauge(
            "gateway_unanswered_requests",
            "Requests since the start that were read whole and whose"
            " connection ended before the end of their response.",
            ["listener", "reason"],
            registry=self._registry,
        )
        unread = prometheus_client.Gauge(
            "gateway_unread_connections",
            "Idle connections since the start that were closed with unread"
            " bytes.",
            ["listener", "reason"],
            registry=self._registry,
        )
        undelivered = prometheus_client.Gauge(
            "gateway_undelivered_responses",
            "Complete responses since the start that their clients had not"
            " taken before the connection was closed.",
            ["listener", "reason"],
            registry=self._registry,
        )
        for name, listener in listeners.items():
            for reason in http1.EndReason:
                for gauge, counts in (
                    (unanswered, listener.unanswered),
                    (unread, listener.unread),
                    (undelivered, listener.undelivered),
                ):
                    gauge.labels(name, reason.value).set_function(
                        lambda counts=counts, reason=reason: counts[reason]
                    )

    def record_request(self, kind, status, outcome, duration_s):
        """Count a request that has ended.

        :param kind: kind of its route; empty if it has none.
        :param status: HTTP status of its response; 0 if it got none.
        :param outcome: how the request ended.
        :param duration_s: time from the receipt of the request to its end.
        """
        self._requests.labels(kind, str(status), outcome).inc()
        self._request_seconds.labels(kind).observe(duration_s)

    def record_first_byte(self, kind, first_byte_s):
        """Record the time to the first byte of a response.

        :param kind: kind of the request's route.
        :param first_byte_s: time from the receipt of the request.
        """
        self._first_byte_seconds.labels(kind).observe(first_byte_s)

    def record_body_end(self, framing, place):
        """Count a response body that its framing marks as complete.

        :param framing: value of its ``http1.BodyFraming``.
        :param place: ``"inside_event"`` if it ended there, else
            ``"boundary"``.
        """
        self._body_ends.labels(framing, place).inc()

    def record_unknown_key(self):
        """Count a request whose key no organisation has."""
        self._unknown_keys.inc()

    def record_quota(self, result, charge):
        """Count a request that has a quota.

        :param result: ``"admitted"``, ``"refused"`` or ``"refunded"``.
        :param charge: the ``Charge``; None without a quota.
        """
        if charge is None:
            return
        unit = charge.quota.unit.value
        self._quota_requests.labels(result, unit).inc()
        self._quota_amount.labels(result, unit).inc(charge.amount)

    def record_capacity(self, capacity):
        """Record the capacity that this entry VM reports.

        :param capacity: relative to a nominal VM.
        """
        self._capacity.set(capacity)

    def record_hedge(self, result):
        """Count a step of a second send.

        :param result: ``"sent"`` or ``"won"``.
        """
        self._hedges.labels(result).inc()

    def record_withheld_hedge(self, reason):
        """Count a late request that is not sent a second time.

        :param reason: the reason.
        """
        self._withheld_hedges.labels(reason).inc()

    def record_cancelled_hedge(self, duration_s):
        """Count the attempt of a hedged request that lost.

        :param duration_s: time that it had run.
        """
        self._hedges.labels("cancelled").inc()
        self._cancelled_seconds.inc(duration_s)

    def record_refusal(self, refusal):
        """Count a request that no server was to take.

        :param refusal: the ``dispatch.Refuse``.
        """
        position = refusal.rank_position
        rank = "none"
        if position is not None:
            # Quarters bound the labels, however many ranks there are.
            rank = f"{round(position * 4) / 4:.2f}"
        self._room_refusals.labels(refusal.reason, rank).inc()

    def record_stop_refusal(self):
        """Count a request that a planned stop left no time for."""
        self._stop_refusals.inc()

    def record_quarantine_refusal(self):
        """Count a request that is refused as it crashes servers."""
        self._refusals.inc()

    def record_quarantine_size(self, count):
        """Record the size of the quarantine.

        :param count: number of requests and prompt parts refused at present.
        """
        self._blamed.set(count)

    def record_slowdowns(self, lowest, median, highest):
        """Record how much the speeds of servers differ.

        :param lowest: slowdown of the fastest server.
        :param median: slowdown of a typical one.
        :param highest: slowdown of the slowest one.
        """
        self._slowdowns.labels("lowest").set(lowest)
        self._slowdowns.labels("median").set(median)
        self._slowdowns.labels("highest").set(highest)

    def record_failed_attempt(self, result):
        """Count a failed attempt.

        :param result: class name of its result.
        """
        self._failed_attempts.labels(result).inc()

    def record_directory_answer(self, scope):
        """Count an answer of the directory.

        :param scope: value of its ``discovery.AddressScope``.
        """
        self._directory_answers.labels(scope).inc()


class ControlMetrics:
    """Gauges of a control VM.

    :param registry: ``prometheus_client.CollectorRegistry``.
    """

    def __init__(self, registry):
        self._members = prometheus_client.Gauge(
            "gateway_group_members",
            "Members of the control group that this control VM knows, by"
            " role and by whether they report to it.",
            ["role", "live"],
            registry=registry,
        )
        self._has_leader = prometheus_client.Gauge(
            "gateway_group_has_leader",
            "1 if a leader of the control group is known, otherwise 0.",
            registry=registry,
        )
        self._protocol_versions = prometheus_client.Gauge(
            "gateway_nodes_by_protocol_version",
            "Known nodes that have not deregistered, by the newest version of"
            " messages between nodes that they understand.",
            ["version"],
            registry=registry,
        )

    def record_group(self, status, live):
        """Record the members and the leader of the control group.

        :param status: ``consensus.ReplicaStatus``.
        :param live: node ids of the control VMs that report.
        """
        for role, node_ids in (
            ("voter", status.voters),
            ("learner", status.learners),
        ):
            count = sum(node_id in live for node_id in node_ids)
            self._members.labels(role, "yes").set(count)
            self._members.labels(role, "no").set(len(node_ids) - count)
        self._has_leader.set(1 if status.leader else 0)

    def record_protocol_versions(self, counts, former):
        """Record how many nodes have which protocol version.

        :param counts: number of nodes by version.
        :param former: what was recorded last.
        """
        for version in former.keys() - counts.keys():
            self._protocol_versions.remove(str(version))
        for version, count in counts.items():
            self._protocol_versions.labels(str(version)).set(count)
