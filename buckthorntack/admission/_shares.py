"""Lending and borrowing of shares of an organisation's quota.

Each entry VM owns an equal, fixed share and may lend part of it under a lease.
The lender starts to count the lease later than the borrower, so the borrower's
lease ends first.  Hence two entry VMs never use the same part at once, even if
messages are lost or late or the network is partitioned.
"""

from typing import NamedTuple


class _Lease(NamedTuple):
    share: float
    until_s: float


class Shares:
    """Lent and borrowed shares of one organisation's quota."""

    __slots__ = ("_borrowed", "_lent")

    def __init__(self):
        self._lent = {}
        self._borrowed = {}

    def __bool__(self):
        return bool(self._lent or self._borrowed)

    def usable(self, fixed, now_s):
        """Share that this entry VM may use now.

        :param fixed: share that this entry VM owns.
        :param now_s: monotonic time in seconds.
        :returns: fraction of the whole quota.
        """
        if not self:
            return fixed
        self._expire(now_s)
        borrowed = sum(lease.share for lease in self._borrowed.values())
        return max(0.0, fixed - self.lent()) + borrowed

    def lent(self, excluded_node_id=None):
        """Share that other entry VMs may be using.

        :param excluded_node_id: borrower whose share is not counted.
        :returns: fraction of the whole quota.
        """
        return sum(
            max(lease.share for lease in leases)
            for node_id, leases in self._lent.items()
            if node_id != excluded_node_id
        )

    def lend(self, node_id, share, until_s):
        """Record a lease granted to another entry VM.

        Earlier leases with a larger share stay until they expire, because
        the message with the new lease may be lost.

        :param node_id: the borrower.
        :param share: fraction of the whole quota.
        :param until_s: monotonic time by which the lease has surely expired.
        """
        leases = self._lent.setdefault(node_id, [])
        leases[:] = [lease for lease in leases if lease.share > share]
        leases.append(_Lease(share, until_s))

    def borrow(self, node_id, share, until_s):
        """Record a lease granted by another entry VM.

        :param node_id: the lender.
        :param share: fraction of the whole quota.
        :param until_s: monotonic time at which the lease expires.
        """
        known = self._borrowed.get(node_id)
        if known is None or until_s >= known.until_s:
            self._borrowed[node_id] = _Lease(share, until_s)

    def _expire(self, now_s):
        for node_id, leases in list(self._lent.items()):
            leases[:] = [lease for lease in leases if now_s < lease.until_s]
            if not leases:
                del self._lent[node_id]
        for node_id, lease in list(self._borrowed.items()):
            if now_s >= lease.until_s:
                del self._borrowed[node_id]
