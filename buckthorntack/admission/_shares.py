"""One entry VM's share of an organisation's quota, lent and borrowed.

Each entry VM owns an equal, fixed share.  A share is lent for a time that the
lender counts from later than the borrower, so that at no moment two of them
use the same part, whatever is lost, late or cut off.
"""

from typing import NamedTuple


class _Lease(NamedTuple):
    share: float
    until_s: float


class Shares:
    """Fixed, lent and borrowed shares of one organisation's quota."""

    __slots__ = ("_borrowed", "_lent")

    def __init__(self):
        self._lent = {}
        self._borrowed = {}

    def __bool__(self):
        return bool(self._lent or self._borrowed)

    def usable(self, fixed, now_s):
        """Share that may be used now.

        :param fixed: this entry VM's own share.
        :param now_s: the time.
        :returns: share of the whole quota.
        """
        if not self:
            return fixed
        self._expire(now_s)
        borrowed = sum(lease.share for lease in self._borrowed.values())
        return max(0.0, fixed - self.lent()) + borrowed

    def lent(self, excluded_node_id=None):
        """Share that others may be using.

        :param but_to: node whose part is left out.
        :returns: share of the whole quota.
        """
        return sum(
            max(lease.share for lease in leases)
            for node_id, leases in self._lent.items()
            if node_id != excluded_node_id
        )

    def lend(self, node_id, share, until_s):
        """Note a lease given to another entry VM.

        Earlier ones last until they end, as the new one may not arrive.

        :param node_id: the borrower.
        :param share: share of the whole quota.
        :param until_s: when the lease has ended for certain.
        """
        leases = self._lent.setdefault(node_id, [])
        leases[:] = [lease for lease in leases if lease.share > share]
        leases.append(_Lease(share, until_s))

    def borrow(self, node_id, share, until_s):
        """Take a lease given by another entry VM.

        :param node_id: the lender.
        :param share: share of the whole quota.
        :param until_s: when it ends.
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
