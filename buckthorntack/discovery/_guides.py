"""Choice of the control VM that an entry VM reports to and follows."""

import datetime
from typing import NamedTuple


class _Guide(NamedTuple):
    region: str
    failure_domain: str
    asked_at: datetime.timedelta | None
    answered_at: datetime.timedelta | None
    has_majority: bool


class Guides:
    """Control VMs that an entry VM knows of.

    :param region: region of the entry VM.
    :param failure_domain: its failure domain.
    :param timing: the ``Timing``.
    :param rng: source of randomness.
    """

    def __init__(self, region, failure_domain, timing, rng):
        self.region = region
        self.failure_domain = failure_domain
        self.timing = timing
        self.rng = rng
        self.chosen = None
        self._guides = {}

    def learn(self, node_id, region="", failure_domain=""):
        """Take in a control VM.

        :param node_id: the control VM.
        :param region: its region; empty if not known.
        :param failure_domain: its failure domain; empty if not known.
        """
        known = self._guides.get(node_id)
        if known is None:
            known = _Guide(region, failure_domain, None, None, True)
        elif region:
            known = known._replace(
                region=region, failure_domain=failure_domain
            )
        self._guides[node_id] = known

    def forget(self, node_id):
        """A control VM has left for good.

        :param node_id: the control VM.
        """
        if len(self._guides) > 1:
            self._guides.pop(node_id, None)

    def asked(self, node_id, now):
        """Note that a report was sent.

        :param node_id: the control VM.
        :param now: monotonic time.
        """
        guide = self._guides.get(node_id)
        if guide is None:
            return
        waits = guide.asked_at is not None and (
            guide.answered_at is None or guide.answered_at < guide.asked_at
        )
        if not waits:
            self._guides[node_id] = guide._replace(asked_at=now)

    def answered(self, node_id, has_majority, now):
        """Note that a report was answered.

        :param node_id: the control VM.
        :param has_majority: whether it is in contact with most others.
        :param now: monotonic time.
        """
        self.learn(node_id)
        self._guides[node_id] = self._guides[node_id]._replace(
            answered_at=now, has_majority=has_majority
        )

    def choose(self, now):
        """Control VMs to report to now.

        :param now: monotonic time.
        :returns: node ids; the first one is followed.
        """
        usable = [
            node_id
            for node_id, guide in self._guides.items()
            if self._answers(guide, now)
        ]
        usable.sort(key=self._rank)
        if usable:
            self.chosen = usable[0]
            rivals = [
                n
                for n in usable[1:]
                if self._rank(n) < self._rank(self.chosen)
            ]
            probes = self._silent_better(now)
            return [self.chosen, *rivals, *probes]
        self.chosen = None
        everyone = list(self._guides)
        self.rng.shuffle(everyone)
        return everyone

    def _silent_better(self, now):
        """One control VM that would be preferred if it answered."""
        better = [
            node_id
            for node_id, guide in self._guides.items()
            if not self._answers(guide, now)
            and self._distance(guide)
            < self._distance(self._guides[self.chosen])
        ]
        return [self.rng.choice(better)] if better else []

    def _answers(self, guide, now):
        if guide.answered_at is None:
            return False
        waiting_since = guide.asked_at
        if waiting_since is None or guide.answered_at >= waiting_since:
            return now - guide.answered_at <= 3 * self.timing.guide_silence
        return now - waiting_since <= self.timing.guide_silence

    def _rank(self, node_id):
        guide = self._guides[node_id]
        stays = node_id != self.chosen
        return (not guide.has_majority, self._distance(guide), stays, node_id)

    def _distance(self, guide):
        if guide.failure_domain == self.failure_domain:
            return 0
        return 1 if guide.region == self.region else 2
