"""Answers to changes, kept so that a resend gets the first one."""

import datetime

import msgspec

from buckthorntack.configuration import _content
from buckthorntack.schema import documents
from buckthorntack.schema import messages

#: Answers kept whatever their age.
MIN_ANSWERS = 1024
#: Most answers kept.
MAX_ANSWERS = 8192
#: Age up to which answers are kept, unless there are too many.
ANSWER_AGE = datetime.timedelta(hours=48)
#: Most findings kept with an answer.
MAX_FINDINGS = 50

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(messages.ChangeRecord)


class ChangeAnswers:
    """Answers by change id, dropped by count and by the log's own time."""

    def __init__(self):
        self._records = {}

    def __len__(self):
        return len(self._records)

    def get(self, change_id):
        """Answer to a change.

        :param change_id: id of the change.
        :returns: its ``ChangeRecord``, or ``None``.
        """
        encoded = self._records.get(change_id)
        return None if encoded is None else _DECODER.decode(encoded)

    def add(self, record, log_time_ms):
        """Keep an answer and drop what is past its retention.

        :param record: a ``ChangeRecord``.
        :param log_time_ms: time that the log has reached.
        """
        self._records[record.change_id] = _ENCODER.encode(record)
        oldest_ms = log_time_ms - ANSWER_AGE // datetime.timedelta(
            milliseconds=1
        )
        while len(self._records) > MIN_ANSWERS:
            first = next(iter(self._records))
            too_many = len(self._records) > MAX_ANSWERS
            if not too_many and self.get(first).proposed_at_ms >= oldest_ms:
                break
            del self._records[first]

    def records(self):
        """All answers, oldest first."""
        return [_DECODER.decode(one) for one in self._records.values()]

    def load(self, records):
        """Replace all answers.

        :param records: what :meth:`records` gave.
        """
        self._records = {
            record.change_id: _ENCODER.encode(record) for record in records
        }


def result_of(record) -> documents.ChangeResult:
    """What the operator is told.

    :param record: a ``ChangeRecord``.
    :returns: the document of the administration API.
    """
    result: documents.ChangeResult = {
        "change_id": record.change_id,
        "accepted": record.accepted,
        "revision": record.revision,
    }
    if record.conflict:
        result["conflict"] = True
    if record.findings:
        result["findings"] = _content.decode_findings(record.findings)
    return result
