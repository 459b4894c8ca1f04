"""Replicated state machine of a ledger home."""

import enum
import functools

from buckthorntack import errors
from buckthorntack import schema
from buckthorntack.ledger import _errors
from buckthorntack.ledger import _keys
from buckthorntack.ledger import _records
from buckthorntack.ledger import _tombstones
from buckthorntack.ledger import _verdicts
from buckthorntack.schema import messages


class RecordState(enum.StrEnum):
    """State of the record of a key; see docs/design/ledger.md."""

    CLAIMED = "claimed"
    FINISHED = "finished"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class LedgerMachine:
    """State machine that grants at most one attempt to run for each key.

    A command is a ``LedgerBatch``; its result is a list with one verdict
    for each operation.  The time is the highest ``at_ms`` of the commands
    so far, so that it is monotonic and equal on all replicas.

    :param home_id: id of the home.
    """

    def __init__(self, home_id):
        self.home_id = home_id
        self.records = _records.LedgerRecords()
        self.log_time_ms = 0
        self._batch = None

    def apply(self, index, command):
        """Apply one committed batch.

        :param index: index of the batch in the log.
        :param command: a packed ``LedgerBatch``.
        :returns: list of verdicts, in the order of the operations.
        """
        self._batch = schema.unpack(command)
        self.log_time_ms = max(self.log_time_ms, self._batch.at_ms)
        self.records.expire(self.log_time_ms)
        return [
            self._apply_operation(operation)
            for operation in self._batch.operations
        ]

    def _apply_operation(self, operation):
        message = schema.decode_exactly(
            operation.name.encode(), operation.payload
        )
        digest = _keys.record_digest(message.organisation, message.key)
        record = self.records.get(digest)
        return self._apply_message(message, operation.holder, digest, record)

    @functools.singledispatchmethod
    def _apply_message(self, message, sender, digest, record):
        raise TypeError(f"{type(message).__name__} is not a ledger operation")

    @_apply_message.register
    def _apply_claim(
        self, claim: messages.LedgerClaim, sender, digest, record
    ):
        if record is None:
            return self._claim_new_key(claim, sender, digest)
        if record.body_hash != claim.body_hash:
            detail = f"key {claim.key!r} was used with another body"
            return _refusal(_errors.KeyReusedError(detail))
        if record.state == RecordState.FINISHED:
            return _create_replay(record)
        if record.state == RecordState.UNKNOWN:
            return _verdicts.Unknown(record.attempt_id)
        if record.state == RecordState.CLAIMED:
            return _decide_held_claim(claim, record)
        if record.attempt_id == claim.attempt_id:
            return _verdicts.Released(claim.attempt_id)
        return self._grant(claim, sender, digest, record.expires_at_ms)

    def _claim_new_key(self, claim, sender, digest):
        window = _keys.parse_key(claim.key).window
        error = self._window_error(claim.key, window)
        if window is None:
            error = self._tombstone_error(claim.key, digest)
        if error is None and self._is_full():
            error = self._full_error()
        if error is not None:
            return _refusal(error)
        issued_ms = self.log_time_ms
        if window is not None:
            issued_ms = (window + 1) * _keys.WINDOW_MS
        expires_at_ms = issued_ms + self._batch.retention_ms
        return self._grant(claim, sender, digest, expires_at_ms)

    def _window_error(self, key, window):
        if window is None:
            return None
        start_ms = window * _keys.WINDOW_MS
        if start_ms > self.log_time_ms + _keys.MAX_WINDOW_AHEAD_MS:
            detail = f"the prefix of key {key!r} is too far in the future"
            return _errors.InvalidKeyError(detail)
        if window <= self.records.closed_window:
            return _key_expired_error(key)
        end_ms = start_ms + _keys.WINDOW_MS + self._batch.retention_ms
        if end_ms // _records.BUCKET_MS < self.log_time_ms // (
            _records.BUCKET_MS
        ):
            return _key_expired_error(key)
        return None

    def _tombstone_error(self, key, digest):
        tombstones = self.records.tombstones
        if digest in tombstones:
            return _key_expired_error(key)
        if len(tombstones) >= _tombstones.MAX_TOMBSTONES:
            detail = (
                f"home {self.home_id} has reached its limit of expired keys"
            )
            return _errors.KeyPrefixNeededError(detail)
        return None

    def _is_full(self):
        return self.records.size_bytes >= self._batch.capacity_bytes

    def _full_error(self):
        wait_ms = self.records.next_expiry_ms() - self.log_time_ms
        detail = f"home {self.home_id} holds {len(self.records)} records"
        return _errors.LedgerFullError(detail, max(wait_ms, 1000))

    def _grant(self, claim, sender, digest, expires_at_ms):
        window = _keys.parse_key(claim.key).window
        record = messages.LedgerRecord(
            state=RecordState.CLAIMED,
            attempt_id=claim.attempt_id,
            holder=sender,
            body_hash=claim.body_hash,
            store_answer=claim.store_answer,
            expires_at_ms=expires_at_ms,
            window=-1 if window is None else window,
            status=0,
            headers=[],
            body=b"",
            answer_stored=False,
        )
        self.records.put(digest, record)
        return _verdicts.Granted(claim.attempt_id)

    @_apply_message.register
    def _apply_settle(
        self, settle: messages.LedgerSettle, sender, digest, record
    ):
        settled = _verdicts.Settled(settle.attempt_id)
        if record is None or record.attempt_id != settle.attempt_id:
            return settled
        if settle.run_state == errors.RunState.RAN:
            self._set_finished(settle, digest, record)
        elif settle.run_state == errors.RunState.NOT_RUN:
            self._set_not_run(sender, digest, record)
        elif record.state == RecordState.CLAIMED:
            self._set_state(digest, record, RecordState.UNKNOWN)
        return settled

    def _set_finished(self, settle, digest, record):
        if record.state == RecordState.FINISHED and (
            record.answer_stored or not settle.answer_known
        ):
            return
        stored = settle.answer_known and record.store_answer
        body = settle.body
        if settle.answer_known and not stored:
            body = _keys.body_digest(body)
        finished = record._replace(
            state=RecordState.FINISHED,
            status=settle.status,
            headers=settle.headers if stored else [],
            body=body,
            answer_stored=stored,
        )
        self.records.put(digest, finished)

    def _set_not_run(self, sender, digest, record):
        """Mark an attempt as not run.

        Only the holder knows that its attempt has not run and never will, so
        the report of another sender is ignored.
        """
        open_states = (RecordState.CLAIMED, RecordState.UNKNOWN)
        if sender == record.holder and record.state in open_states:
            self._set_state(digest, record, RecordState.NOT_RUN)

    def _set_state(self, digest, record, state):
        self.records.put(digest, record._replace(state=state))

    def snapshot(self):
        """Return the complete state as bytes."""
        return schema.pack(
            messages.LedgerSnapshot(
                records=self.records.dump(),
                tombstones=self.records.tombstones.dump(),
                closed_window=self.records.closed_window,
                log_time_ms=self.log_time_ms,
            )
        )

    def restore(self, snapshot):
        """Replace the state by that of a snapshot.

        :param snapshot: bytes returned by :meth:`snapshot`.
        """
        state = schema.unpack(snapshot)
        self.records.load(state.records, state.tombstones, state.closed_window)
        self.log_time_ms = state.log_time_ms


def _refusal(error):
    return _verdicts.Refused(error)


def _key_expired_error(key):
    detail = f"key {key!r} is older than the retention"
    return _errors.KeyExpiredError(detail)


def _decide_held_claim(claim, record):
    if record.attempt_id == claim.attempt_id:
        return _verdicts.Granted(claim.attempt_id)
    return _verdicts.InProgress(record.attempt_id, record.holder)


def _create_replay(record):
    return _verdicts.Replay(
        record.attempt_id,
        record.status,
        record.headers,
        record.body,
        record.answer_stored,
    )
