"""What the quarantine is told of a request, and asked before each send."""

import functools

import xxhash

from buckthorntack import http1
from buckthorntack import quarantine
from buckthorntack.gateway import _events

#: Errors of a connection whose server has not crashed.
NO_CRASHES = (http1.UnexpectedResponseError, http1.UnreadResponseError)


class SubjectWatch:
    """Subjects of one request by which crashes of servers are counted.

    :param handler: the ``RequestHandler``.
    :param request: the ``http1.Request``.
    :param metadata: its ``RequestMetadata``.
    """

    def __init__(self, handler, request, metadata):
        self.handler = handler
        self.quarantine = handler.shared_state.quarantine
        self.request_id = metadata.request_id.decode("latin-1")
        self.part_ids = _list_shared_part_ids(metadata.prompt)
        self.subjects = quarantine.list_subjects(
            _compute_fingerprint(request), self.part_ids
        )

    def check(self, is_retry):
        """Return what the quarantine says of the request now.

        :param is_retry: whether a server got the request already.
        :returns: a verdict of ``quarantine.Quarantine.check``.
        """
        now = self.handler.clock.monotonic()
        return self.quarantine.check(self.subjects, now, is_retry=is_retry)

    def start_attempt(self, attempt, server, is_retry):
        """Return whether a server may get the request now.

        :param attempt: the ``Attempt``, which is completed.
        :param server: the ``AnnouncedServer``.
        :param is_retry: whether a server got the request already.
        """
        verdict = self.check(is_retry)
        if isinstance(verdict, quarantine.Refused):
            return False
        now = self.handler.clock.monotonic()
        if isinstance(verdict, quarantine.Trial):
            self.quarantine.start_trial(verdict.key, now)
            self.handler.on_quarantine_changed()
        attempt.sent_at = now
        attempt.incarnation = quarantine.Incarnation(
            server.server_id, server.born_ms
        )
        return True

    def on_answer_data(self, attempt, head):
        """Report once that an answer goes on.

        :param attempt: the ``Attempt``.
        :param head: ``http1.ResponseHead`` of the answer.
        """
        limit_s = quarantine.CONTINUED_ANSWER.total_seconds()
        duration_s = attempt.answer_duration_s(self._now_s())
        if not attempt.has_continued and duration_s >= limit_s:
            self._report_continued(attempt, head)

    def on_answer_end(self, attempt, head):
        """Report a complete answer.

        One that ends with its connection may have been broken off.

        :param attempt: the ``Attempt``.
        :param head: ``http1.ResponseHead`` of the answer.
        """
        if attempt.has_continued:
            return
        if head.framing is not http1.BodyFraming.CONNECTION_CLOSE:
            self._report_continued(attempt, head)
        elif attempt.incarnation is not None:
            self.quarantine.on_unframed_answer_ended(
                attempt.incarnation,
                self.subjects,
                attempt.sent_at,
                self.handler.clock.monotonic(),
            )
            self._send_records()

    def _report_continued(self, attempt, head):
        if not 200 <= head.status < 300:
            return
        attempt.has_continued = True
        self.quarantine.on_answer_continued(
            self.subjects, self.handler.clock.monotonic()
        )
        self._send_records()

    def _send_records(self):
        if not self.quarantine.is_idle:
            self.handler.on_quarantine_changed()

    async def on_connection_lost(self, attempt, error):
        """Count a connection that broke while its server ran the request.

        A server that sends bytes which are no response has not crashed, nor
        has one that cut a response which was left unread, nor one that was
        lost together with all others.

        :param attempt: the ``Attempt``.
        :param error: the ``http1.IncompleteResponseError``.
        """
        is_crash = not isinstance(error, NO_CRASHES)
        self._log_lost_connection(attempt, error)
        if not is_crash or attempt.has_continued:
            return
        count_crash = functools.partial(
            self._count_crash,
            attempt.incarnation,
            attempt.sent_at,
            self.handler.clock.monotonic(),
        )
        await self.handler.reachability.call_unless_cut_off(
            attempt.incarnation.server_id, count_crash
        )

    def _count_crash(self, incarnation, sent_at, lost_at):
        is_new = self.quarantine.on_attempt_lost(
            incarnation, self.subjects, sent_at, lost_at
        )
        if is_new:
            self.handler.on_quarantine_changed()
        self.handler.log.write(
            _events.CRASH_COUNTED,
            request=self.request_id,
            server=incarnation.server_id,
            born_ms=incarnation.born_ms,
            is_new=is_new,
        )

    def _log_lost_connection(self, attempt, error):
        duration_s = attempt.answer_duration_s(self._now_s())
        self.handler.log.write(
            _events.CRASH_NOTED,
            request=self.request_id,
            fingerprint=self.subjects[0].key,
            server=attempt.incarnation.server_id,
            born_ms=attempt.incarnation.born_ms,
            parts=",".join(self.part_ids),
            answer_begun=attempt.answer_started_s is not None,
            answer_ms=round(duration_s * 1e3),
            error=error.detail,
        )

    def _now_s(self):
        return self.handler.clock.monotonic().total_seconds()


def _list_shared_part_ids(prompt):
    """List the ids of a prompt's parts that other prompts may share."""
    if prompt is None:
        return []
    return [part.part_id for part in prompt.parts[:-1]]


def _compute_fingerprint(request):
    digest = xxhash.xxh3_64()
    digest.update(request.method)
    digest.update(request.target)
    digest.update(request.body)
    return digest.hexdigest()
