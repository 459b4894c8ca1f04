"""Reports of runs as text."""

from buckthorntack.bench import _report

HEADER = (
    "policy",
    "seed",
    "requests",
    "answered",
    "ttft p50",
    "p95",
    "p99 ms",
    "gap p99 ms",
    "cost",
    "wasted",
    "cached",
    "away",
    "violations",
    "lag p99 ms",
)


def row(figures):
    """Cells of one run for a table with :data:`HEADER`.

    :param figures: ``Figures``.
    """
    first = figures.first_token_ms
    return (
        figures.policy,
        figures.seed,
        figures.requests,
        figures.answered,
        first["p50"],
        first["p95"],
        first["p99"],
        figures.between_tokens_ms["p99"],
        f"{figures.cost:.5f}",
        figures.wasted_tokens,
        f"{figures.cached_share:.3f}",
        f"{figures.share_away:.3f}",
        len(figures.violations),
        figures.loop_lag_p99_ms,
    )


def remarks(all_figures):
    """Lines below the table: refusals, violations and ratios.

    :param all_figures: list of ``Figures``.
    :returns: list of lines.
    """
    lines = []
    for one in all_figures:
        name = f"{one.policy}, seed {one.seed}"
        for refusal, count in one.refusals.items():
            lines.append(f"{name}: {count} refused: {refusal}")
        for violation in one.violations[: _report.MOST_VIOLATIONS_TOLD]:
            told = ": ".join(violation)
            lines.append(f"{name}: VIOLATION {told}")
    for ratio in _report.ratios(all_figures):
        cells = [f"{key} {value}" for key, value in ratio.items()]
        lines.append("ratios: " + ", ".join(cells))
    return lines
