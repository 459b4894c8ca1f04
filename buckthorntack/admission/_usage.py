"""Slots in use by organisation, and slots reserved from heavy users."""

import collections

import sortedcontainers

#: Time after its last request for which an organisation counts as active.
ACTIVE_S = 10.0


class SlotUsage:
    """Slots of a service in use, by organisation.

    While several organisations are active, an organisation that is the
    heaviest user and uses more than its weighted share may not take the
    reserved slots.

    :param reserved_share: fraction of the slots that are reserved.
    """

    def __init__(self, reserved_share):
        self.reserved_share = reserved_share
        self.slots = 0
        self.in_flight = 0
        self._used = collections.Counter()
        self._loads = sortedcontainers.SortedDict()
        self._active = collections.OrderedDict()
        self._weights = 0.0

    def record_demand(self, request, now_s):
        """Record that an organisation requests a slot.

        :param request: ``AdmissionRequest``.
        :param now_s: monotonic time in seconds.
        """
        self._remove_active(request.organisation)
        self._active[request.organisation] = (now_s, request.weight)
        self._weights += request.weight
        while self._active:
            organisation, (last_s, _) = next(iter(self._active.items()))
            if now_s - last_s <= ACTIVE_S:
                return
            self._remove_active(organisation)

    def record_start(self, request):
        """Count a request that starts.

        :param request: ``AdmissionRequest``.
        """
        self.in_flight += 1
        self._adjust_use(request, 1)

    def record_end(self, request):
        """Stop counting a request that has ended.

        :param request: ``AdmissionRequest``.
        """
        self.in_flight -= 1
        self._adjust_use(request, -1)

    def has_room(self):
        """Whether a slot is free, reserved ones included."""
        return self.in_flight < self.slots

    def has_room_for(self, request):
        """Whether a request may take a slot.

        :param request: ``AdmissionRequest``.
        """
        if not self.has_room():
            return False
        if len(self._active) <= 1:
            return True
        reserved = self.slots * self.reserved_share
        if self.in_flight < self.slots - reserved:
            return True
        used = self._used.get(request.organisation, 0) + 1
        share = self.slots * request.weight / max(self._weights, 1e-9)
        heaviest = self._loads.peekitem()[0] * request.weight
        return used <= max(1.0, share, heaviest)

    def _adjust_use(self, request, change):
        organisation = request.organisation
        used = self._used[organisation]
        self._count_load(used / request.weight, -1)
        self._count_load((used + change) / request.weight, 1)
        self._used[organisation] += change
        if not self._used[organisation]:
            del self._used[organisation]

    def _count_load(self, load, change):
        """Change the number of organisations with a load by one."""
        if load <= 0:
            return
        count = self._loads.get(load, 0) + change
        if count:
            self._loads[load] = count
        else:
            del self._loads[load]

    def _remove_active(self, organisation):
        known = self._active.pop(organisation, None)
        if known is not None:
            self._weights -= known[1]
