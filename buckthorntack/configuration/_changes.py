"""Results of recent changes, for idempotent resends."""

import datetime

import msgspec

from buckthorntack.configuration import _content
from buckthorntack.schema import documents
from buckthorntack.schema import messages

#: Number of newest results that are kept at any age.
MIN_RECORDS = 1024
#: Maximum number of results kept.
MAX_RECORDS = 8192
#: Results beyond this age are dropped if more than MIN_RECORDS are kept.
MAX_RECORD_AGE = datetime.timedelta(hours=48)
#: Maximum number of findings kept with a result.
MAX_RECORD_FINDINGS = 50

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(messages.ChangeRecord)


class ChangeHistory:
    """Results by change id, dropped by count and by age.

    The age is measured in the time recorded in the log, so that all replicas
    drop the same results.
    """

    def __init__(self):
        self._records = {}

    def __len__(self):
        return len(self._records)

    def get(self, change_id):
        """Return the result of a change.

        :param change_id: id of the change.
        :returns: its ``ChangeRecord``, or ``None``.
        """
        encoded = self._records.get(change_id)
        return None if encoded is None else _DECODER.decode(encoded)

    def add(self, record, log_time_ms):
        """Add a result and drop results past their retention.

        :param record: a ``ChangeRecord``.
        :param log_time_ms: latest wall time in the log, in milliseconds.
        """
        self._records[record.change_id] = _ENCODER.encode(record)
        oldest_ms = log_time_ms - MAX_RECORD_AGE // datetime.timedelta(
            milliseconds=1
        )
        while len(self._records) > MIN_RECORDS:
            oldest_id = next(iter(self._records))
            too_many = len(self._records) > MAX_RECORDS
            if (
                not too_many
                and self.get(oldest_id).proposed_at_ms >= oldest_ms
            ):
                break
            del self._records[oldest_id]

    def records(self):
        """Return all results, oldest first."""
        return [_DECODER.decode(record) for record in self._records.values()]

    def load(self, records):
        """Replace all results.

        :param records: records returned by :meth:`records`.
        """
        self._records = {
            record.change_id: _ENCODER.encode(record) for record in records
        }


def build_change_result(record) -> documents.ChangeResult:
    """Return the result of a change as sent to the operator.

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
