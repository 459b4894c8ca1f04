"""Fingerprints, by which equal requests are recognised."""

import xxhash


def fingerprint(organisation: str, service: str, body: bytes) -> str:
    """Compute a hash that is equal for equal requests.

    :param organisation: name of the organisation.
    :param service: name of the service.
    :param body: body of the request.
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
