"""Idempotency keys: their syntax, home and issue time."""

import datetime
import hashlib
import re
from typing import NamedTuple

import expression

from buckthorntack.ledger import _errors

#: Length of the time window that a key prefix names as its issue time.
WINDOW = datetime.timedelta(hours=1)
#: How far the start of a window may lie ahead of the home's time.
MAX_WINDOW_AHEAD = datetime.timedelta(hours=2)
#: Characters of the longest key that is accepted.
MAX_KEY_LENGTH = 255

WINDOW_MS = WINDOW // datetime.timedelta(milliseconds=1)
MAX_WINDOW_AHEAD_MS = MAX_WINDOW_AHEAD // datetime.timedelta(milliseconds=1)
_VALID_KEY = re.compile(rf"[!-~]{{1,{MAX_KEY_LENGTH}}}")
_PREFIX = re.compile(r"([a-z0-9][a-z0-9.-]{0,62}):(?:t(\d{1,9}):)?")


class KeyParts(NamedTuple):
    """Parsed prefix of a key."""

    home_id: str
    window: int | None


def parse_key(key):
    """Parse the prefix of a key.

    :param key: the key.
    :returns: :class:`KeyParts`; without a prefix the home id is empty.

    >>> parse_key("fukuoka-a:t490123:b7")
    KeyParts(home_id='fukuoka-a', window=490123)
    >>> parse_key("3f2a")
    KeyParts(home_id='', window=None)
    """
    match = _PREFIX.match(key)
    if match is None:
        return KeyParts("", None)
    window = match.group(2)
    return KeyParts(match.group(1), None if window is None else int(window))


def key_prefix(home_id, wall_ms):
    """Return the prefix with which callers start new keys.

    :param home_id: id of the home of keys with this prefix.
    :param wall_ms: wall time in milliseconds since the epoch.

    >>> key_prefix("fukuoka-a", 1764442800000)
    'fukuoka-a:t490123:'
    """
    return f"{home_id}:t{wall_ms // WINDOW_MS}:"


def find_home(key, organisation, homes):
    """Return the home that stores the record of a key.

    The home of a key changes only if ``homes`` changes.  A key whose prefix
    names a home belongs to that home.  Any other key belongs to the home of
    its organisation, chosen by rendezvous hashing over all homes.  The choice
    ignores data residency; otherwise a change of residency would give a key a
    second home.

    :param key: the key.
    :param organisation: name of the caller's organisation.
    :param homes: all ``LedgerHome`` of the settings.
    :returns: ``Result`` of the ``LedgerHome``.

    >>> homes = [{"home_id": "a", "region": "r", "replicas": ["n1"]}]
    >>> find_home("a:t1:x", "shops", homes).ok["home_id"]
    'a'
    """
    if not _VALID_KEY.fullmatch(key):
        return expression.Error(
            _errors.InvalidKeyError("invalid length or characters")
        )
    if not homes:
        return expression.Error(
            _errors.NoHomeError("no ledger home is configured")
        )
    home_id = parse_key(key).home_id
    for home in homes:
        if home["home_id"] == home_id:
            return expression.Ok(home)
    return expression.Ok(
        max(homes, key=lambda home: _rendezvous_score(home, organisation))
    )


def _rendezvous_score(home, organisation):
    text = f"{home['home_id']}\n{organisation}".encode()
    return hashlib.blake2b(text, digest_size=8).digest(), home["home_id"]


def record_digest(organisation, key):
    """Return the digest under which the record of a key is stored.

    :param organisation: name of the organisation.
    :param key: the key.
    """
    text = f"{organisation}\n{key}".encode()
    return hashlib.blake2b(text, digest_size=16).digest()


def body_digest(body):
    """Return the digest of the body of a request or response.

    :param body: the body.
    """
    return hashlib.blake2b(body, digest_size=16).digest()
