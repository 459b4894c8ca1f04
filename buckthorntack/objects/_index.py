"""Tables of rows by kind and name, with the lookups derived from them."""

import collections
import functools

from buckthorntack.objects import _kinds
from buckthorntack.objects import _rows


class ObjectIndex:
    """Rows by kind and name; not changed once it is in use.

    :param tables: dictionary of rows by name, for each kind.
    :param broken: (kind, name) of objects left out because of their shape.
    """

    def __init__(self, tables, broken=frozenset()):
        self.tables = tables
        self.broken = broken
        self._unservable = {}

    def get(self, kind, name):
        """Row of an object.

        :param kind: its kind.
        :param name: its name.
        :returns: the row, or ``None``.
        """
        return self.tables[kind].get(name)

    def rows(self, kind):
        """All rows of a kind.

        :param kind: the kind.
        """
        return self.tables[kind].values()

    @functools.cached_property
    def domains_by_region(self):
        """Names of failure domains, by region."""
        domains = collections.defaultdict(set)
        for row in self.rows("FailureDomain"):
            domains[row.region].add(row.name)
        return {region: frozenset(names) for region, names in domains.items()}

    @functools.cached_property
    def pools_by_service(self):
        """Rows of pools, by service."""
        pools = collections.defaultdict(list)
        for row in self.rows("BackendServerPool"):
            pools[row.service].append(row)
        return dict(pools)

    @functools.cached_property
    def regions_by_service(self):
        """Regions in which any pool of a service may run, by service."""
        regions = collections.defaultdict(set)
        for row in self.rows("BackendServerPool"):
            regions[row.service] |= self.regions_of_domains(
                row.failure_domains
            )
        return {name: frozenset(found) for name, found in regions.items()}

    def regions_of_domains(self, names):
        """Regions of failure domains.

        :param names: names of failure domains; unknown ones are left out.
        :returns: set of region names.
        """
        rows = (self.get("FailureDomain", name) for name in names)
        return {row.region for row in rows if row is not None}

    @functools.cached_property
    def residency(self):
        """Allowed regions, by residency rule."""
        rows = self.rows("ResidencyRule")
        return {row.name: frozenset(row.regions) for row in rows}

    def unservable(self, residency_rule, services):
        """Services of which no pool lies within a residency rule.

        :param residency_rule: name of a known residency rule.
        :param services: names of services; unknown ones are left out.
        :returns: tuple of names.
        """
        key = (residency_rule, services)
        if key not in self._unservable:
            allowed = self.residency[residency_rule]
            self._unservable[key] = tuple(
                name
                for name in services
                if name in self.tables["Service"]
                and allowed.isdisjoint(self.regions_by_service.get(name, ()))
            )
        return self._unservable[key]

    @functools.cached_property
    def models(self):
        """Service and model version, by ``model`` and ``model@version``."""
        found = {}
        for service in self.rows("Service"):
            for name in service.model_versions or ():
                row = self.get("ModelVersion", name)
                if row is None:
                    continue
                target = (service.name, name)
                found.setdefault(row.model, target)
                found.setdefault(f"{row.model}@{row.version}", target)
        return found

    @functools.cached_property
    def credentials(self):
        """Rows of credentials, by hash of the token."""
        rows = self.rows("CallerCredential")
        return {row.token_sha256: row for row in rows}

    @functools.cached_property
    def shared_hashes(self):
        """Names of credentials that share a hash, by hash."""
        if len(self.credentials) == len(self.tables["CallerCredential"]):
            return {}
        names = collections.defaultdict(list)
        for row in self.rows("CallerCredential"):
            names[row.token_sha256].append(row.name)
        return {key: found for key, found in names.items() if len(found) > 1}


def build_index(named_objects, broken=frozenset()):
    """Build the index of a set.

    :param named_objects: objects of valid shape, which may come from a
        generator; of equal names the last counts.
    :param broken: (kind, name) of objects left out because of their shape.
    :returns: an :class:`ObjectIndex`.
    """
    tables = {kind: {} for kind in _kinds.KINDS}
    _put_rows(tables, named_objects)
    return ObjectIndex(tables, broken)


def changed_index(index, put, remove):
    """Index of a set with some objects changed.

    :param index: index of the set before.
    :param put: objects created or replaced.
    :param remove: names of objects removed.
    :returns: a new index that shares what is unchanged.
    """
    tables = dict(index.tables)
    touched = {entry["kind"] for entry in (*put, *remove)}
    for kind in touched:
        tables[kind] = dict(tables[kind])
    for entry in remove:
        tables[entry["kind"]].pop(entry["name"], None)
    _put_rows(tables, put)
    result = ObjectIndex(tables, index.broken)
    if "CallerCredential" not in touched:
        vars(result)["credentials"] = index.credentials
    return result


def _put_rows(tables, named_objects):
    """Put rows into tables; equal names and lists are held only once."""
    sharing = _rows.Sharing(tables)
    for entry in named_objects:
        kind = entry["kind"]
        row = _rows.pack(kind, entry["object"], sharing)
        tables[kind][row.name] = row
