"""Checks that compare several fields of a settings file."""

import collections
import urllib.parse

from buckthorntack.settings import _addresses
from buckthorntack.settings import _errors

_LISTENERS = ("callers", "backends", "admin", "metrics")
_REQUIRED_LISTENERS = {"entry": ("callers", "backends"), "control": ("admin",)}
#: Smallest ratio of the election timeout to the heartbeat interval.
_MIN_HEARTBEATS = 3


def find_inconsistencies(settings):
    """Find contradictions between fields.

    :param settings: settings that match the schema, with defaults.
    :returns: list of findings.
    """
    checks = (
        _check_roles,
        _check_local_node,
        _check_unique_nodes,
        _check_control_nodes,
        _check_ledger_homes,
        _check_addresses,
        _check_tls,
        _check_timing,
        _check_key_files,
    )
    return [finding for check in checks for finding in check(settings)]


def _finding(path, message, remedy):
    return _errors.SettingsFinding(path, message, remedy)


def _list_nodes_by_id(settings):
    return {node["node_id"]: node for node in settings["nodes"]}


def _check_roles(settings):
    for role in settings["roles"]:
        for listener in _REQUIRED_LISTENERS[role]:
            if listener not in settings:
                yield _finding(
                    f"$.{listener}",
                    f"role {role} needs this listener",
                    f"add {listener} with a listen_address or remove the role",
                )
    requires_tokens = "control" in settings["roles"]
    if requires_tokens and "operator_tokens_file" not in settings["keys"]:
        yield _finding(
            "$.keys.operator_tokens_file",
            "role control needs the operators' tokens",
            "create one with 'buckthorntack keys operator' and set its path",
        )


def _check_local_node(settings):
    node = _list_nodes_by_id(settings).get(settings["node_id"])
    if node is None:
        yield _finding(
            "$.node_id",
            f"{settings['node_id']!r} is not among nodes",
            "add this node to nodes, or correct node_id",
        )
        return
    for field in ("region", "failure_domain"):
        if node[field] != settings[field]:
            yield _finding(
                f"$.{field}",
                f"nodes lists this node with {node[field]!r}",
                f"give {field} the same value in both places",
            )
    if set(node["roles"]) != set(settings["roles"]):
        yield _finding(
            "$.roles",
            f"nodes lists this node with {', '.join(node['roles'])}",
            "give roles the same values in both places",
        )
    announced = _addresses.parse_address(node["link_address"])
    listening = _addresses.parse_address(settings["links"]["listen_address"])
    if announced and listening and 0 != announced.port != listening.port != 0:
        yield _finding(
            "$.links.listen_address",
            f"nodes lists this node with port {announced.port}",
            "give the link address the same port in both places",
        )


def _check_unique_nodes(settings):
    for field in ("node_id", "link_address"):
        positions = collections.defaultdict(list)
        for position, node in enumerate(settings["nodes"]):
            positions[node[field]].append(position)
        for value, found in positions.items():
            if len(found) > 1 and not value.endswith(":0"):
                yield _finding(
                    f"$.nodes[{found[-1]}].{field}",
                    f"{value} is also used by nodes[{found[0]}]",
                    f"give each node a unique {field}",
                )
    regions = {}
    for position, node in enumerate(settings["nodes"]):
        region = regions.setdefault(node["failure_domain"], node["region"])
        if region != node["region"]:
            yield _finding(
                f"$.nodes[{position}].region",
                f"failure domain {node['failure_domain']!r} lies in "
                f"{region!r} according to another node",
                "give all nodes of a failure domain the same region",
            )


def _check_control_nodes(settings):
    nodes = _list_nodes_by_id(settings)
    for position, node_id in enumerate(settings["control"]):
        yield from _check_control_node(
            nodes, f"$.control[{position}]", node_id
        )


def _check_control_node(nodes, path, node_id):
    if node_id not in nodes:
        message = f"{node_id!r} is not among nodes"
        yield _finding(path, message, "add it to nodes with its address")
    elif "control" not in nodes[node_id]["roles"]:
        message = f"{node_id!r} does not have the role control in nodes"
        yield _finding(path, message, "name a control VM, or add the role")


def _check_ledger_homes(settings):
    nodes = _list_nodes_by_id(settings)
    seen = set()
    for position, home in enumerate(settings["ledger_homes"]):
        path = f"$.ledger_homes[{position}]"
        if home["home_id"] in seen:
            yield _finding(
                f"{path}.home_id",
                f"{home['home_id']!r} is used twice",
                "give each home a unique id",
            )
        seen.add(home["home_id"])
        for number, node_id in enumerate(home["replicas"]):
            replica_path = f"{path}.replicas[{number}]"
            yield from _check_control_node(nodes, replica_path, node_id)
            node = nodes.get(node_id)
            if node and node["region"] != home["region"]:
                yield _finding(
                    replica_path,
                    f"{node_id!r} is in {node['region']!r}, the home in "
                    f"{home['region']!r}",
                    "name control VMs of the home's region",
                )


def _list_listen_addresses(settings):
    yield "$.links", settings["links"]["listen_address"]
    for listener in _LISTENERS:
        if listener in settings:
            yield f"$.{listener}", settings[listener]["listen_address"]


def _check_addresses(settings):
    seen = {}
    remedy = "write an IP address and a port, like 10.0.0.7:7400"
    for path, text in _list_listen_addresses(settings):
        path = f"{path}.listen_address"
        address = _addresses.parse_address(text)
        if address is None:
            yield _finding(path, f"{text!r} is not a valid address", remedy)
        elif address.port and address in seen:
            message = f"{text} is also {seen[address]}"
            yield _finding(path, message, "use a different port")
        seen[address] = path
    for position, node in enumerate(settings["nodes"]):
        text = node["link_address"]
        if _addresses.parse_address(text) is None:
            path = f"$.nodes[{position}].link_address"
            yield _finding(path, f"{text!r} is not a valid address", remedy)


def _check_tls(settings):
    for listener in _LISTENERS:
        http = settings.get(listener, {})
        has_certificate = "certificate_file" in http
        if has_certificate != ("private_key_file" in http):
            yield _finding(
                f"$.{listener}",
                "certificate_file and private_key_file must be set together",
                "set both, or neither for plain HTTP",
            )
        if "public_url" in http:
            yield from _check_public_url(f"$.{listener}.public_url", http)


def _check_public_url(path, http):
    url = urllib.parse.urlsplit(http["public_url"])
    if url.scheme not in ("http", "https") or not url.hostname:
        message = f"{http['public_url']!r} is not an http or https URL"
        yield _finding(path, message, "write it like https://10.0.0.7:8443")
    elif "certificate_file" in http and url.scheme != "https":
        message = (
            "the listener has a certificate, but this is not an https URL"
        )
        yield _finding(path, message, "start it with https://")


def _check_timing(settings):
    timing = settings["timing"]
    min_election_ms = _MIN_HEARTBEATS * timing["heartbeat_ms"]
    if timing["election_ms"] < min_election_ms:
        yield _finding(
            "$.timing.election_ms",
            f"shorter than {_MIN_HEARTBEATS} heartbeats",
            f"set it to {min_election_ms} or more, or lower heartbeat_ms",
        )
    if timing["server_lease_ms"] <= timing["gossip_ms"]:
        yield _finding(
            "$.timing.server_lease_ms",
            "a lease expires before the next membership delta",
            "set it above gossip_ms",
        )
    if 0 < timing["drain_ms"] < timing["stop_notice_ms"]:
        yield _finding(
            "$.timing.drain_ms",
            "the graceful shutdown ends before new connections are refused",
            "set it to 0 or above stop_notice_ms",
        )


def _check_key_files(settings):
    seen = {}
    for field, file in settings["keys"].items():
        if file in seen:
            yield _finding(
                f"$.keys.{field}",
                f"this is the same file as {seen[file]}",
                "use a separate file for each kind of secret",
            )
        seen.setdefault(file, field)
