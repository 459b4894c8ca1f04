"""Sample operations for tests of the state machine of the ledger."""

from buckthorntack import ledger
from buckthorntack import schema
from buckthorntack.schema import messages

HOUR_MS = 3_600_000
START_MS = 490_000 * HOUR_MS
RETENTION_MS = 24 * HOUR_MS
BODY_HASH = ledger.body_digest(b"body")


def claim(key, attempt_id, organisation="shops", **fields):
    message = messages.LedgerClaim(
        home_id="h",
        call_id="call",
        organisation=organisation,
        key=key,
        body_hash=BODY_HASH,
        attempt_id=attempt_id,
        store_answer=True,
    )
    return message._replace(**fields)


def settle(key, attempt_id, run_state, body=b"", **fields):
    message = messages.LedgerSettle(
        home_id="h",
        call_id="call",
        organisation="shops",
        key=key,
        attempt_id=attempt_id,
        run_state=run_state,
        status=201,
        headers=[],
        body=body,
        answer_known=run_state == "ran",
    )
    return message._replace(**fields)


class Log:
    """A committed log whose commands are applied to a state machine."""

    def __init__(self, **limits):
        self.machine = ledger.LedgerMachine("h")
        self.now_ms = START_MS
        self.limits = {
            "retention_ms": RETENTION_MS,
            "capacity_bytes": 1 << 20,
            **limits,
        }
        self.index = 0

    def commit(self, *operations, sender="e1"):
        encoded = []
        for message in operations:
            name, payload = schema.encode(message)
            encoded.append(
                messages.LedgerOperation(name.decode(), payload, sender)
            )
        batch = messages.LedgerBatch(
            at_ms=self.now_ms, operations=encoded, **self.limits
        )
        self.index += 1
        verdicts = self.machine.apply(self.index, schema.pack(batch))
        return verdicts if len(verdicts) > 1 else verdicts[0]

    def restart(self):
        machine = ledger.LedgerMachine("h")
        machine.restore(self.machine.snapshot())
        self.machine = machine
