"""Bearer tokens of callers and operators."""

import datetime
import hashlib
import secrets

import expression

from buckthorntack.security import _errors

_SCHEME = "bearer"
_TOKEN_BYTES = 32
MAX_TOKEN_CHARACTERS = 512


def generate_token() -> str:
    """A new random token of 256 bits, for a caller or operator."""
    return secrets.token_urlsafe(_TOKEN_BYTES)


def hash_token(token: str) -> str:
    """Hash of a token, as objects and operator token files hold it.

    :param token: the token.
    :returns: SHA-256 in hexadecimal.

    >>> hash_token("demo")[:8]
    '2a97516c'
    """
    return hash_token_bytes(token).hex()


def hash_token_bytes(token: str) -> bytes:
    """Hash of a token, as looked up on the way of a request.

    :param token: the token.
    :returns: SHA-256 as 32 bytes.
    """
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).digest()


def bearer_token(
    header: str | None,
) -> expression.Result[str, _errors.CredentialError]:
    """Token of an ``Authorization`` header.

    :param header: the header's value, if there is one.
    :returns: the token, or why there is none.

    >>> bearer_token("Bearer abc").ok
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
    """Whether a caller credential is past its expiry.

    :param credential: a ``CallerCredential``.
    :param wall_now: time of day.

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
