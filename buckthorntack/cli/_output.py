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
        print(json.dumps(document, indent=2), file=context.stdout)
        return
    for line in lines:
        print(printable(line), file=context.stdout)


def printable(text):
    """Text with control characters and the like escaped, but line ends.

    :param text: the text, which may come from others.
    :returns: what a terminal can be given.

    >>> printable("a\\x1b[31m")
    'a\\\\x1b[31m'
    """
    return "".join(
        letter if letter.isprintable() or letter == "\n" else _escape(letter)
        for letter in text
    )


def _escape(letter):
    return letter.encode("unicode_escape").decode("ascii")


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
    line = f"buckthorntack {arguments.command}: {error}"
    print(printable(line), file=context.stderr)


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
