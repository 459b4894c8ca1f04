"""Adapter of the quarantine in use to the simulation."""

import datetime

from buckthorntack import quarantine
from buckthorntack.schema import messages

#: Period of comparisons with another entry VM.
COMPARISON_PERIOD_S = 0.5
EXPIRE_PERIOD_S = 1.0
LOCAL_SHARE = 0.75


def _time(now_s):
    return datetime.timedelta(seconds=now_s)


def _list_subjects(request):
    return quarantine.list_subjects(request.request_id, request.parts)


class Decision:
    """The quarantine of one simulated entry VM.

    :param node_id: id of the entry VM.
    :param region: its region.
    :param rng: source of randomness.
    """

    def __init__(self, node_id, region, rng):
        self.region = region
        self.rng = rng
        self.quarantine = quarantine.Quarantine(node_id)
        self._replies = []
        self._compared_s = 0.0
        self._expired_s = 0.0

    def check(self, request, now_s):
        """Whether an attempt may be sent: "run", "trial" or "refuse"."""
        now = _time(now_s)
        verdict = self.quarantine.check(
            _list_subjects(request), now, is_retry=request.attempts > 0
        )
        if isinstance(verdict, quarantine.Refused):
            return "refuse"
        if isinstance(verdict, quarantine.Trial):
            self.quarantine.start_trial(verdict.key, now)
            return "trial"
        return "run"

    def on_lost(self, request, server, answer_s, now_s):
        """Record an attempt that was lost.

        :param answer_s: time since its answer began; None if it had not.
        """
        limit_s = quarantine.CONTINUED_ANSWER.total_seconds()
        if answer_s is not None and answer_s >= limit_s:
            return
        self.quarantine.on_attempt_lost(
            quarantine.Incarnation(server.name, server.starts),
            _list_subjects(request),
            _time(request.attempted_s),
            _time(now_s),
        )

    def on_answer_continued(self, request, now_s):
        """Record an answer that has gone on for some time."""
        self.quarantine.on_answer_continued(
            _list_subjects(request), _time(now_s)
        )

    def on_unframed_answer_ended(self, request, server, now_s):
        """Record the end of an answer that may have been broken off."""
        self.quarantine.on_unframed_answer_ended(
            quarantine.Incarnation(server.name, server.starts),
            _list_subjects(request),
            _time(request.attempted_s),
            _time(now_s),
        )

    def on_completed(self, request, now_s):
        """Record a complete answer."""
        self.on_answer_continued(request, now_s)

    def take_messages(self, peers, now_s):
        """Return the messages to send, as pairs of receiver and message.

        :param peers: region by id of the other entry VMs.
        """
        now = _time(now_s)
        self.quarantine.set_members(list(peers))
        if now_s - self._expired_s >= EXPIRE_PERIOD_S:
            self._expired_s = now_s
            self.quarantine.expire(now)
        sent, self._replies = self._replies, []
        update = self.quarantine.take_update(now)
        if update is not None:
            sent += [(peer, update) for peer in peers]
        if now_s - self._compared_s >= COMPARISON_PERIOD_S:
            self._compared_s = now_s
            near = [p for p, region in peers.items() if region == self.region]
            if not near or self.rng.random() >= LOCAL_SHARE:
                near = list(peers)
            digest = messages.QuarantineDigest(self.quarantine.digest())
            sent.append((self.rng.choice(near), digest))
        return sent

    def on_message(self, sender, message, now_s):
        """Handle a message of another entry VM."""
        now = _time(now_s)
        if isinstance(message, messages.QuarantineUpdate):
            self.quarantine.merge(message, now)
        elif isinstance(message, messages.QuarantineDigest):
            if message.digest != self.quarantine.digest():
                self._reply(sender, False, now)
        else:
            self.quarantine.merge(message.update, now)
            is_equal = message.digest == self.quarantine.digest()
            if not message.is_reply and not is_equal:
                self._reply(sender, True, now)

    def _reply(self, sender, is_reply, now):
        table = messages.QuarantineTable(
            self.quarantine.export(now), self.quarantine.digest(), is_reply
        )
        self._replies.append((sender, table))
