"""Adapter of the quarantine in use to the simulation."""

from buckthorntack import dispatch

#: Period of crash notices to other entry VMs.
NOTICE_PERIOD_S = 0.25


class Decision:
    """The quarantine of one simulated entry VM.

    :param node_id: id of the entry VM.
    :param rng: source of randomness.
    """

    def __init__(self, node_id, rng):
        self.tracker = dispatch.CrashTracker()
        self._notices = []
        self._sent_s = 0.0

    def check(self, request, now_s):
        """Whether an attempt may be sent: "run", "trial" or "refuse"."""
        is_refused = self.tracker.is_refused(request.request_id)
        return "refuse" if is_refused else "run"

    def on_lost(self, request, server, answer_s, now_s):
        """Record an attempt that was lost.

        :param answer_s: time since its answer began; None if it had not.
        """
        attempt = f"{request.request_id}/{server.server_id}"
        if self.tracker.record_crash(request.request_id, attempt):
            self._notices.append((request.request_id, attempt))

    def on_answer_continued(self, request, now_s):
        """Record an answer that has gone on for some time."""

    def on_completed(self, request, now_s):
        """Record a complete answer."""
        self.tracker.clear_crashes(request.request_id)

    def take_messages(self, peers, now_s):
        """Return the messages to send, as pairs of receiver and message.

        :param peers: ids of the other entry VMs.
        """
        if now_s - self._sent_s < NOTICE_PERIOD_S:
            return []
        self._sent_s = now_s
        notices, self._notices = self._notices, []
        return [(peer, notices) for peer in peers] if notices else []

    def on_message(self, sender, message, now_s):
        """Handle a message of another entry VM."""
        for request_id, attempt in message:
            self.tracker.record_crash(request_id, attempt)
