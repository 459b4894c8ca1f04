"""Rules of services, model versions and pools."""

import collections

from buckthorntack.objects import _findings
from buckthorntack.objects import _registry

PATTERN_END = "/*"


def _service_finding(rule, service, field, message, remedy):
    return _findings.finding(
        rule, "Service", service.name, field, message, remedy
    )


@_registry.rule("service_kind_fields", "Service")
def service_kind_fields(service, _index):
    """A model service has model versions, a plain service has calls.

    :param service: row of the service.
    """
    is_model = service.kind == "model"
    needed = "model_versions" if is_model else "calls"
    foreign = "calls" if is_model else "model_versions"
    if not getattr(service, needed):
        yield _service_finding(
            "service_kind_fields",
            service,
            needed,
            f"a {service.kind} service needs {needed}",
            f"list its {needed}, or change kind",
        )
    if getattr(service, foreign):
        yield _service_finding(
            "service_kind_fields",
            service,
            foreign,
            f"a {service.kind} service has no {foreign}",
            f"remove {foreign}, or change kind",
        )


@_registry.rule("service_calls", "Service")
def service_calls(service, _index):
    """Calls are listed once, with well-formed paths.

    :param service: row of the service.
    """
    seen = set()
    for place, call in enumerate(service.calls or ()):
        path = f"calls[{place}]"
        if (call.method, call.path) in seen:
            yield _service_finding(
                "duplicate_call",
                service,
                path,
                f"{call.method} {call.path} is listed twice",
                "keep one of them",
            )
        seen.add((call.method, call.path))
        if not _is_path(call.path):
            yield _service_finding(
                "call_path",
                service,
                f"{path}.path",
                f"{call.path!r} is no path of a call",
                "start with a slash, use no empty, '.' or '..' part, no "
                "query, and * only as a trailing /*",
            )


def _is_path(path):
    stem = path.removesuffix(PATTERN_END)
    if any(letter in stem for letter in "*?#%\\"):
        return False
    if path == "/":
        return True
    is_pattern = stem != path
    parts = stem.split("/")[1:]
    if is_pattern and not parts:
        return True
    return all(part not in ("", ".", "..") for part in parts)


@_registry.rule("model_offered_twice", reads=["Service", "ModelVersion"])
def model_offered_twice(index):
    """A model is offered by one service, each version once.

    :param index: the set.
    """
    services = collections.defaultdict(set)
    for service in index.rows("Service"):
        versions = set()
        for name in service.model_versions or ():
            row = index.get("ModelVersion", name)
            if row is None:
                continue
            services[row.model].add(service.name)
            if row[1:3] in versions:
                yield _service_finding(
                    "model_version_offered_twice",
                    service,
                    "model_versions",
                    f"{row.model}@{row.version} is offered twice",
                    "keep one of the model versions",
                )
            versions.add(row[1:3])
    for model, names in services.items():
        if len(names) > 1:
            yield _findings.finding(
                "model_offered_twice",
                "Service",
                max(names),
                "model_versions",
                f"model {model!r} is offered by {', '.join(sorted(names))}",
                "offer a model by one service only",
            )


@_registry.rule("service_without_pool", "Service", ["BackendServerPool"])
def service_without_pool(service, index):
    """Each service has a pool, each of its model versions too.

    :param service: row of the service.
    :param index: the set.
    """
    pools = index.pools_by_service.get(service.name, ())
    if not pools:
        yield _service_finding(
            "service_without_pool",
            service,
            "name",
            "no backend server pool serves it",
            "add a BackendServerPool with this service, or remove it",
        )
        return
    loaded = set()
    for pool in pools:
        loaded.update(pool.model_versions or ())
    for name in service.model_versions or ():
        if name not in loaded:
            yield _service_finding(
                "model_version_without_pool",
                service,
                "model_versions",
                f"no pool of the service may load {name!r}",
                "name it in a pool's model_versions, or stop offering it",
            )


@_registry.rule("pool_model_versions", "BackendServerPool", ["Service"])
def pool_model_versions(pool, index):
    """A pool may load model versions that its service offers.

    :param pool: row of the pool.
    :param index: the set.
    """
    service = index.get("Service", pool.service)
    if service is None:
        return
    if service.kind == "model" and not pool.model_versions:
        message = f"service {service.name!r} runs models"
        remedy = "list the model versions that its engines may load"
        yield _pool_finding(pool, message, remedy)
    for name in pool.model_versions or ():
        if name not in (service.model_versions or ()):
            message = f"service {service.name!r} does not offer {name!r}"
            remedy = "remove it here, or offer it in the service"
            yield _pool_finding(pool, message, remedy)


def _pool_finding(pool, message, remedy):
    return _findings.finding(
        "pool_model_versions",
        "BackendServerPool",
        pool.name,
        "model_versions",
        message,
        remedy,
    )
