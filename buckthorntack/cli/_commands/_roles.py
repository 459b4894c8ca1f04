"""What the subcommands that run a node have in common."""

from buckthorntack.cli import _exit_codes


def add_arguments(parser):
    """Add the options of a node.

    :param parser: parser of the subcommand.
    """
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="settings file"
    )
    parser.add_argument(
        "--check-only",
        action="store_true",
        help="check the settings and do not start",
    )


def run_role(role, arguments, context):
    """Run a node that holds at least one role.

    :param role: the role asked for.
    :param arguments: arguments of the subcommand.
    :param context: where to print.
    :returns: an exit code.
    """
    from buckthorntack import settings

    loaded = settings.load(arguments.settings)
    if loaded.is_error():
        print(loaded.error, file=context.stderr)
        return _exit_codes.ExitCode.FINDINGS
    if role not in loaded.ok["roles"]:
        finding = settings.SettingsFinding(
            "$.roles",
            f"they do not hold {role}",
            f"add {role}, or start another role",
        )
        print(f"{arguments.settings}: {finding}", file=context.stderr)
        return _exit_codes.ExitCode.FINDINGS
    if arguments.check_only:
        return _exit_codes.ExitCode.OK
    from buckthorntack import node

    return node.run(loaded.ok) or _exit_codes.ExitCode.OK
