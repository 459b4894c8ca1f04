"""Idempotency keys: which home a key has, and when it was issued."""

import datetime
import hashlib
import re
from typing import NamedTuple

import expression

from buckthorntack.ledger import _errors

#: Length of the window in which a key prefix is issued.
WINDOW = datetime.timedelta(hours=1)
#: How far a window may lie ahead of the home's time.
MAX_AHEAD = datetime.timedelta(hours=2)
MAX_KEY_LENGTH = 255

WINDOW_MS = WINDOW // datetime.timedelta(milliseconds=1)
MAX_AHEAD_MS = MAX_AHEAD // datetime.timedelta(milliseconds=1)
_VISIBLE = re.compile(rf"[!-~]{{1,{MAX_KEY_LENGTH}}}")
_PREFIX = re.compile(r"([a-z0-9][a-z0-9.-]{0,62}):(?:t(\d{1,9}):)?")


class KeyParts(NamedTuple):
    """What the prefix of a key tells."""

    home_id: str
    window: int | None


def parse_key(key):
    """Read the prefix of a key.

    :param key: the key.
    :returns: :class:`KeyParts`; the home id is empty without a prefix.

    >>> parse_key("fukuoka-a:t490123:b7")
    KeyParts(home_id='fukuoka-a', window=490123)
    >>> parse_key("3f2a")
    KeyParts(home_id='', window=None)
    """
    found = _PREFIX.match(key)
    if found is None:
        return KeyParts("", None)
    window = found.group(2)
    return KeyParts(found.group(1), None if window is None else int(window))


def key_prefix(home_id, wall_ms):
    """Prefix for new keys, handed out to callers.

    :param home_id: home that keys with this prefix have.
    :param wall_ms: wall time.

    >>> key_prefix("fukuoka-a", 1764442800000)
    'fukuoka-a:t490123:'
    """
    return f"{home_id}:t{wall_ms // WINDOW_MS}:"


def home_of(key, organisation, homes):
    """Home of a key; it never changes while ``homes`` stays the same.

    A key whose prefix names a home has that home.  Any other key has the
    home of its organisation, chosen by rendezvous hashing over all homes.
    Residency does not enter into the choice: if it did, a change of
    residency would give a key a second home.

    :param key: the key.
    :param organisation: name of the caller's organisation.
    :param homes: all ``LedgerHome`` of the settings.
    :returns: ``Result`` of the ``LedgerHome``.

    >>> homes = [{"home_id": "a", "region": "r", "replicas": ["n1"]}]
    >>> home_of("a:t1:x", "shops", homes).ok["home_id"]
    'a'
    """
    if not _VISIBLE.fullmatch(key):
        return expression.Error(_errors.InvalidKeyError("bad characters"))
    if not homes:
        return expression.Error(_errors.NoHomeError("no ledger home"))
    named = parse_key(key).home_id
    for home in homes:
        if home["home_id"] == named:
            return expression.Ok(home)
    return expression.Ok(
        max(homes, key=lambda home: _rank(home, organisation))
    )


def _rank(home, organisation):
    text = f"{home['home_id']}\n{organisation}".encode()
    return hashlib.blake2b(text, digest_size=8).digest(), home["home_id"]


def record_digest(organisation, key):
    """Digest under which the record of a key is kept.

    :param organisation: name of the organisation.
    :param key: the key.
    """
    text = f"{organisation}\n{key}".encode()
    return hashlib.blake2b(text, digest_size=16).digest()


def body_digest(body):
    """Digest of a request's or an answer's body.

    :param body: the body.
    """
    return hashlib.blake2b(body, digest_size=16).digest()
