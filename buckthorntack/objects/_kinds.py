"""Kinds of objects, their fields and their references."""

import functools
from typing import NamedTuple

from buckthorntack import schema

#: All kinds; a kind refers only to earlier ones, which rules out cycles.
KINDS = (
    "Region",
    "FailureDomain",
    "ResidencyRule",
    "Priority",
    "Quota",
    "DeploymentTerms",
    "ModelVersion",
    "Service",
    "BackendServerPool",
    "Organisation",
    "CallerCredential",
)


class Reference(NamedTuple):
    """A field that names objects of another kind."""

    kind: str
    field: str
    target: str


REFERENCES = (
    Reference("FailureDomain", "region", "Region"),
    Reference("ResidencyRule", "regions", "Region"),
    Reference("Service", "terms", "DeploymentTerms"),
    Reference("Service", "model_versions", "ModelVersion"),
    Reference("BackendServerPool", "service", "Service"),
    Reference("BackendServerPool", "failure_domains", "FailureDomain"),
    Reference("BackendServerPool", "model_versions", "ModelVersion"),
    Reference("Organisation", "residency_rule", "ResidencyRule"),
    Reference("Organisation", "priority", "Priority"),
    Reference("Organisation", "quota", "Quota"),
    Reference("Organisation", "services", "Service"),
    Reference("CallerCredential", "organisation", "Organisation"),
)


def schema_of_kind(kind):
    """Return the JSON schema of a kind.

    :param kind: its name, such as ``Organisation``.
    :returns: its definition in the schema of objects.
    """
    return schema.document_schema("objects")["$defs"][kind]


@functools.cache
def targets_by_field(kind):
    """Return the references of a kind, by field.

    :param kind: its name.
    :returns: dictionary of field name to the kind referred to.

    >>> targets_by_field("FailureDomain")
    {'region': 'Region'}
    """
    return {r.field: r.target for r in REFERENCES if r.kind == kind}
