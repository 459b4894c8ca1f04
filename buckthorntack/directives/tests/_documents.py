"""Builders of configurations for tests."""

import datetime

from buckthorntack import directives

_MS = datetime.timedelta(milliseconds=1)


def service(name="text", engine=True, **fields):
    made = directives.Service(
        name=name,
        health_path="/healthz",
        max_connections=100,
        warmup_per_s=5.0,
        engine=directives.EngineProfile(8, 100_000) if engine else None,
    )
    return made._replace(**fields)


def route(name="r", prefix="/a/", **fields):
    made = directives.Route(
        name=name,
        host="a.example",
        path_prefix=prefix,
        kind=directives.RequestKind.STREAM,
        splits=(directives.Split("text", 1.0),),
        timeout=5000 * _MS,
        objective=800 * _MS,
        pause_objective=400 * _MS,
        priority=0,
        max_attempts=2,
        resumable=True,
        has_prompts=True,
        allowed_regions=frozenset(),
    )
    return made._replace(**fields)


def configuration(*routes, version=1, services=None):
    services = services or [service(), service("desk", False)]
    return directives.Configuration(
        version,
        routes or (route(),),
        {item.name: item for item in services},
        directives.RequestLimits(16384, 4194304, 3000 * _MS, 15000 * _MS),
    )
