"""Bearer tokens of callers and operators."""

import datetime
import hashlib
import secrets

import expression

from buckthorntack.security import _errors

_SCHEME = "bearer"
_TOKEN_BYTES = 32
#: Longer tokens are rejected without hashing.
MAX_TOKEN_CHARACTERS = 512


def generate_token() -> str:
    """Return a random token of 256 bits for a caller or operator."""
    return secrets.token_urlsafe(_TOKEN_BYTES)


def hash_token(token: str) -> str:
    """Return the hash of a token as stored in objects and token files.

    :param token: the token.
    :returns: SHA-256 in hexadecimal.

    >>> hash_token("demo")[:8]
    '2a97516c'
    """
    return hash_token_bytes(token).hex()


def hash_token_bytes(token: str) -> bytes:
    """Return the hash of a token as used to look up the token of a request.

    :param token: the token.
    :returns: SHA-256 as 32 bytes.
    """
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).digest()


def parse_bearer_token(
    header: str | None,
) -> expression.Result[str, _errors.CredentialError]:
    """Parse the bearer token of an ``Authorization`` header.

    :param header: value of the header, or ``None``.
    :returns: the token, or the reason of the rejection.

    >>> parse_bearer_token("Bearer abc").ok
    'abc'
    """
    scheme, _, token = (header or "").strip().partition(" ")
    token = token.strip()
    if scheme.lower() != _SCHEME or not token:
        detail = "the request has no bearer token"
    elif len(token) > MAX_TOKEN_CHARACTERS:
        detail = f"the token is longer than {MAX_TOKEN_CHARACTERS} characters"
    else:
        return expression.Ok(token)
    return expression.Error(_errors.CredentialError(detail))


def has_expired(credential, wall_now: datetime.datetime) -> bool:
    """Return whether a caller credential has expired.

    :param credential: a ``CallerCredential``.
    :param wall_now: wall-clock time with a time zone.

    >>> now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    >>> has_expired({"expires_at": "2025-12-31T00:00:00Z"}, now)
    True
    >>> has_expired({}, now)
    False
    """
    expires_at = credential.get("expires_at")
    if expires_at is None:
        return False
    return wall_now >= datetime.datetime.fromisoformat(expires_at)
