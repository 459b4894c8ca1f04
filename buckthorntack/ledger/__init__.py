"""Ledger that runs each non-idempotent request at most once."""

from buckthorntack.ledger._client import AttemptState
from buckthorntack.ledger._client import LedgerClient
from buckthorntack.ledger._client_task import LedgerClientTask
from buckthorntack.ledger._commands import CompleteCall
from buckthorntack.ledger._commands import Send
from buckthorntack.ledger._errors import AnswerNotStoredError
from buckthorntack.ledger._errors import AttemptIdReusedError
from buckthorntack.ledger._errors import AttemptInProgressError
from buckthorntack.ledger._errors import HomeUnreachableError
from buckthorntack.ledger._errors import InvalidKeyError
from buckthorntack.ledger._errors import KeyExpiredError
from buckthorntack.ledger._errors import KeyPrefixNeededError
from buckthorntack.ledger._errors import KeyReusedError
from buckthorntack.ledger._errors import LedgerFullError
from buckthorntack.ledger._errors import NoHomeError
from buckthorntack.ledger._errors import OutcomeUnknownError
from buckthorntack.ledger._home import LedgerHome
from buckthorntack.ledger._home_task import LedgerHomeTask
from buckthorntack.ledger._keys import body_digest
from buckthorntack.ledger._keys import find_home
from buckthorntack.ledger._keys import key_prefix
from buckthorntack.ledger._keys import KeyParts
from buckthorntack.ledger._keys import parse_key
from buckthorntack.ledger._machine import LedgerMachine
from buckthorntack.ledger._machine import RecordState
from buckthorntack.ledger._verdicts import Granted
from buckthorntack.ledger._verdicts import InProgress
from buckthorntack.ledger._verdicts import Refused
from buckthorntack.ledger._verdicts import Released
from buckthorntack.ledger._verdicts import Replay
from buckthorntack.ledger._verdicts import Resolve
from buckthorntack.ledger._verdicts import Settled
from buckthorntack.ledger._verdicts import Unknown

__all__ = [
    "AnswerNotStoredError",
    "AttemptIdReusedError",
    "AttemptInProgressError",
    "AttemptState",
    "CompleteCall",
    "Granted",
    "HomeUnreachableError",
    "InProgress",
    "InvalidKeyError",
    "KeyExpiredError",
    "KeyParts",
    "KeyPrefixNeededError",
    "KeyReusedError",
    "LedgerClient",
    "LedgerClientTask",
    "LedgerFullError",
    "LedgerHome",
    "LedgerHomeTask",
    "LedgerMachine",
    "NoHomeError",
    "OutcomeUnknownError",
    "RecordState",
    "Refused",
    "Released",
    "Replay",
    "Resolve",
    "Send",
    "Settled",
    "Unknown",
    "body_digest",
    "find_home",
    "key_prefix",
    "parse_key",
]
