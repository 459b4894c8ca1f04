"""Read-only view of a published set of objects."""

from collections.abc import Iterable
from typing import Any

from buckthorntack.objects import _index
from buckthorntack.objects import _kinds
from buckthorntack.objects import _paths
from buckthorntack.objects import _rows
from buckthorntack.schema import documents

_PATTERN_SUFFIX = "/*"


class PublishedSet:
    """Immutable set of valid objects, stored compactly.

    Callers must not modify the documents that it returns.

    :param revision: revision of the configuration.
    :param named_objects: objects for which :func:`check` found nothing.

    >>> published = PublishedSet(7, [
    ...     {"kind": "Region", "object": {"name": "fukuoka"}},
    ...     {"kind": "FailureDomain",
    ...      "object": {"name": "fukuoka-a", "region": "fukuoka"}}])
    >>> published.region_of("fukuoka-a")
    'fukuoka'
    """

    def __init__(
        self,
        revision: int,
        named_objects: Iterable[documents.NamedObject] = (),
    ):
        self.revision = revision
        self.index = _index.build_index(named_objects)

    def with_changes(
        self,
        revision: int,
        put: Iterable[documents.NamedObject],
        remove: Iterable[documents.ObjectName],
    ) -> "PublishedSet":
        """Build a set with some objects changed, sharing the unchanged ones.

        :param revision: revision of the new set.
        :param put: objects created or replaced.
        :param remove: names of objects removed.
        :returns: a new set; this one is unchanged.
        """
        changed = PublishedSet(revision)
        changed.index = _index.build_changed_index(
            self.index, list(put), list(remove)
        )
        return changed

    def named_objects(self) -> Iterable[documents.NamedObject]:
        """Yield all objects by kind, in the order of insertion."""
        for kind in _kinds.KINDS:
            for row in self.index.rows(kind):
                yield {"kind": kind, "object": _rows.unpack(kind, row)}

    def __len__(self):
        return sum(len(table) for table in self.index.tables.values())

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object of any kind.

        :param kind: its kind.
        :param name: its name.
        :returns: the object, or ``None``.
        """
        row = self.index.tables.get(kind, {}).get(name)
        return None if row is None else _rows.unpack(kind, row)

    def organisation(self, name: str) -> documents.Organisation | None:
        """Return an organisation.

        :param name: its name.
        :returns: the organisation, or ``None``.
        """
        return self.get("Organisation", name)

    def credential(
        self, token_sha256: str | bytes
    ) -> documents.CallerCredential | None:
        """Return the credential of a token, which may have expired.

        :param token_sha256: hash of the token, hexadecimal or as bytes.
        :returns: the credential, or ``None``.
        """
        if isinstance(token_sha256, str):
            token_sha256 = bytes.fromhex(token_sha256)
        row = self.index.credentials_by_hash.get(token_sha256)
        return None if row is None else _rows.unpack("CallerCredential", row)

    def allowed_regions(self, organisation: str) -> frozenset[str]:
        """Return regions in which an organisation's requests may be served.

        :param organisation: name of the organisation.
        :returns: names of regions; none for an unknown organisation.
        """
        row = self.index.get("Organisation", organisation)
        if row is None:
            return frozenset()
        return self.index.regions_by_residency_rule.get(
            row.residency_rule, frozenset()
        )

    def may_use(self, organisation: str, service: str) -> bool:
        """Return whether an organisation may use a service.

        :param organisation: name of the organisation.
        :param service: name of the service.
        """
        row = self.index.get("Organisation", organisation)
        return row is not None and service in row.services

    def resolve_model(self, model: str) -> tuple[str, str] | None:
        """Find the service and the model version that serve a model.

        :param model: ``model`` for its default version, or
            ``model@version``.
        :returns: names of the service and of the model version, or ``None``.
        """
        return self.index.targets_by_model.get(model)

    def models_for(self, organisation: str) -> list[str]:
        """List the models that an organisation may request.

        :param organisation: name of the organisation.
        :returns: sorted names of models, with and without version.
        """
        row = self.index.get("Organisation", organisation)
        services = () if row is None else row.services
        models = self.index.targets_by_model.items()
        return sorted(name for name, found in models if found[0] in services)

    def service(self, name: str) -> documents.Service | None:
        """Return a service.

        :param name: its name.
        :returns: the service, or ``None``.
        """
        return self.get("Service", name)

    def model_version(self, name: str) -> documents.ModelVersion | None:
        """Return a model version.

        :param name: its name.
        :returns: the model version, or ``None``.
        """
        return self.get("ModelVersion", name)

    def match_call(
        self, service: str, method: str, path: str
    ) -> documents.ServiceCall | None:
        """Find the call of a plain service that a request matches.

        An exact path takes precedence over a pattern, and a longer pattern
        over a shorter one.  A path that servers may resolve differently,
        such as one with ``..``, matches no call.

        :param service: name of the service.
        :param method: the request's method.
        :param path: path relative to the service, without the query.
        :returns: the call, or ``None`` if the service does not list it.
        """
        row = self.index.get("Service", service)
        if row is None or not row.calls or not _paths.is_unambiguous(path):
            return None
        matching = [
            call
            for call in row.calls
            if call.method == method and _matches_path(call.path, path)
        ]
        if not matching:
            return None
        best = max(matching, key=lambda c: (c.path == path, len(c.path)))
        return _rows.unpack("ServiceCall", best)

    def pool(self, name: str) -> documents.BackendServerPool | None:
        """Return a backend server pool.

        :param name: its name.
        :returns: the pool, or ``None``.
        """
        return self.get("BackendServerPool", name)

    def pools_of(self, service: str) -> list[documents.BackendServerPool]:
        """List the pools that serve a service.

        :param service: name of the service.
        """
        rows = self.index.pools_by_service.get(service, ())
        return [_rows.unpack("BackendServerPool", row) for row in rows]

    def terms(self, service: str) -> documents.DeploymentTerms | None:
        """Return the weights that apply when a service's requests are routed.

        :param service: name of the service.
        :returns: its terms, or ``None`` for an unknown service.
        """
        row = self.index.get("Service", service)
        return None if row is None else self.get("DeploymentTerms", row.terms)

    def priority(self, organisation: str) -> documents.Priority | None:
        """Return the priority of an organisation.

        :param organisation: name of the organisation.
        :returns: its priority, or ``None`` for an unknown organisation.
        """
        row = self.index.get("Organisation", organisation)
        return None if row is None else self.get("Priority", row.priority)

    def quota(self, organisation: str) -> documents.Quota | None:
        """Return the quota of an organisation.

        :param organisation: name of the organisation.
        :returns: its quota, or ``None`` for an unknown organisation.
        """
        row = self.index.get("Organisation", organisation)
        return None if row is None else self.get("Quota", row.quota)

    def region_of(self, failure_domain: str) -> str | None:
        """Return the region of a failure domain.

        :param failure_domain: its name.
        :returns: name of the region, or ``None``.
        """
        row = self.index.get("FailureDomain", failure_domain)
        return None if row is None else row.region

    def failure_domains(self, region: str) -> frozenset[str]:
        """Return the failure domains of a region.

        :param region: name of the region.
        """
        return self.index.domains_by_region.get(region, frozenset())

    def regions(self) -> frozenset[str]:
        """Return the names of all regions."""
        return frozenset(self.index.tables["Region"])


def _matches_path(pattern, path):
    if not pattern.endswith(_PATTERN_SUFFIX):
        return pattern == path
    prefix = pattern.removesuffix("*")
    return path.startswith(prefix) and len(path) > len(prefix)
