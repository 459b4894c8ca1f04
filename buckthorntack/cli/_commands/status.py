"""Print the state of the configuration and which regions confirmed it."""

from buckthorntack.cli import _exit_codes
from buckthorntack.cli import _output
from buckthorntack.cli import _servers

NAME = "status"
HELP = "print the state of the configuration"

_REGION_COLUMNS = (
    "region",
    "revision",
    "in_force",
    "behind",
    "out_of_contact",
)

#: Most names that are listed in a cell.
_MAX_NAMES = 4


def add_arguments(parser):
    """Add the options.

    :param parser: parser of the subcommand.
    """
    _servers.add_server_options(parser)
    _output.add_output_option(parser)


async def run(arguments, context):
    """Print the state.

    :param arguments: arguments of the subcommand.
    :param context: where to print.
    :returns: an exit code.
    """
    async with _servers.make_client(context, arguments) as client:
        found = _servers.unwrap(await client.status())
    _output.write(context, arguments, found, _lines(found))
    return _exit_codes.ExitCode.OK


def _lines(found):
    quorum = "changes can be accepted" if found["has_quorum"] else "no quorum"
    leader = found.get("leader", "unknown")
    regions = [
        [_cell(region[column]) for column in _REGION_COLUMNS]
        for region in found["regions"]
    ]
    return [
        f"revision {found['revision']} at {found['node_id']}; "
        f"leader {leader}; {quorum}",
        *_pending_lines(found.get("changes", ())),
        "",
        *_output.table(_REGION_COLUMNS, regions),
        "",
        *replica_lines(found["replicas"]),
    ]


def _cell(value):
    """Names of a list, or how many there are."""
    if not isinstance(value, list):
        return value
    if len(value) > _MAX_NAMES:
        return str(len(value))
    return ",".join(value) or "-"


def _pending_lines(changes):
    return [
        f"change {change['change_id']} is pending; entry VMs that have not "
        f"confirmed it: {', '.join(_unconfirmed(change))}"
        for change in changes
        if change["pending"]
    ]


def _unconfirmed(change):
    return [
        node_id
        for region in change["regions"]
        for node_id in (*region["behind"], *region["out_of_contact"])
    ]


def replica_lines(replicas):
    """Table of replicas.

    :param replicas: list of ``ReplicaStatus``.
    :returns: list of lines.
    """
    rows = [
        [replica["node_id"], replica["role"], _voter(replica)]
        for replica in replicas
    ]
    return _output.table(["replica", "role", "votes"], rows)


def _voter(replica):
    return "yes" if replica["voter"] else "no"
