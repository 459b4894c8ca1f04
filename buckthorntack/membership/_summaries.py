"""Summaries of failure domains, and the table of those received."""

import collections
from typing import NamedTuple

from buckthorntack.membership import _entries
from buckthorntack.membership import _servers
from buckthorntack.schema import messages


class _HeldSummary(NamedTuple):
    summary: messages.DomainSummary
    expires_at_ms: int


def summarise_services(records):
    """Sum the capacity and load of a failure domain's ready servers.

    :param records: ``ServerRecord`` of the failure domain.
    :returns: a ``ServiceSummary`` for each service and model version.
    """
    groups = collections.defaultdict(list)
    for record in records:
        if record.state != _servers.READY:
            continue
        for model_version in record.model_versions or [""]:
            groups[record.service, model_version].append(record)
    return [
        messages.ServiceSummary(
            service,
            model_version,
            len(group),
            sum(record.slots for record in group),
            sum(record.load.running for record in group),
            sum(record.load.waiting for record in group),
        )
        for (service, model_version), group in sorted(groups.items())
    ]


class SummaryTable:
    """Summaries of other failure domains by name."""

    def __init__(self):
        self._held = {}

    def __len__(self):
        return len(self._held)

    def records(self, now_ms):
        """All summaries whose lease has not expired.

        :param now_ms: monotonic time.
        """
        return [
            held.summary._replace(lease_ms=held.expires_at_ms - now_ms)
            for held in self._held.values()
            if held.expires_at_ms > now_ms
        ]

    def get(self, failure_domain, now_ms):
        """Return the summary of one failure domain, or ``None``.

        :param failure_domain: name of the failure domain.
        :param now_ms: monotonic time.
        """
        held = self._held.get(failure_domain)
        if held is None or held.expires_at_ms <= now_ms:
            return None
        return held.summary._replace(lease_ms=held.expires_at_ms - now_ms)

    def merge(self, summary, lease_ms, now_ms):
        """Merge a summary.

        Of two summaries by one reporter the higher incarnation and sequence
        wins; of two by different reporters the one whose lease ends later.

        :param summary: the summary.
        :param lease_ms: remaining lease.
        :param now_ms: monotonic time.
        :returns: whether the table changed.
        """
        if lease_ms <= 0:
            return False
        expires_at_ms = now_ms + lease_ms
        held = self._held.get(summary.failure_domain)
        if held is not None and not _is_newer(summary, expires_at_ms, held):
            return False
        if held is not None and not summary.entries:
            summary = summary._replace(entries=held.summary.entries)
        held = _HeldSummary(summary, expires_at_ms)
        self._held[summary.failure_domain] = held
        return True

    def expire(self, now_ms):
        """Delete the summaries whose lease has expired.

        :param now_ms: monotonic time.
        :returns: the deleted summaries.
        """
        expired = [h for h in self._held.values() if h.expires_at_ms <= now_ms]
        for held in expired:
            del self._held[held.summary.failure_domain]
        return [held.summary for held in expired]


def _is_newer(summary, expires_at_ms, held):
    if summary.reporter == held.summary.reporter:
        return _version(summary) > _version(held.summary)
    return expires_at_ms > held.expires_at_ms


def _version(summary):
    return summary.incarnation, summary.sequence


def choose_entries(records, count, rng):
    """Choose the entry VMs that a summary names at random.

    :param records: all ``EntryRecord`` of the failure domain.
    :param count: largest number of them.
    :param rng: random number generator.
    """
    ready = [r for r in records if r.state == _entries.READY]
    return rng.sample(ready, min(count, len(ready)))
