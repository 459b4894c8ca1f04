"""What callers, servers and operators saw, and what must hold of it."""

import collections
import json
import math
from typing import NamedTuple

#: Time after an acknowledgement within which it takes effect, as promised.
DRAIN_S = 3.0
#: Faults stretch it by so much: a control VM is replaced, a link opened anew.
OUTER_S = 8.0
#: Time after the acknowledgement of an evacuation from which no request
#: reaches its failure domain, and of a configuration from which requests are
#: handled by it.
EVACUATE_S = 5.0
APPLY_S = 4.0
#: Both are stretched by so much at most, beside faults of control VMs.
MAX_SKEW_S = 10.0
#: Time within which entry VMs in touch know what the others know.
CONTACT_S = 5.0
#: Crashes after which requests with the part that caused them are refused.
MAX_CRASHES = 5
#: Such requests that may reach servers later than ``CONTACT_S`` after it.
MAX_LATE_ARRIVALS = 3
#: An entry VM that a fault struck so soon before or after a crash may not
#: have told others of it.
REPORT_S = 1.0
#: Time after its last byte from which a request that is closed without an
#: answer has not crossed the close.
CROSSING_S = 0.2
#: An entry VM gives a request up so long before its deadline or the route's
#: timeout at most; it reserves 20 ms, as does one that forwards to it.
DEADLINE_TOLERANCE_S = 0.05
#: So long after its deadline a caller gives a request up by itself.
GIVE_UP_S = 1.0
#: Requests sent later after a SIGTERM are answered or refused in any case.
BEGIN_S = 3.0
#: Part of the grace from which work on earlier ones may be cut off.
WORK_SHARE = 5 / 6
#: Fewest requests whose share of successes is looked at.
MIN_REQUESTS = 20


class Run(NamedTuple):
    """A request that a server began to run."""

    server_id: str
    at_s: float


class Sighting(NamedTuple):
    """Something seen of a request."""

    entry: str
    at_s: float


class SoundRequest(NamedTuple):
    """A request that crashes nothing, on the route of those that do."""

    entry: str
    sent_s: float
    shares_part: bool
    is_served: bool


class Unanswered(NamedTuple):
    """A request that was sent whole and whose answer is not whole.

    Its last byte was sent at ``sent_s``; ``deadline_s`` is when the time of
    its client and its route is over; ``status`` is 0 if no answer began.
    """

    request_id: str
    entry: str
    sent_s: float
    ended_s: float
    deadline_s: float
    status: int = 0

    def has_reached_deadline(self):
        """Whether it ended at its deadline, before its caller gave it up."""
        late_s = self.ended_s - self.deadline_s
        return -DEADLINE_TOLERANCE_S <= late_s < GIVE_UP_S


class Order(NamedTuple):
    """An order of an operator, and what it asks for.

    ``acknowledged_s`` is infinite until it is acknowledged.
    """

    is_wanted: bool
    sent_s: float
    acknowledged_s: float = math.inf


class RoutedRequest(NamedTuple):
    """A request on a route that configurations add and drop."""

    sent_s: float
    ended_s: float
    has_route: bool


class Book:
    """Records of a soak, and the promises that they break.

    :param checks_times: whether promises about times are checked; a machine
        that is busy with other work may break them by itself.
    """

    def __init__(self, checks_times=True):
        self.checks_times = checks_times
        self.broken = []
        self.runs = collections.defaultdict(list)
        self.refused = {}
        self.answers = collections.Counter()
        self.drained_at = {}
        self.acknowledged = {}
        self.sent = {}
        #: Times that servers take for requests whose answers are long.
        self.lengths_s = {}
        #: Names of the entry VMs that requests were sent to.
        self.asked = {}
        self.crashes = []
        self.arrivals = []
        self.sound_requests = []
        self.unanswered = []
        #: Requests whose answers servers broke off.
        self.broken_off = set()
        #: Failure domains of servers, by their ids.
        self.zones = {}
        #: Orders that begin or end an evacuation, and that add or drop a
        #: route, each in the order in which they were given.
        self.evacuations = []
        self.route_changes = []
        self.routed_requests = []
        #: When servers ended their work on requests; infinite before that.
        self.worked_until_s = {}

    def break_promise(self, text):
        """Note a broken promise.

        :param text: what was seen.
        """
        self.broken.append(text)

    def break_time(self, text):
        """Note a broken promise about a time.

        :param text: what was seen.
        """
        if self.checks_times:
            self.broken.append(text)

    def ran(self, server_id, request_id, repeatable, now_s):
        """A server began to run a request.

        :param server_id: the server.
        :param request_id: the request.
        :param repeatable: whether it may run again.
        :param now_s: monotonic time.
        """
        runs = self.runs[request_id]
        runs.append(Run(server_id, now_s))
        self.worked_until_s[request_id] = math.inf
        if not repeatable and len(runs) > 1:
            self.break_promise(f"{request_id} ran twice: {runs}")
        if not repeatable and request_id in self.refused:
            self.break_promise(f"{request_id} ran after it was refused")
        drained_at = self.drained_at.get(server_id)
        if drained_at is not None and now_s > drained_at + OUTER_S:
            late = round(now_s - drained_at, 1)
            self.break_time(f"{server_id} got work {late} s after its end")

    def answered(self, request_id, repeatable, status, whole, sound):
        """A caller got an answer, or lost its connection.

        :param request_id: the request.
        :param repeatable: whether it may run again.
        :param status: its status; 0 if there was none.
        :param whole: whether the answer looked whole.
        :param sound: whether its body is the one of this request.
        """
        self.answers[status] += 1
        if status == 200 and whole and not sound:
            self.break_promise(f"{request_id} got another body")
        if status in (429, 503) and not repeatable:
            self.refused[request_id] = True
            if self.runs[request_id]:
                self.break_promise(f"{request_id} ran and was refused")

    def read_back(self, status, body, acknowledged):
        """An operator read the configuration.

        :param status: status of the answer.
        :param body: its body.
        :param acknowledged: newest version acknowledged before the read.
        """
        if status != 200:
            return
        document = json.loads(body)
        version = document["version"]
        if version < acknowledged:
            self.break_promise(
                f"version {version} read after {acknowledged} was acknowledged"
            )
        if self.sent.get(version) != document:
            self.break_promise(f"version {version} is not what was sent")

    def named(self, addresses, home_addresses):
        """A directory named entry VMs for a caller within the home region.

        :param addresses: addresses named.
        :param home_addresses: addresses of the home region's entry VMs.
        """
        others = sorted(set(addresses) - set(home_addresses))
        if others:
            self.break_promise(f"a directory named {others} outside the home")

    def check_answered(self, stops_s, grace_s):
        """Check that each whole request is answered or refused.

        It is for soaks with planned work only.  A request that crosses the
        close of its connection and is not passed on may go unanswered, as
        may one whose server broke off, whose time was over, or whose server
        worked too long for the stop that came about it.

        :param stops_s: times of the SIGTERMs of each entry VM, by its name.
        :param grace_s: time from a SIGTERM to the end of the process.
        """
        for request in self.unanswered:
            stops = stops_s.get(request.entry, [])
            waited_s = request.ended_s - request.sent_s
            was_passed_on = bool(self.runs[request.request_id])
            if (
                request.request_id in self.broken_off
                or request.has_reached_deadline()
                or any(self._outlasts(request, s, grace_s) for s in stops)
            ):
                continue
            if was_passed_on or waited_s > CROSSING_S:
                since = [
                    f"{request.sent_s - stop_s:.2f}"
                    for stop_s in stops
                    if stop_s <= request.ended_s <= stop_s + 2 * grace_s
                ]
                self.break_promise(
                    f"{request.request_id} got no whole answer of"
                    f" {request.entry} within {waited_s:.2f} s;"
                    f" passed on: {was_passed_on};"
                    f" sent {since} s after SIGTERM"
                )

    def _outlasts(self, request, stop_s, grace_s):
        """Whether a stop cut a request off that its server was still at."""
        may_cut_s = stop_s + WORK_SHARE * grace_s
        worked_until_s = self.worked_until_s.get(request.request_id, -math.inf)
        return (
            request.sent_s <= stop_s + BEGIN_S
            and worked_until_s >= may_cut_s
            and request.ended_s >= may_cut_s
        )

    def check_crashing_part(self, is_calm):
        """Check what became of requests whose part crashes servers.

        :param is_calm: function of an entry VM and two times that tells
            whether no fault struck it between them.
        """
        told = sorted(
            crash.at_s
            for crash in self.crashes
            if is_calm(
                crash.entry, crash.at_s - REPORT_S, crash.at_s + REPORT_S
            )
        )[:MAX_CRASHES]
        if not told:
            return
        known_s = told[-1] + CONTACT_S
        late = [
            seen
            for seen in self.arrivals
            if seen.at_s > known_s
            and is_calm(seen.entry, seen.at_s - CONTACT_S, seen.at_s)
        ]
        if len(told) == MAX_CRASHES and len(late) > MAX_LATE_ARRIVALS:
            self.break_promise(
                f"{len(late)} requests reached servers later than"
                f" {CONTACT_S} s after {MAX_CRASHES} crashes under their"
                f" part; {len(self.crashes)} crashes in all"
            )
        counted = [
            request
            for request in self.sound_requests
            if request.sent_s > known_s + CONTACT_S
            and is_calm(
                request.entry,
                request.sent_s - CONTACT_S,
                request.sent_s + REPORT_S,
            )
        ]
        sharing = [r.is_served for r in counted if r.shares_part]
        others = [r.is_served for r in counted if not r.shares_part]
        if min(len(sharing), len(others)) < MIN_REQUESTS:
            return
        share = sum(sharing) / len(sharing)
        usual = sum(others) / len(others)
        if share < usual / 2:
            self.break_promise(
                f"{share:.2f} of the sound requests with the same first part"
                f" were served, {usual:.2f} of the others"
            )

    def check_evacuations(self, domain, is_settled):
        """Check that an evacuated failure domain gets no requests.

        :param domain: the failure domain of the orders.
        :param is_settled: function of the time of an acknowledgement, the
            bound after it and a later time that tells whether the order must
            be in force by then.
        """
        arrivals = [
            (run.at_s, run.server_id, request_id)
            for request_id, runs in self.runs.items()
            for run in runs
            if self.zones[run.server_id] == domain
        ]
        for order, until_s in _find_spans(self.evacuations):
            late = sorted(
                arrival
                for arrival in arrivals
                if order.is_wanted
                and arrival[0] < until_s
                and is_settled(order.acknowledged_s, EVACUATE_S, arrival[0])
            )
            if late:
                at_s, server_id, request_id = late[0]
                self.break_time(
                    f"{len(late)} requests reached {domain}, evacuated at"
                    f" {order.acknowledged_s:.2f}, first {request_id} at"
                    f" {server_id} at {at_s:.2f}, last at {late[-1][0]:.2f}"
                )

    def check_routes(self, is_settled):
        """Check that a route is known while configurations have it only.

        :param is_settled: as of :meth:`check_evacuations`.
        """
        for order, until_s in _find_spans(self.route_changes):
            late = [
                request
                for request in self.routed_requests
                if request.has_route != order.is_wanted
                and request.ended_s < until_s
                and is_settled(order.acknowledged_s, APPLY_S, request.sent_s)
            ]
            if late:
                self.break_time(
                    f"{len(late)} requests were handled by an older"
                    f" configuration than the one acknowledged at"
                    f" {order.acknowledged_s:.2f}, first at"
                    f" {late[0].sent_s:.2f}"
                )


def _find_spans(orders):
    """Return acknowledged orders and when another one was sent that differs.

    :param orders: ``Order`` of one subject, as they were given.
    """
    spans = []
    for number, order in enumerate(orders):
        others = [
            other.sent_s
            for other in orders[number + 1 :]
            if other.is_wanted != order.is_wanted
        ]
        if order.acknowledged_s < math.inf:
            spans.append((order, min(others, default=math.inf)))
    return spans
