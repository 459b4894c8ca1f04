"""Request queue of a service, ordered by rank and weighted fair queueing."""

import collections
import heapq
from typing import NamedTuple

import sortedcontainers

#: Fixed cost of each request, added to its prompt tokens.
REQUEST_COST_TOKENS = 256
#: Organisations without queued requests whose virtual finish times are kept.
REMEMBERED_ORGANISATIONS = 256
#: Organisations examined in one search for a request that may start.
MAX_EXAMINED_ORGANISATIONS = 16


class QueuedRequest(NamedTuple):
    """A request in the queue."""

    request: object
    deadline_s: float


def _cost(request):
    tokens = request.prompt_tokens + REQUEST_COST_TOKENS
    return tokens / request.weight


class _Backlog:
    """Queued requests of one organisation."""

    __slots__ = ("length_key", "requests", "start")

    def __init__(self):
        self.requests = collections.OrderedDict()
        self.start = None
        self.length_key = None


class _Rank:
    """Queued requests of one rank, in start-time fair queueing order."""

    def __init__(self):
        self.backlogs = {}
        self.length = 0
        self._by_start = sortedcontainers.SortedList()
        self._by_length = sortedcontainers.SortedList()
        self._virtual_finishes = {}
        self._virtual_time = 0.0

    def charge(self, request):
        """Charge an organisation for a request that starts without queueing.

        :param request: ``AdmissionRequest``.
        """
        organisation = request.organisation
        start = self._virtual_start(organisation)
        self._virtual_finishes[organisation] = start + _cost(request)
        self._virtual_time = max(self._virtual_time, start)
        self._prune_finishes()

    def push(self, waiting):
        """Append a request to the backlog of its organisation.

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
        """Dequeue the next request that may start.

        :param may_start: predicate on an ``AdmissionRequest``.
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
        """Remove a request from the backlog of its organisation.

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
        """Return the newest request of the longest weighted backlog.

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
        """Drop virtual finish times when there are too many.

        Finish times in the past and the smallest ones go first: they affect
        the order least.
        """
        max_kept = REMEMBERED_ORGANISATIONS + len(self.backlogs)
        if len(self._virtual_finishes) <= 2 * max_kept:
            return
        ahead = [
            (finish, organisation)
            for organisation, finish in self._virtual_finishes.items()
            if finish > self._virtual_time or organisation in self.backlogs
        ]
        kept = heapq.nlargest(max_kept, ahead)
        self._virtual_finishes = {name: finish for finish, name in kept}


class FairQueue:
    """Queued requests of one service."""

    def __init__(self):
        self._ranks = sortedcontainers.SortedDict()
        self._waiting = {}

    def __len__(self):
        return len(self._waiting)

    def charge(self, request):
        """Charge an organisation for a request that starts without queueing.

        :param request: ``AdmissionRequest``.
        """
        self._rank(request.rank).charge(request)

    def push(self, request, deadline_s):
        """Append a request.

        :param request: ``AdmissionRequest``.
        :param deadline_s: monotonic time by which it must have started.
        """
        waiting = QueuedRequest(request, deadline_s)
        self._waiting[request.request_id] = waiting
        self._rank(request.rank).push(waiting)

    def pop(self, may_start):
        """Dequeue the next request that may start.

        Only the best rank that has queued requests is examined.

        :param may_start: predicate on an ``AdmissionRequest``.
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
        """Remove a request.

        :param request_id: id of the request.
        :returns: :class:`Waiting`, or None if it is not queued.
        """
        waiting = self._waiting.pop(request_id, None)
        if waiting is not None:
            self._ranks[waiting.request.rank].remove(waiting.request)
        return waiting

    def shed_candidate(self):
        """Return the request to shed first.

        :returns: :class:`Waiting`.
        """
        for rank in reversed(self._ranks.values()):
            if rank.length:
                return rank.shed_candidate()
        raise IndexError("the queue is empty")

    def estimate_ahead(self, request):
        """Estimate how many requests start before a new one.

        :param request: ``AdmissionRequest``.
        :returns: number of requests.
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
