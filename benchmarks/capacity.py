"""Measures the slopes of the capacity page.

Each subject runs in a process of its own, one after the other.  Usage::

    python -m benchmarks.capacity [--subject links]... [--folder docs/capacity]
"""

import argparse
import json
import pathlib
import subprocess
import sys

from benchmarks import _fits
from benchmarks import _subjects

TIMEOUT_SECONDS = 300


def run_subject(name):
    """Measure a subject in this process and print it as JSON.

    :param name: the subject.
    """
    series, figures = _subjects.SUBJECTS[name]()
    document = {
        "subject": name,
        "series": [
            {**one._asdict(), "fit": one.fit()._asdict()} for one in series
        ],
        "figures": figures,
    }
    print(json.dumps(document))


def measure(name, folder):
    """Measure a subject in a process of its own, and keep the result.

    :param name: the subject.
    :param folder: where to keep it.
    :returns: the result.
    """
    command = [sys.executable, "-m", "benchmarks.capacity", "--run", name]
    done = subprocess.run(
        command,
        stdout=subprocess.PIPE,
        check=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
    )
    document = json.loads(done.stdout.splitlines()[-1])
    text = json.dumps(document, indent=1) + "\n"
    (folder / f"{name}.json").write_text(text)
    return document


def plot(document, folder):
    """Plot the series of a subject, with their lines.

    :param document: result of the subject.
    :param folder: where to write.
    """
    import matplotlib  # heavy, and needed only for plots

    matplotlib.use("Agg")
    from matplotlib import pyplot

    count = len(document["series"])
    if not count:
        return
    figure, axes = pyplot.subplots(
        1, count, figsize=(3 * count, 2.4), squeeze=False
    )
    for axis, one in zip(axes[0], document["series"], strict=True):
        fit = _fits.Fit(**one["fit"])
        line = [fit.at(size) for size in one["sizes"]]
        axis.plot(one["sizes"], one["values"], "o", one["sizes"], line, "-")
        axis.set_title(one["name"][:32], fontsize=7)
        axis.set_xlabel(one["size_label"], fontsize=7)
        axis.set_ylabel(one["value_label"], fontsize=7)
        axis.tick_params(labelsize=6)
    figure.tight_layout()
    figure.savefig(folder / f"{document['subject']}.png", dpi=70)
    pyplot.close(figure)


def table(documents):
    """Slopes and single figures as a page.

    :param documents: results of the subjects.
    """
    lines = [
        "# Measured slopes",
        "",
        "Written by `make capacity`. value = slope x size + intercept.",
        "",
        "| subject | what | size | value | slope | intercept | "
        "largest residual | sizes |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for document in documents:
        lines += [_row(document["subject"], s) for s in document["series"]]
    lines += ["", "| subject | figure | value |", "|---|---|---|"]
    for document in documents:
        lines += [
            f"| {document['subject']} | {name} | {value:.5g} |"
            for name, value in document["figures"].items()
        ]
    return "\n".join(lines) + "\n"


def _row(subject, series):
    fit = _fits.Fit(**series["fit"])
    sizes = ", ".join(str(size) for size in series["sizes"])
    return (
        f"| {subject} | {series['name']} | {series['size_label']} "
        f"| {series['value_label']} | {fit.slope:.4g} | {fit.intercept:.4g} "
        f"| {fit.residual:.3g} | {sizes} |"
    )


def main():
    """Measure, plot and write the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    names = list(_subjects.SUBJECTS)
    parser.add_argument("--subject", action="append", choices=names)
    parser.add_argument("--run", choices=names, help=argparse.SUPPRESS)
    parser.add_argument("--folder", default="docs/capacity")
    arguments = parser.parse_args()
    if arguments.run:
        run_subject(arguments.run)
        return
    folder = pathlib.Path(arguments.folder)
    folder.mkdir(parents=True, exist_ok=True)
    for name in arguments.subject or names:
        plot(measure(name, folder), folder)
        print(f"measured {name}", flush=True)
    kept = [folder / f"{name}.json" for name in names]
    documents = [json.loads(p.read_text()) for p in kept if p.exists()]
    (folder / "slopes.md").write_text(table(documents))


if __name__ == "__main__":
    main()
