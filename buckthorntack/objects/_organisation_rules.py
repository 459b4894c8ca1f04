"""Rules of organisations and their credentials."""

import datetime
import hashlib

from buckthorntack.objects import _findings
from buckthorntack.objects import _registry

_EMPTY_TOKEN_HASH = hashlib.sha256(b"").digest()


@_registry.rule(
    "no_servable_pool",
    "Organisation",
    ["ResidencyRule", "Service", "BackendServerPool", "FailureDomain"],
)
def no_servable_pool(organisation, index):
    """Each service of an organisation has a pool in an allowed region.

    :param organisation: row of the organisation.
    :param index: the set.
    """
    if organisation.residency_rule not in index.regions_by_residency_rule:
        return
    unservable = index.find_unservable_services(
        organisation.residency_rule, organisation.services
    )
    for name in unservable:
        allowed = index.regions_by_residency_rule[organisation.residency_rule]
        yield _findings.finding(
            "no_servable_pool",
            "Organisation",
            organisation.name,
            "services",
            f"no pool of service {name!r} lies in {', '.join(sorted(allowed))}"
            f" (residency rule {organisation.residency_rule!r})",
            "add a pool there, widen the residency rule, or remove the "
            "service",
        )


@_registry.rule("shared_token", reads=["CallerCredential"])
def shared_token(index):
    """No two credentials have the same token.

    :param index: the set.
    """
    for names in index.names_by_shared_hash.values():
        rows = [index.get("CallerCredential", name) for name in names]
        organisations = sorted({row.organisation for row in rows})
        yield _findings.finding(
            "shared_token",
            "CallerCredential",
            max(names),
            "token_sha256",
            f"credentials {', '.join(sorted(names))} of "
            f"{', '.join(organisations)} have the same token",
            "give each credential a token of its own",
        )


@_registry.rule("empty_token", "CallerCredential")
def empty_token(credential, _index):
    """A credential's token is not empty.

    :param credential: row of the credential.
    """
    if credential.token_sha256 == _EMPTY_TOKEN_HASH:
        yield _findings.finding(
            "empty_token",
            "CallerCredential",
            credential.name,
            "token_sha256",
            "this is the hash of an empty token",
            "hash the token itself, without a line end",
        )


@_registry.rule("credential_expiry", "CallerCredential")
def credential_expiry(credential, _index):
    """A credential's expiry is a date and time with a UTC offset.

    :param credential: row of the credential.
    """
    if credential.expires_at is None or _has_utc_offset(credential.expires_at):
        return
    yield _findings.finding(
        "credential_expiry",
        "CallerCredential",
        credential.name,
        "expires_at",
        f"{credential.expires_at!r} is not a date and time with a UTC offset",
        "write it like 2027-03-31T00:00:00Z",
    )


def _has_utc_offset(text):
    try:
        return datetime.datetime.fromisoformat(text).tzinfo is not None
    except ValueError:
        return False
