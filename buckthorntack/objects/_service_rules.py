"""Rules of services, model versions and pools."""

import collections

from buckthorntack.objects import _findings
from buckthorntack.objects import _registry

#: Suffix of a call path that covers all paths with the same prefix.
PATTERN_SUFFIX = "/*"


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
    excluded = "calls" if is_model else "model_versions"
    if not getattr(service, needed):
        yield _service_finding(
            "service_kind_fields",
            service,
            needed,
            f"a {service.kind} service needs {needed}",
            f"list its {needed}, or change kind",
        )
    if getattr(service, excluded):
        yield _service_finding(
            "service_kind_fields",
            service,
            excluded,
            f"a {service.kind} service has no {excluded}",
            f"remove {excluded}, or change kind",
        )


@_registry.rule("duplicate_call", "Service")
def duplicate_call(service, _index):
    """A service lists each call once.

    :param service: row of the service.
    """
    seen = set()
    for position, call in enumerate(service.calls or ()):
        if call[:2] in seen:
            yield _service_finding(
                "duplicate_call",
                service,
                f"calls[{position}]",
                f"{call.method} {call.path} is listed twice",
                "keep one of them",
            )
        seen.add(call[:2])


@_registry.rule("contradictory_calls", "Service")
def contradictory_calls(service, _index):
    """No idempotent pattern covers a call that is not idempotent.

    :param service: row of the service.
    """
    calls = service.calls or ()
    non_idempotent = [call for call in calls if not call.idempotent]
    for position, pattern in enumerate(calls):
        if not (pattern.idempotent and pattern.path.endswith(PATTERN_SUFFIX)):
            continue
        prefix = pattern.path.removesuffix(PATTERN_SUFFIX)
        for call in non_idempotent:
            if call.method == pattern.method and _covers_path(
                prefix, call.path
            ):
                yield _service_finding(
                    "contradictory_calls",
                    service,
                    f"calls[{position}]",
                    f"{pattern.method} {pattern.path} is idempotent and "
                    f"covers {call.path}, which is not",
                    "list the idempotent paths one by one",
                )


def _covers_path(prefix, path):
    return f"{path}/".startswith(f"{prefix}/")


@_registry.rule("call_path", "Service")
def call_path(service, _index):
    """The path of a call is well-formed.

    :param service: row of the service.
    """
    for position, call in enumerate(service.calls or ()):
        if not _is_call_path(call.path):
            yield _service_finding(
                "call_path",
                service,
                f"calls[{position}].path",
                f"{call.path!r} is not a valid call path",
                "start with a slash, use no empty, '.' or '..' segment, no "
                "query, and * only as a trailing /*",
            )


def _is_call_path(path):
    prefix = path.removesuffix(PATTERN_SUFFIX)
    if any(character in prefix for character in "*?#%\\"):
        return False
    if path == "/":
        return True
    is_pattern = prefix != path
    parts = prefix.split("/")[1:]
    if is_pattern and not parts:
        return True
    return all(part not in ("", ".", "..") for part in parts)


@_registry.rule("model_offered_twice", reads=["Service", "ModelVersion"])
def model_offered_twice(index):
    """A model is offered by one service only.

    :param index: the set.
    """
    services = collections.defaultdict(set)
    for service in index.rows("Service"):
        for row in _list_model_versions(service, index):
            services[row.model].add(service.name)
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


@_registry.rule("model_version_offered_twice", "Service", ["ModelVersion"])
def model_version_offered_twice(service, index):
    """A service offers each version of a model once.

    :param service: row of the service.
    :param index: the set.
    """
    seen = set()
    for row in _list_model_versions(service, index):
        if (row.model, row.version) in seen:
            yield _service_finding(
                "model_version_offered_twice",
                service,
                "model_versions",
                f"{row.model}@{row.version} is offered twice",
                "keep one of the model versions",
            )
        seen.add((row.model, row.version))


def _list_model_versions(service, index):
    names = service.model_versions or ()
    rows = (index.get("ModelVersion", name) for name in names)
    return [row for row in rows if row is not None]


@_registry.rule("service_without_pool", "Service", ["BackendServerPool"])
def service_without_pool(service, index):
    """Each service has a backend server pool.

    :param service: row of the service.
    :param index: the set.
    """
    if service.name not in index.pools_by_service:
        yield _service_finding(
            "service_without_pool",
            service,
            "name",
            "no backend server pool serves this service",
            "add a BackendServerPool with this service, or remove it",
        )


@_registry.rule("model_version_without_pool", "Service", ["BackendServerPool"])
def model_version_without_pool(service, index):
    """Each model version of a service may be loaded by one of its pools.

    :param service: row of the service.
    :param index: the set.
    """
    pools = index.pools_by_service.get(service.name, ())
    loaded = {name for pool in pools for name in pool.model_versions or ()}
    for name in service.model_versions or ():
        if pools and name not in loaded:
            yield _service_finding(
                "model_version_without_pool",
                service,
                "model_versions",
                f"no pool of the service may load {name!r}",
                "name it in a pool's model_versions, or stop offering it",
            )


@_registry.rule("pool_model_versions", "BackendServerPool", ["Service"])
def pool_model_versions(pool, index):
    """A pool loads only model versions that its service offers.

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
