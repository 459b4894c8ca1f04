"""Detection of requests that crash the servers that run them."""

import collections

#: Number of crashes after which equal requests are refused.
MAX_CRASHES = 3
#: Number of fingerprints kept; each takes about 200 bytes.
MAX_FINGERPRINTS = 4096


class CrashTracker:
    """Crash counts by fingerprint of the running request.

    A crash ends all requests of a server, so most of the requests counted did
    not cause it.  A request that later succeeds is therefore cleared.

    >>> tracker = CrashTracker()
    >>> for server in ("a", "b", "c"):
    ...     _ = tracker.record_crash("print", server)
    >>> tracker.is_refused("print")
    True
    """

    def __init__(self):
        self._crashes = collections.OrderedDict()

    def record_crash(self, fingerprint, attempt):
        """Record that a request was running when its server crashed.

        :param fingerprint: identifier shared by equal requests.
        :param attempt: identifier of the attempt, which counts once.
        :returns: whether the crash was not recorded before.
        """
        attempts = self._crashes.setdefault(fingerprint, set())
        if attempt in attempts:
            return False
        attempts.add(attempt)
        self._crashes.move_to_end(fingerprint)
        if len(self._crashes) > MAX_FINGERPRINTS:
            self._crashes.popitem(last=False)
        return True

    def clear_crashes(self, fingerprint):
        """Clear the crashes of a request after an equal one has succeeded.

        :param fingerprint: identifier shared by equal requests.
        """
        self._crashes.pop(fingerprint, None)

    def is_refused(self, fingerprint):
        """Whether equal requests are refused.

        :param fingerprint: identifier shared by equal requests.
        """
        return len(self._crashes.get(fingerprint, ())) >= MAX_CRASHES
