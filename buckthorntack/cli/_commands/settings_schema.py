"""Print the JSON schema of settings files."""

import json

from buckthorntack.cli import _exit_codes

NAME = "settings-schema"
HELP = "print the JSON schema of settings files"


def add_arguments(parser):
    """Add no options.

    :param parser: parser of the subcommand.
    """


def run(arguments, context):
    """Print the schema.

    :param arguments: arguments of the subcommand.
    :param context: where to print.
    :returns: an exit code.
    """
    from buckthorntack import schema

    document = schema.document_schema("settings")
    whole = {**document, "$ref": "#/$defs/Settings"}
    print(json.dumps(whole, indent=2), file=context.stdout)
    return _exit_codes.ExitCode.OK
