"""Output of commands, for people or for programs."""

import json

OUTPUT_CHOICES = ("text", "json")


def add_output_option(parser):
    """Add ``--output``.

    :param parser: parser of a subcommand.
    """
    parser.add_argument(
        "--output",
        choices=OUTPUT_CHOICES,
        default=OUTPUT_CHOICES[0],
        help="how results are printed (default: %(default)s)",
    )


def write(context, arguments, document, lines):
    """Print a result.

    :param context: where to print.
    :param arguments: the command's arguments.
    :param document: the result, printed as JSON if that is asked for.
    :param lines: the result as lines of text.
    """
    if arguments.output == "json":
        lines = [json.dumps(document, indent=2, ensure_ascii=False)]
    for line in lines:
        print(line, file=context.stdout)


def write_error(context, arguments, error):
    """Print an error.

    :param context: where to print.
    :param arguments: the command's arguments.
    :param error: the ``GatewayError``.
    """
    if getattr(arguments, "output", "") == "json":
        content = {
            "number": error.number,
            "type": error.kind,
            "message": error.detail,
            "remedy": error.remedy,
            "run_state": str(error.run_state),
        }
        print(json.dumps({"error": content}, indent=2), file=context.stdout)
        return
    print(f"buckthorntack {arguments.command}: {error}", file=context.stderr)


def table(header, rows):
    """Lines of a table with aligned columns.

    :param header: names of the columns.
    :param rows: the rows, as sequences of values.
    :returns: list of lines.

    >>> table(["name", "n"], [["a", 12]])
    ['name  n', 'a     12']
    """
    texts = [[str(value) for value in row] for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return ["  ".join(map(str.ljust, row, widths)).rstrip() for row in texts]
