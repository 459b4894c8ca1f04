"""Fingerprints of equal requests."""

import xxhash


def fingerprint(organisation: str, service: str, body: bytes) -> str:
    """Identify equal requests of one organisation to one service.

    :param organisation: its name.
    :param service: the service's name.
    :param body: the request's body.
    :returns: 32 hexadecimal digits.

    >>> a = fingerprint("shops", "pitchwriter", b"line")
    >>> a == fingerprint("shops", "pitchwriter", b"line")
    True
    >>> a == fingerprint("councils", "pitchwriter", b"line")
    False
    """
    digest = xxhash.xxh3_128()
    for name in (organisation, service):
        data = name.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    digest.update(body)
    return digest.hexdigest()
