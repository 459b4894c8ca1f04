"""Plots of runs."""

import pathlib


def write(results, folder):
    """Plot the time to the first token of each run, by percentile.

    :param results: list of ``RunResult``.
    :param folder: where to write ``first_token.png``.
    :returns: path of the plot.
    """
    import matplotlib  # heavy, and needed only for plots

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots()
    for result in results:
        times_ms = _times_ms(result)
        shares = [(i + 1) / len(times_ms) for i in range(len(times_ms))]
        label = f"{result.plan.policy}, seed {result.plan.seed}"
        axes.plot(times_ms, shares, label=label)
    axes.set_xscale("log")
    axes.set_xlabel("time to first token (ms)")
    axes.set_ylabel("share of model requests")
    axes.legend()
    path = pathlib.Path(folder) / "first_token.png"
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path)
    pyplot.close(figure)
    return path


def _times_ms(result):
    return sorted(
        seen.first_token_ms
        for seen in result.observations
        if seen.whole and seen.request.kind.max_tokens
    )
