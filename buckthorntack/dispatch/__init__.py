"""Choice of the backend server or region that gets a request."""

from buckthorntack import _lazy_imports

__getattr__, __dir__, __all__ = _lazy_imports.attach(
    __name__,
    {
        "buckthorntack.dispatch._choice": ("Dispatcher",),
        "buckthorntack.dispatch._decisions": (
            "Forward",
            "Refuse",
            "RoutingRequest",
            "Serve",
        ),
        "buckthorntack.dispatch._events": ("REQUEST_ROUTED",),
        "buckthorntack.dispatch._exchange": ("UsageExchange",),
        "buckthorntack.dispatch._fleet": ("Fleet", "InFlightRequest"),
        "buckthorntack.dispatch._hedging": ("Hedging", "Withheld"),
        "buckthorntack.dispatch._organisation_shares": ("OrganisationShares",),
        "buckthorntack.dispatch._outcomes": ("Outcome",),
        "buckthorntack.dispatch._prompts": ("Part", "PrefixCache", "Prompt"),
        "buckthorntack.dispatch._reachability": ("Reachability",),
        "buckthorntack.dispatch._report_ranges": ("set_aside_unsound",),
        "buckthorntack.dispatch._restarts": (
            "RestartCheck",
            "RestartWatch",
        ),
        "buckthorntack.dispatch._retry_budgets": ("RetryBudgets",),
        "buckthorntack.dispatch._returns": ("Returns",),
        "buckthorntack.dispatch._server_limits": (
            "REJECTION_HOLD_S",
            "ServerLimits",
        ),
        "buckthorntack.dispatch._server_rates": ("RateLimits", "ServerRates"),
        "buckthorntack.dispatch._settings": ("DispatchSettings",),
        "buckthorntack.dispatch._shared_rate": ("rendezvous_score",),
        "buckthorntack.dispatch._shared_room": ("Room",),
        "buckthorntack.dispatch._shared_sums": ("SharedSums", "SumListener"),
    },
)
