"""Waiting requests of a service, in order of rank and weighted fairness."""

import collections
import heapq
from typing import NamedTuple

import sortedcontainers

#: Cost of a request besides its prompt tokens.
REQUEST_COST_TOKENS = 256
#: Organisations whose past share is remembered, beyond the waiting ones.
REMEMBERED_ORGANISATIONS = 256
#: Organisations among which one that may start is sought.
MAX_EXAMINED_ORGANISATIONS = 16


class QueuedRequest(NamedTuple):
    """A request in the queue."""

    request: object
    deadline_s: float


def _cost(request):
    tokens = request.prompt_tokens + REQUEST_COST_TOKENS
    return tokens / request.weight


class _Backlog:
    """Waiting requests of one organisation."""

    __slots__ = ("length_key", "requests", "start")

    def __init__(self):
        self.requests = collections.OrderedDict()
        self.start = None
        self.length_key = None


class _Rank:
    """Waiting requests of one rank, by start-time fair queueing."""

    def __init__(self):
        self.backlogs = {}
        self.length = 0
        self._by_start = sortedcontainers.SortedList()
        self._by_length = sortedcontainers.SortedList()
        self._virtual_finishes = {}
        self._virtual_time = 0.0

    def charge(self, request):
        """Count a request that starts at once.

        :param request: ``AdmissionRequest``.
        """
        organisation = request.organisation
        start = self._virtual_start(organisation)
        self._virtual_finishes[organisation] = start + _cost(request)
        self._virtual_time = max(self._virtual_time, start)
        self._prune_finishes()

    def push(self, waiting):
        """Add a request.

        :param waiting: :class:`Waiting`.
        """
        request = waiting.request
        organisation = request.organisation
        backlog = self.backlogs.get(organisation)
        if backlog is None:
            backlog = self.backlogs[organisation] = _Backlog()
            backlog.start = (self._virtual_start(organisation), organisation)
            self._by_start.add(backlog.start)
        backlog.requests[request.request_id] = waiting
        self.length += 1
        self._set_length(organisation, backlog, request.weight)

    def pop(self, may_start):
        """Take the request that is next.

        :param may_start: tells whether a request may start now.
        :returns: :class:`Waiting`, or None if none may start.
        """
        for start, organisation in self._by_start[:MAX_EXAMINED_ORGANISATIONS]:
            backlog = self.backlogs[organisation]
            waiting = next(iter(backlog.requests.values()))
            if may_start(waiting.request):
                self._take(backlog, waiting, start)
                return waiting
        return None

    def _take(self, backlog, waiting, start):
        organisation = waiting.request.organisation
        self._virtual_time = max(self._virtual_time, start)
        self._virtual_finishes[organisation] = start + _cost(waiting.request)
        self._by_start.remove(backlog.start)
        backlog.start = (self._virtual_finishes[organisation], organisation)
        self._by_start.add(backlog.start)
        self.remove(waiting.request)
        self._prune_finishes()

    def remove(self, request):
        """Take out a request.

        :param request: ``AdmissionRequest``.
        """
        organisation = request.organisation
        backlog = self.backlogs[organisation]
        del backlog.requests[request.request_id]
        self.length -= 1
        self._set_length(organisation, backlog, request.weight)
        if not backlog.requests:
            self._by_start.remove(backlog.start)
            self._by_length.remove(backlog.length_key)
            del self.backlogs[organisation]

    def shed_candidate(self):
        """The newest request of the organisation that waits with most.

        :returns: :class:`Waiting`.
        """
        backlog = self.backlogs[self._by_length[-1][1]]
        return next(reversed(backlog.requests.values()))

    def _virtual_start(self, organisation):
        return max(
            self._virtual_time, self._virtual_finishes.get(organisation, 0.0)
        )

    def _set_length(self, organisation, backlog, weight):
        if backlog.length_key is not None:
            self._by_length.remove(backlog.length_key)
        backlog.length_key = (len(backlog.requests) / weight, organisation)
        self._by_length.add(backlog.length_key)

    def _prune_finishes(self):
        """Keep only the finishes that matter most, now and then."""
        most = REMEMBERED_ORGANISATIONS + len(self.backlogs)
        if len(self._virtual_finishes) <= 2 * most:
            return
        ahead = [
            (finish, organisation)
            for organisation, finish in self._virtual_finishes.items()
            if finish > self._virtual_time or organisation in self.backlogs
        ]
        kept = heapq.nlargest(most, ahead)
        self._virtual_finishes = {name: finish for finish, name in kept}


class FairQueue:
    """Waiting requests of one service."""

    def __init__(self):
        self._ranks = sortedcontainers.SortedDict()
        self._waiting = {}

    def __len__(self):
        return len(self._waiting)

    def charge(self, request):
        """Count a request that starts at once.

        :param request: ``AdmissionRequest``.
        """
        self._rank(request.rank).charge(request)

    def push(self, request, deadline_s):
        """Add a request.

        :param request: ``AdmissionRequest``.
        :param deadline_s: when it must have started.
        """
        waiting = QueuedRequest(request, deadline_s)
        self._waiting[request.request_id] = waiting
        self._rank(request.rank).push(waiting)

    def pop(self, may_start):
        """Take the request that is next; lower ranks wait for better ones.

        :param may_start: tells whether a request may start now.
        :returns: :class:`Waiting`, or None if none may start.
        """
        for rank in self._ranks.values():
            if rank.length:
                waiting = rank.pop(may_start)
                if waiting is not None:
                    del self._waiting[waiting.request.request_id]
                return waiting
        return None

    def remove(self, request_id):
        """Take out a request.

        :param request_id: its id.
        :returns: :class:`Waiting`, or None if it does not wait.
        """
        waiting = self._waiting.pop(request_id, None)
        if waiting is not None:
            self._ranks[waiting.request.rank].remove(waiting.request)
        return waiting

    def shed_candidate(self):
        """The request to shed first.

        :returns: :class:`Waiting`.
        """
        for rank in reversed(self._ranks.values()):
            if rank.length:
                return rank.shed_candidate()
        raise IndexError("no request waits")

    def estimate_ahead(self, request):
        """Estimate how many requests start before a new one.

        :param request: ``AdmissionRequest``.
        :returns: their number.
        """
        better = sum(
            self._ranks[rank].length
            for rank in self._ranks.irange(maximum=request.rank - 1)
        )
        rank = self._ranks.get(request.rank)
        if rank is None:
            return better
        backlog = rank.backlogs.get(request.organisation)
        own = len(backlog.requests) if backlog is not None else 0
        turns = (own + 1) * (len(rank.backlogs) + (own == 0))
        return better + min(rank.length, turns - 1)

    def _rank(self, number):
        rank = self._ranks.get(number)
        if rank is None:
            rank = self._ranks[number] = _Rank()
        return rank
