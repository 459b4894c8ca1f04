"""Publish a folder of objects.

The change is based on the revision that the folder was last equal to, so
that it cannot undo what others published since.  It is kept in the folder
until its answer is known: after a lost answer, run the command again, and
the same change is sent under the same change id.
"""

import uuid

from buckthorntack import errors
from buckthorntack.cli import _differences
from buckthorntack.cli import _exit_codes
from buckthorntack.cli import _folders
from buckthorntack.cli import _output
from buckthorntack.cli import _servers

NAME = "apply"
HELP = "publish a folder of objects"

_NOT_RUN = errors.RunState.NOT_RUN


def add_arguments(parser):
    """Add the options.

    :param parser: parser of the subcommand.
    """
    parser.add_argument("folder", help="folder of *.json files")
    parser.add_argument(
        "--prune",
        action="store_true",
        help="remove objects in force that the folder does not hold",
    )
    parser.add_argument(
        "--base-revision",
        type=int,
        metavar="N",
        help="revision that the folder was prepared on (default: the one it "
        "was last equal to, else the present one)",
    )
    parser.add_argument(
        "--discard-pending",
        action="store_true",
        help="do not ask for the answer to a change sent before",
    )
    parser.add_argument(
        "--stopped-entry-vm",
        action="append",
        default=[],
        metavar="NODE",
        help="entry VM that you made sure is stopped, so that a change that "
        "takes an organisation out of its region does not wait for it; may "
        "be repeated",
    )
    parser.add_argument("--note", default="", help="kept in the history")
    _servers.add_server_options(parser)
    _output.add_output_option(parser)


async def run(arguments, context):
    """Publish the folder.

    :param arguments: arguments of the subcommand.
    :param context: where to print.
    :returns: an exit code.
    """
    named_objects = _folders.read_checked(arguments, context)
    if named_objects is None:
        return _exit_codes.ExitCode.FINDINGS
    async with _servers.make_client(context, arguments) as client:
        await _resend_pending(client, arguments, context)
        in_force = _servers.unwrap(await client.objects())
        change = _prepare(arguments, named_objects, in_force)
        if not change["put"] and not change["remove"]:
            return _unchanged(arguments, context, in_force["revision"])
        result = await _send(client, arguments.folder, change)
    return _report(arguments, context, result, change)


async def _resend_pending(client, arguments, context):
    """Learn the answer to a change sent before."""
    if arguments.discard_pending:
        _folders.forget_pending(arguments.folder)
    change = _folders.pending_change(arguments.folder)
    if change is None:
        return
    result = _servers.unwrap(await client.apply(change))
    _settle(arguments.folder, result)
    outcome = "accepted" if result["accepted"] else "refused"
    print(
        f"change {change['change_id']} sent before was {outcome}; "
        f"revision {result['revision']}",
        file=context.stderr,
    )


async def _send(client, folder, change):
    """Send a new change; it stays pending while it may have been accepted."""
    _folders.remember_pending(folder, change)
    answer = await client.apply(change)
    if answer.is_error() and answer.error.run_state == _NOT_RUN:
        _folders.forget_pending(folder)
    result = _servers.unwrap(answer)
    _settle(folder, result)
    return result


def _settle(folder, result):
    """Note the answer to a change."""
    if result["accepted"]:
        _folders.remember_base(folder, result["revision"])
    _folders.forget_pending(folder)


def _prepare(arguments, named_objects, in_force):
    found = _differences.find_differences(named_objects, in_force["objects"])
    base = arguments.base_revision
    if base is None:
        base = _folders.base_revision(arguments.folder)
    if base is None:
        base = in_force["revision"]
    change = {
        "change_id": uuid.uuid4().hex,
        "base_revision": base,
        "put": found.put(),
        "remove": found.missing if arguments.prune else [],
        "note": arguments.note.encode("utf-8", "replace").decode(),
    }
    if arguments.stopped_entry_vm:
        change["stopped_entry_vms"] = arguments.stopped_entry_vm
    return change


def _unchanged(arguments, context, revision):
    _folders.remember_base(arguments.folder, revision)
    document = {"accepted": True, "revision": revision, "changed": 0}
    line = f"nothing to change; revision {revision}"
    _output.write(context, arguments, document, [line])
    return _exit_codes.ExitCode.OK


def _report(arguments, context, result, change):
    if result.get("findings"):
        _folders.write_findings(arguments, context, result["findings"])
        return _exit_codes.ExitCode.FINDINGS
    if not result["accepted"]:
        line = (
            f"conflict: prepared on revision {change['base_revision']}, but "
            f"revision {result['revision']} is in force; remedy: see 'diff' "
            "and 'history', take over the other change, then apply with "
            f"--base-revision {result['revision']}"
        )
        _output.write(context, arguments, result, [line])
        return _exit_codes.ExitCode.CONFLICT
    count = len(change["put"]) + len(change["remove"])
    line = (
        f"published revision {result['revision']}: {count} objects changed "
        f"(change {change['change_id']})"
    )
    document = {**result, "changed": count}
    _output.write(context, arguments, document, [line])
    return _exit_codes.ExitCode.OK
