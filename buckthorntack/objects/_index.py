"""Index of a set of objects: rows by kind and name, and derived lookups."""

import collections
import functools

from buckthorntack.objects import _kinds
from buckthorntack.objects import _rows


class ObjectIndex:
    """Immutable index of rows by kind and name.

    :param tables: dictionary of rows by name, for each kind.
    :param malformed: (kind, name) of objects left out because they violate
        their schema.
    """

    def __init__(self, tables, malformed=frozenset()):
        self.tables = tables
        self.malformed = malformed
        self._unservable = {}

    def get(self, kind, name):
        """Return the row of an object.

        :param kind: its kind.
        :param name: its name.
        :returns: the row, or ``None``.
        """
        return self.tables[kind].get(name)

    def rows(self, kind):
        """Return all rows of a kind.

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
        """Regions of the failure domains of a service's pools, by service."""
        regions = collections.defaultdict(set)
        for row in self.rows("BackendServerPool"):
            regions[row.service] |= self.regions_of_domains(
                row.failure_domains
            )
        return {name: frozenset(found) for name, found in regions.items()}

    def regions_of_domains(self, names):
        """Return the regions of failure domains.

        :param names: names of failure domains; unknown ones are ignored.
        :returns: set of region names.
        """
        rows = (self.get("FailureDomain", name) for name in names)
        return {row.region for row in rows if row is not None}

    @functools.cached_property
    def regions_by_residency_rule(self):
        """Allowed regions, by residency rule."""
        rows = self.rows("ResidencyRule")
        return {row.name: frozenset(row.regions) for row in rows}

    def find_unservable_services(self, residency_rule, services):
        """Find services without a pool in the regions of a residency rule.

        :param residency_rule: name of a known residency rule.
        :param services: names of services; unknown ones are ignored.
        :returns: tuple of names.
        """
        key = (residency_rule, services)
        if key not in self._unservable:
            allowed = self.regions_by_residency_rule[residency_rule]
            self._unservable[key] = tuple(
                name
                for name in services
                if name in self.tables["Service"]
                and allowed.isdisjoint(self.regions_by_service.get(name, ()))
            )
        return self._unservable[key]

    @functools.cached_property
    def targets_by_model(self):
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
    def credentials_by_hash(self):
        """Rows of credentials, by hash of the token."""
        rows = self.rows("CallerCredential")
        return {row.token_sha256: row for row in rows}

    @functools.cached_property
    def names_by_shared_hash(self):
        """Names of credentials that share a hash, by hash."""
        if len(self.credentials_by_hash) == len(
            self.tables["CallerCredential"]
        ):
            return {}
        names = collections.defaultdict(list)
        for row in self.rows("CallerCredential"):
            names[row.token_sha256].append(row.name)
        return {key: found for key, found in names.items() if len(found) > 1}


def build_index(named_objects, malformed=frozenset()):
    """Build the index of a set.

    :param named_objects: iterable of objects that match their schema; if a
        name repeats, the last object is kept.
    :param malformed: (kind, name) of objects left out because they violate
        their schema.
    :returns: an :class:`ObjectIndex`.
    """
    tables = {kind: {} for kind in _kinds.KINDS}
    _put_rows(tables, named_objects)
    return ObjectIndex(tables, malformed)


def build_changed_index(index, put, remove):
    """Build the index of a set with some objects changed.

    :param index: index of the set before the change.
    :param put: objects created or replaced.
    :param remove: names of objects removed.
    :returns: a new index that shares the tables of unchanged kinds.
    """
    tables = dict(index.tables)
    changed_kinds = {entry["kind"] for entry in (*put, *remove)}
    for kind in changed_kinds:
        tables[kind] = dict(tables[kind])
    for entry in remove:
        tables[entry["kind"]].pop(entry["name"], None)
    _put_rows(tables, put)
    result = ObjectIndex(tables, index.malformed)
    if "CallerCredential" not in changed_kinds:
        vars(result)["credentials_by_hash"] = index.credentials_by_hash
    return result


def _put_rows(tables, named_objects):
    """Add rows to the tables; equal names and lists are interned."""
    intern_table = _rows.InternTable(tables)
    for entry in named_objects:
        kind = entry["kind"]
        row = _rows.pack(kind, entry["object"], intern_table)
        tables[kind][row.name] = row
