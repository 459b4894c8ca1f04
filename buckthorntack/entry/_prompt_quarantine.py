"""Quarantine of prompt blocks that crash backend servers."""

import datetime
import itertools
from typing import NamedTuple

import xxhash

from buckthorntack import events
from buckthorntack import quarantine
from buckthorntack import retries
from buckthorntack.schema import messages

#: Blocks of a prompt that are judged, from its start.  Requests that share a
#: block must agree on whether it is judged, which rules out counting from the
#: end.  The lengths of blocks grow, so these cover about 300 KB.
MAX_SUBJECTS = 64
#: Subjects in one gossip item, whose size is limited.
SUBJECTS_PER_ITEM = 16
#: Time for which the items of a kind are gossiped.
CRASH_TTL = datetime.timedelta(seconds=60)
CLEAR_TTL = datetime.timedelta(seconds=120)
BLAME_TTL = datetime.timedelta(seconds=1800)
_MS = datetime.timedelta(milliseconds=1)


class QuarantineItem(NamedTuple):
    """Records to gossip under a key."""

    key: str
    update: messages.QuarantineUpdate
    ttl: datetime.timedelta


def list_subjects(request) -> tuple[quarantine.Subject, ...]:
    """List the prompt blocks of a request that may crash servers.

    The rest of the prompt after the last whole block is not among them.
    Whole requests are judged by ``retries.Quarantine``.

    :param request: the ``GatewayRequest``.
    """
    # A block may crash the engines of one service only.
    service = request.service.encode()
    block_ids = tuple(
        xxhash.xxh3_64_hexdigest(service, seed=prefix_hash)
        for prefix_hash in request.prefix_hashes[:MAX_SUBJECTS]
    )
    subjects = quarantine.list_subjects(request.fingerprint, block_ids)
    return tuple(subject for subject in subjects if subject.depth)


class PromptQuarantine:
    """Decision on prompt blocks, as the quarantine of one entry VM makes it.

    :param node_id: id of this entry VM.
    :param list_peers: function that lists the ids of the other entry VMs.
    :param settling: time after which reports of a crash have arrived from
        all reachable entry VMs.
    """

    def __init__(self, node_id, list_peers, settling):
        settings = quarantine.QuarantineSettings(settling=settling)
        self.list_peers = list_peers
        self._quarantine = quarantine.Quarantine(node_id, settings)
        self._node_id = node_id
        self._crash_numbers = itertools.count()
        self._log = events.EventLog("quarantine")

    def check(self, request, now: datetime.timedelta) -> None:
        """Check before an attempt whether a request may run.

        :param request: the ``GatewayRequest``.
        :param now: current monotonic time.
        :raises ConvictedError: a block of its prompt crashes servers.
        """
        self._check(request, now)

    def start_attempt(self, request, now: datetime.timedelta) -> None:
        """Check a request directly before a server gets it.

        Starts a trial if one is due.

        :param request: the ``GatewayRequest``.
        :param now: current monotonic time.
        :raises ConvictedError: a block of its prompt crashes servers.
        """
        verdict = self._check(request, now)
        if isinstance(verdict, quarantine.Trial):
            self._quarantine.start_trial(verdict.key, now)

    def _check(self, request, now):
        verdict = self._quarantine.check(list_subjects(request), now)
        if isinstance(verdict, quarantine.Refused):
            raise retries.ConvictedError(
                f"{verdict.key} of the prompt crashes backend servers",
                verdict.retry_after // _MS,
            )
        return verdict

    def on_answer_continued(self, request, now: datetime.timedelta) -> None:
        """Record that an answer was completed or goes on.

        :param request: the ``GatewayRequest``.
        :param now: current monotonic time.
        """
        self._quarantine.on_answer_continued(list_subjects(request), now)

    def on_server_crashed(self, crash: retries.Crash) -> None:
        """Record the prompt blocks of requests that were lost at a crash.

        :param crash: the ``retries.Crash``.
        """
        incarnation = quarantine.Incarnation(
            crash.server_id, crash.incarnation
        )
        # A crash may be confirmed seconds later, so that crashes at one time
        # would seem to be apart.
        for lost in sorted(crash.requests, key=lambda lost: lost.lost_at):
            if not lost.subjects:
                continue
            self._quarantine.on_attempt_lost(
                incarnation,
                lost.subjects,
                lost.sent_at,
                lost.lost_at,
                lost.fingerprint,
            )

    def merge(
        self, update: messages.QuarantineUpdate, sent_at: datetime.timedelta
    ) -> None:
        """Merge the records of another entry VM; ignore duplicates.

        :param update: the records.
        :param sent_at: monotonic time at which they were sent.
        """
        self._quarantine.merge(update, sent_at)

    def tick(self, now: datetime.timedelta) -> None:
        """Update the list of entry VMs and delete old records.

        :param now: current monotonic time.
        """
        self._quarantine.set_members(self.list_peers())
        self._quarantine.expire(now)

    def take_items(self, now: datetime.timedelta) -> list[QuarantineItem]:
        """Return and clear the records to gossip.

        :param now: current monotonic time.
        """
        update = self._quarantine.take_update(now)
        for change in self._quarantine.take_changes():
            quarantine.write_change(change, self._log)
        return [] if update is None else list(self._split(update))

    def _split(self, update):
        for crash in update.crashes:
            for start in range(0, len(crash.subjects), SUBJECTS_PER_ITEM):
                batch = crash.subjects[start : start + SUBJECTS_PER_ITEM]
                number = next(self._crash_numbers)
                yield QuarantineItem(
                    f"prompt-crash/{self._node_id}/{number}",
                    messages.QuarantineUpdate(
                        [crash._replace(subjects=batch)], [], []
                    ),
                    CRASH_TTL,
                )
        for blame in update.blames:
            yield QuarantineItem(
                f"prompt-blame/{blame.key}",
                messages.QuarantineUpdate([], [blame], []),
                BLAME_TTL,
            )
        for clear in update.clears:
            yield QuarantineItem(
                f"prompt-clear/{clear.key}",
                messages.QuarantineUpdate([], [], [clear]),
                CLEAR_TTL,
            )


def compute_age(item: messages.Item, update) -> datetime.timedelta:
    """Return the time since an item with records was sent.

    :param item: the item as received.
    :param update: the records in it.
    """
    ttl = BLAME_TTL
    if update.crashes:
        ttl = CRASH_TTL
    elif update.clears:
        ttl = CLEAR_TTL
    return max(ttl - item.ttl_ms * _MS, datetime.timedelta(0))
