"""Drive a deployment of this machine with a mix of requests and measure."""

import pathlib

from buckthorntack.cli import _exit_codes
from buckthorntack.cli import _output

NAME = "load"
HELP = "measure a deployment under load and faults"
DEFAULT_POLICIES = "gateway,random,round_robin,least_loaded"


def add_arguments(parser):
    """Add the options of the command.

    :param parser: parser of the subcommand.
    """
    parser.add_argument(
        "--deployment", choices=["hoardline", "rendimar"], required=True
    )
    parser.add_argument(
        "--policies",
        default=DEFAULT_POLICIES,
        metavar="NAMES",
        help="routing policies, with commas (default: %(default)s)",
    )
    parser.add_argument(
        "--seeds",
        default="1",
        metavar="NUMBERS",
        help="seeds of the mix, with commas (default: %(default)s)",
    )
    parser.add_argument(
        "--seconds", type=float, default=45.0, help="length of one run"
    )
    parser.add_argument(
        "--rate", type=float, default=1.0, help="factor of the usual rate"
    )
    parser.add_argument(
        "--warm-up",
        type=float,
        default=20.0,
        metavar="SECONDS",
        help="time before what is measured (default: %(default)s)",
    )
    parser.add_argument("--faults", metavar="FILE", help="fault schedule")
    parser.add_argument("--plots", metavar="FOLDER", help="write plots there")
    parser.add_argument(
        "--examples",
        default="examples",
        metavar="FOLDER",
        help="folder of the deployments' objects (default: %(default)s)",
    )
    _output.add_output_option(parser)


async def run(arguments, context):
    """Run all policies with all seeds and print the figures.

    :param arguments: arguments of the subcommand.
    :param context: where to print.
    :returns: an exit code; that of findings if a promise was broken.
    """
    import logging

    import logbook

    from buckthorntack import bench

    # Broken connections are among what is measured.
    logging.getLogger("uvicorn").setLevel(logging.CRITICAL)
    handler = logbook.StreamHandler(context.stderr, level="ERROR")
    with handler.applicationbound():
        results = [
            await bench.Driver(plan).run() for plan in _plans(arguments)
        ]
    all_figures = [bench.figures(result) for result in results]
    rows = [bench.row(figures) for figures in all_figures]
    lines = _output.table(bench.HEADER, rows) + bench.remarks(all_figures)
    _output.write(context, arguments, bench.document(all_figures), lines)
    if arguments.plots:
        bench.write_plots(results, pathlib.Path(arguments.plots))
    if any(figures.violations for figures in all_figures):
        return _exit_codes.ExitCode.FINDINGS
    return _exit_codes.ExitCode.OK


def _plans(arguments):
    from buckthorntack import bench

    faults = ()
    if arguments.faults:
        faults = bench.load_schedule(arguments.faults)
    names = bench.named_policies(arguments.policies)
    return [
        bench.RunPlan(
            bench.WORKLOADS[arguments.deployment],
            policy,
            int(seed),
            arguments.seconds,
            arguments.rate,
            faults,
            arguments.examples,
            arguments.warm_up,
        )
        for seed in arguments.seeds.split(",")
        for policy in names
    ]
