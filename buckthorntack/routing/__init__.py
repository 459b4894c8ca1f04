"""Routing of requests to backend servers and failure domains."""

from buckthorntack import _lazy_imports

__getattr__, __dir__, __all__ = _lazy_imports.attach(
    __name__,
    {
        "buckthorntack.routing._baselines": (
            "BaselinePolicy",
            "LeastLoadedPolicy",
            "RandomPolicy",
            "RoundRobinPolicy",
        ),
        "buckthorntack.routing._ejection": ("Ejection",),
        "buckthorntack.routing._errors": (
            "ExcludedError",
            "NoServerError",
            "ResidencyError",
        ),
        "buckthorntack.routing._events": (
            "EJECTED",
            "FORWARDED",
            "REFUSED",
            "ROUTED",
        ),
        "buckthorntack.routing._prefix": (
            "PrefixIndex",
            "format_prefix_hash",
            "prefix_hashes",
        ),
        "buckthorntack.routing._prompt": ("Prompt", "read_prompt"),
        "buckthorntack.routing._router": ("Router",),
        "buckthorntack.routing._types": (
            "AttemptOutcome",
            "Reasons",
            "RouteDecision",
            "RouteForward",
            "RouteLocal",
            "RouteRequest",
            "RouterSettings",
        ),
    },
)
