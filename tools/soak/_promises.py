"""What callers, servers and operators saw, and what must hold of it."""

import collections
import json
from typing import NamedTuple

#: Time after an acknowledgement within which it takes effect, as promised.
DRAIN_S = 3.0
#: Faults stretch it by so much: a control VM is replaced, a link opened anew.
OUTER_S = 8.0


class Run(NamedTuple):
    """A request that a server began to run."""

    server_id: str
    at_s: float


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
