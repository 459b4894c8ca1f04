"""The rate at which cold servers get requests, without messages.

A cold server gets requests from a few entry VMs of its region only; each has
an equal part of the rate.  Entry VMs that know different members choose
different senders, so the parts leave a reserve.
"""

import xxhash

_HASH_RANGE = float(1 << 64)


def rendezvous_score(key, member):
    """Claim of a member to a key, between 0 and 1.

    :param key: what is to be shared out.
    :param member: who may get it.
    """
    mixed = f"{key}\0{member}".encode()
    return xxhash.xxh3_64_intdigest(mixed) / _HASH_RANGE


def rank_by_rendezvous(key, members):
    """Members in the order of their claim to a key.

    :param key: what is to be shared out.
    :param members: who may get it.

    >>> sorted(rank_by_rendezvous("a", ["x", "y"]))
    ['x', 'y']
    """
    return sorted(
        members,
        key=lambda member: rendezvous_score(key, member),
        reverse=True,
    )


class WarmupGate:
    """Lets few requests through to each cold server.

    :param node_id: this entry VM.
    :param senders: most entry VMs that send to one server.
    :param share: part of the rate that is used.
    """

    def __init__(self, node_id, senders, share):
        self.node_id = node_id
        self.senders = senders
        self.share = share
        self._next_s = {}

    def may_send(self, server_id, per_s, members, now_s):
        """Whether a request may be sent now.

        :param server_id: the cold server.
        :param per_s: requests a second that it bears.
        :param members: entry VMs of its region, this one included.
        :param now_s: monotonic time.
        """
        if per_s <= 0:
            return True
        chosen = rank_by_rendezvous(server_id, members)[: self.senders]
        if self.node_id not in chosen:
            return False
        return now_s >= self._next_s.get(server_id, 0.0)

    def sent(self, server_id, per_s, members, now_s):
        """Note that a request was sent.

        :param server_id: the cold server.
        :param per_s: requests a second that it bears.
        :param members: entry VMs of its region, this one included.
        :param now_s: monotonic time.
        """
        if per_s <= 0:
            return
        count = min(self.senders, max(1, len(members)))
        pause_s = count / (per_s * self.share)
        self._next_s[server_id] = now_s + pause_s

    def forget(self, server_id):
        """Forget a server.

        :param server_id: the server.
        """
        self._next_s.pop(server_id, None)
