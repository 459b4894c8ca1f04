"""Record of one attempt to get a response for a request."""

from buckthorntack.dispatch import Outcome


class Attempt:
    """What is known of one attempt, at a server or another entry VM."""

    def __init__(self):
        #: Server or region that the request goes to.
        self.destination = ""
        #: ``AnnouncedServer``, ``dispatch.InFlightRequest`` and connection of
        #: an attempt at a server; None before it began.
        self.server = None
        self.in_flight = None
        self.connection = None
        #: The ``dispatch.RoutingRequest`` by which the server was chosen, and
        #: whether it counted as cold then.
        self.routing_request = None
        self.was_cold = False
        #: What the attempt shows about its server.
        self.outcome = Outcome.ABANDONED
        #: ``quarantine.Incarnation`` of the server; None before it got the
        #: request, or if it is in another region.
        self.incarnation = None
        #: Monotonic time at which the server got the request.
        self.sent_at = None
        #: Monotonic time at which the answer began; None if it did not.
        self.answer_started_s = None
        #: Whether the quarantine knows that the answer went on.
        self.has_continued = False
        #: Where a stream would begin with an event of this attempt.
        self.origin = None
        #: Pair of server id and incarnation that this origin is of.
        self.began_at = ()
        self.has_checked_origin = False
        #: Whether it counts no longer.
        self.has_ended = False
        #: Framing, size and end of the body.
        self.framing = ""
        self.body_bytes = 0
        self.ended_inside_event = False

    def answer_duration_s(self, now_s):
        """Time since the answer began; 0 if it did not.

        :param now_s: monotonic time in seconds.
        """
        if self.answer_started_s is None:
            return 0.0
        return now_s - self.answer_started_s
