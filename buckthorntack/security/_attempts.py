"""Signed attempt ids.

With an attempt id, any entry VM can find where the attempt runs and check
that it belongs to the organisation of the caller, without shared state.  The
id is the URL-safe base64 of a truncated HMAC-SHA256 and the msgpack of a
nonce, region, failure domain and server id.  The signature also covers the
organisation, which the id does not contain.
"""

import base64
import binascii
import hmac
import random
from typing import NamedTuple

import expression
import msgspec

from buckthorntack.security import _errors

#: Domain separation: prefix of each signed message.
_SIGNATURE_CONTEXT = b"buckthorntack attempt 1"
_MAC_BYTES = 16
_NONCE_BITS = 96
#: Longer attempt ids are rejected without decoding.
MAX_ATTEMPT_ID_CHARACTERS = 512


class AttemptTarget(NamedTuple):
    """Region, failure domain and server that run an attempt."""

    region: str
    failure_domain: str
    server_id: str


class _Payload(NamedTuple):
    nonce: bytes
    region: str
    failure_domain: str
    server_id: str


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Payload)


class AttemptSigner:
    """Signer and verifier of attempt ids.

    :param keys: secret keys as bytes; the first signs, all are accepted.

    >>> signer = AttemptSigner([b"k" * 32])
    >>> source = random.Random(1)
    >>> issued = signer.issue("sonora", "guaymas", "s1", "planta", source)
    >>> signer.verify(issued, "planta").ok.server_id
    's1'
    >>> signer.verify(issued, "other").is_error()
    True
    """

    def __init__(self, keys):
        self._keys = tuple(keys)

    def __repr__(self):
        return f"AttemptSigner(<{len(self._keys)} keys>)"

    def issue(
        self,
        region: str,
        failure_domain: str,
        server_id: str,
        organisation: str,
        rng: random.Random,
    ) -> str:
        """Issue the id of a new attempt.

        :param region: region in which it runs.
        :param failure_domain: failure domain in which it runs.
        :param server_id: backend server that runs it.
        :param organisation: organisation of the request.
        :param rng: source of randomness.
        :returns: the id, of letters, digits, ``-`` and ``_``.
        """
        nonce = rng.getrandbits(_NONCE_BITS).to_bytes(_NONCE_BITS // 8, "big")
        payload = _ENCODER.encode(
            _Payload(nonce, region, failure_domain, server_id)
        )
        signature = _sign(self._keys[0], organisation, payload)
        return _encode_id(signature + payload)

    def verify(
        self, attempt_id: str, organisation: str
    ) -> expression.Result[AttemptTarget, _errors.AttemptIdError]:
        """Return where an attempt runs, if it belongs to the organisation.

        :param attempt_id: id sent by the caller.
        :param organisation: organisation of the caller.
        :returns: the target; the error is the same for an id of another
            organisation and for one that was never issued.
        """
        content = _decode_id(attempt_id)
        signature, payload = content[:_MAC_BYTES], content[_MAC_BYTES:]
        accepted = any(
            hmac.compare_digest(signature, _sign(key, organisation, payload))
            for key in self._keys
        )
        if not accepted:
            detail = "the attempt id was not issued to this organisation"
            return expression.Error(_errors.AttemptIdError(detail))
        return expression.Ok(AttemptTarget(*_DECODER.decode(payload)[1:]))


def _sign(key, organisation, payload):
    name = organisation.encode()
    message = b"%s\0%d\0%s%s" % (_SIGNATURE_CONTEXT, len(name), name, payload)
    return hmac.digest(key, message, "sha256")[:_MAC_BYTES]


def _encode_id(content):
    return base64.urlsafe_b64encode(content).rstrip(b"=").decode("ascii")


def _decode_id(text):
    """Decode an id; empty unless it is the canonical encoding."""
    if len(text) > MAX_ATTEMPT_ID_CHARACTERS or not text.isascii():
        return b""
    try:
        content = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except (binascii.Error, ValueError):
        return b""
    return content if _encode_id(content) == text else b""
