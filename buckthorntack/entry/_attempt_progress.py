"""Progress of one attempt."""

import datetime

from buckthorntack import quarantine


class AttemptProgress:
    """Detector of answers whose data arrives for some time.

    :param sent_at: monotonic time at which the attempt was sent.

    >>> times = [datetime.timedelta(seconds=s) for s in (1.0, 1.4, 1.6, 2.0)]
    >>> progress = AttemptProgress(times[0])
    >>> [progress.record_data(now) for now in times]
    [False, False, True, False]
    >>> progress.has_continued
    True
    """

    def __init__(self, sent_at: datetime.timedelta):
        self.sent_at = sent_at
        self.has_continued = False
        self._started_at = None

    def record_data(self, now: datetime.timedelta) -> bool:
        """Record that data of the answer has arrived.

        :param now: current monotonic time.
        :returns: whether the answer has now gone on for long enough, and had
            not before.
        """
        if self._started_at is None:
            self._started_at = now
        if (
            self.has_continued
            or now - self._started_at < quarantine.CONTINUED_ANSWER
        ):
            return False
        self.has_continued = True
        return True
