"""Print the state of the configuration and which regions confirmed it."""

from buckthorntack.cli import _exit_codes
from buckthorntack.cli import _output
from buckthorntack.cli import _servers

NAME = "status"
HELP = "print the state of the configuration"

_REGION_COLUMNS = ("region", "revision", "nodes", "nodes_behind")


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
        [region[column] for column in _REGION_COLUMNS]
        for region in found["regions"]
    ]
    return [
        f"revision {found['revision']} at {found['node_id']}; "
        f"leader {leader}; {quorum}",
        "",
        *_output.table(_REGION_COLUMNS, regions),
        "",
        *replica_lines(found["replicas"]),
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
