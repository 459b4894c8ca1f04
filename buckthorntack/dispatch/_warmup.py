"""Rate limit for requests to cold servers, without coordination.

A cold server gets requests from a few entry VMs of its region only, and each
of them uses an equal part of the rate.  Entry VMs with different membership
views choose different senders, so the parts leave a reserve of the rate.
"""

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


class WarmupLimiter:
    """Rate limiter of the requests to each cold server.

    :param node_id: this entry VM.
    :param senders: largest number of entry VMs that send to one server.
    :param share: fraction of the rate that is used.
    """

    def __init__(self, node_id, senders, share):
        self.node_id = node_id
        self.senders = senders
        self.share = share
        self._next_s = {}

    def may_send(self, server_id, per_s, members, now_s):
        """Whether a request may be sent to a cold server now.

        :param server_id: the cold server.
        :param per_s: allowed requests per second; 0 for no limit.
        :param members: entry VMs of its region, this one included.
        :param now_s: monotonic time.
        """
        if per_s <= 0:
            return True
        chosen = rank_by_rendezvous(server_id, members)[: self.senders]
        if self.node_id not in chosen:
            return False
        return now_s >= self._next_s.get(server_id, 0.0)

    def on_request_sent(self, server_id, per_s, members, now_s):
        """Record that a request was sent to a cold server.

        :param server_id: the cold server.
        :param per_s: allowed requests per second; 0 for no limit.
        :param members: entry VMs of its region, this one included.
        :param now_s: monotonic time.
        """
        if per_s <= 0:
            return
        count = min(self.senders, max(1, len(members)))
        pause_s = count / (per_s * self.share)
        self._next_s[server_id] = now_s + pause_s

    def remove_server(self, server_id):
        """Delete the state of a server.

        :param server_id: the server.
        """
        self._next_s.pop(server_id, None)
