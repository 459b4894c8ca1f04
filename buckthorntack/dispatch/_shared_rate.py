"""Limit on the requests of all entry VMs to a server, without coordination.

A server gets requests from a few entry VMs of its region only, and each of
them uses an equal part of the rate.  Entry VMs with different membership
views choose different senders, so the parts leave a reserve of the rate.
"""

from typing import NamedTuple

import xxhash

_HASH_RANGE = float(1 << 64)


def rendezvous_score(key, member):
    """Rendezvous hashing score of a member for a key, from 0 to 1.

    :param key: key to assign.
    :param member: member that may get the key.
    """
    mixed = f"{key}\0{member}".encode()
    return xxhash.xxh3_64_intdigest(mixed) / _HASH_RANGE


def rank_by_rendezvous(key, members):
    """Sort members by descending rendezvous hashing score for a key.

    :param key: key to assign.
    :param members: members that may get the key.

    >>> sorted(rank_by_rendezvous("a", ["x", "y"]))
    ['x', 'y']
    """
    return sorted(
        members,
        key=lambda member: rendezvous_score(key, member),
        reverse=True,
    )


class SharedRate(NamedTuple):
    """Rate of requests that some entry VMs share."""

    #: Requests per second of all of them together; above 0.
    per_s: float
    #: Largest number of entry VMs that send.
    senders: int


class _Choice(NamedTuple):
    """Rank of this entry VM among the senders, for one membership view."""

    members: list[str]
    senders: int
    #: From 0; None if this entry VM does not send.
    rank: int | None


class SharedRateLimiter:
    """Rate limiter of the requests to each server.

    Requests of one entry VM have a slot each, an interval apart.  The slots
    follow each other even if requests are late, so that the rate is used,
    but one is moved up by the tolerance at most.  The first slots of the
    senders are spread over an interval by their rank, also after a time in
    which none was used.

    :param node_id: this entry VM.
    :param tolerance: fraction of the interval by which a slot may come early
        after a late request.
    :param idle_s: time after an unused slot from which slots are spread anew;
        None for never.
    """

    def __init__(self, node_id, tolerance=0.0, idle_s=None):
        self.node_id = node_id
        self.tolerance = tolerance
        self.idle_s = idle_s
        #: Slot of the last request, by server.
        self._used_s = {}
        self._choices = {}

    def may_send(self, server_id, rate, members, now_s, delay=0.0):
        """Whether a request may be sent to a server now.

        :param server_id: the server.
        :param rate: its :class:`SharedRate`.
        :param members: entry VMs of its region, this one included.
        :param now_s: monotonic time.
        :param delay: fraction of the interval by which this request leaves a
            slot to others; at most the tolerance.
        """
        rank = self._rank(server_id, rate.senders, members)
        if rank is None:
            return False
        interval_s = _interval_s(rate, members)
        if self._is_unused(server_id, interval_s, now_s):
            wait_s = rank / rate.per_s
            self._used_s[server_id] = now_s + wait_s - interval_s
        slot_s = self._used_s[server_id] + interval_s
        return now_s >= slot_s + delay * interval_s

    def _is_unused(self, server_id, interval_s, now_s):
        """Whether no slot was used yet, or for a long time."""
        used_s = self._used_s.get(server_id)
        if used_s is None:
            return True
        late_s = now_s - used_s - interval_s
        return self.idle_s is not None and late_s > self.idle_s

    def is_sender(self, server_id, senders, members):
        """Whether this entry VM has a part of a server's rate.

        :param server_id: the server.
        :param senders: number of entry VMs that have one.
        :param members: entry VMs of its region, this one included.
        """
        return self._rank(server_id, senders, members) is not None

    def on_request_sent(self, server_id, rate, members, now_s):
        """Record that a request was sent to a server.

        :param server_id: the server.
        :param rate: its :class:`SharedRate`.
        :param members: entry VMs of its region, this one included.
        :param now_s: monotonic time.
        """
        interval_s = _interval_s(rate, members)
        earliest_s = now_s - self.tolerance * interval_s
        used_s = self._used_s.get(server_id, now_s)
        slot_s = min(used_s + interval_s, now_s)
        self._used_s[server_id] = max(slot_s, earliest_s)

    def remove_server(self, server_id):
        """Delete the state of a server.

        :param server_id: the server.
        """
        self._used_s.pop(server_id, None)
        self._choices.pop(server_id, None)

    def _rank(self, server_id, senders, members):
        choice = self._choices.get(server_id)
        if choice is None or choice[:2] != (members, senders):
            chosen = rank_by_rendezvous(server_id, members)[:senders]
            rank = None
            if self.node_id in chosen:
                rank = chosen.index(self.node_id)
            choice = _Choice(list(members), senders, rank)
            self._choices[server_id] = choice
        return choice.rank


def _interval_s(rate, members):
    """Time between two requests of one sender, in seconds."""
    return min(rate.senders, max(1, len(members))) / rate.per_s
