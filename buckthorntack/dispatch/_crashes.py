"""Requests that crash the servers that run them."""

import collections

#: Crashes after which an equal request is refused.
MAX_CRASHES = 3
#: Requests remembered; each takes about 200 bytes.
MAX_FINGERPRINTS = 4096


class CrashLedger:
    """Crashes by fingerprint of the request that was running.

    A crash takes all requests of a server with it, so most of those that are
    noted are innocent: a request that is answered is cleared.

    >>> ledger = CrashLedger()
    >>> for server in ("a", "b", "c"):
    ...     _ = ledger.crashed("print", server)
    >>> ledger.is_refused("print")
    True
    """

    def __init__(self):
        self._crashes = collections.OrderedDict()

    def crashed(self, fingerprint, attempt):
        """Note that a request was running when its server crashed.

        :param fingerprint: names equal requests.
        :param attempt: names the attempt, so that it counts once.
        :returns: whether this is news.
        """
        attempts = self._crashes.setdefault(fingerprint, set())
        if attempt in attempts:
            return False
        attempts.add(attempt)
        self._crashes.move_to_end(fingerprint)
        if len(self._crashes) > MAX_FINGERPRINTS:
            self._crashes.popitem(last=False)
        return True

    def answered(self, fingerprint):
        """Note that an equal request ran to its end.

        :param fingerprint: names equal requests.
        """
        self._crashes.pop(fingerprint, None)

    def is_refused(self, fingerprint):
        """Whether equal requests are refused.

        :param fingerprint: names equal requests.
        """
        return len(self._crashes.get(fingerprint, ())) >= MAX_CRASHES
