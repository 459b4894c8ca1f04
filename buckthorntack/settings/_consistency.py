"""Checks across the fields of a settings file."""

import collections
import urllib.parse

from buckthorntack.settings import _addresses
from buckthorntack.settings import _errors

_LISTENERS = ("callers", "backends", "admin", "metrics")
_NEEDED_LISTENERS = {"entry": ("callers", "backends"), "control": ("admin",)}
#: Fewest heartbeats that fit into an election timeout.
_MIN_HEARTBEATS = 3


def consistency_findings(settings):
    """Faults across fields.

    :param settings: settings of valid shape, with defaults.
    :returns: list of findings.
    """
    checks = (
        _roles,
        _own_node,
        _unique_nodes,
        _control,
        _ledger_homes,
        _addresses_of,
        _tls,
        _timing,
        _key_files,
    )
    return [finding for check in checks for finding in check(settings)]


def _finding(path, message, remedy):
    return _errors.SettingsFinding(path, message, remedy)


def _nodes(settings):
    return {node["node_id"]: node for node in settings["nodes"]}


def _roles(settings):
    for role in settings["roles"]:
        for listener in _NEEDED_LISTENERS[role]:
            if listener not in settings:
                yield _finding(
                    f"$.{listener}",
                    f"role {role} needs this listener",
                    f"add {listener} with a listen_address, or drop the role",
                )
    needs_tokens = "control" in settings["roles"]
    if needs_tokens and "operator_tokens_file" not in settings["keys"]:
        yield _finding(
            "$.keys.operator_tokens_file",
            "role control needs the operators' tokens",
            "write one with 'buckthorntack keys operator' and name it here",
        )


def _own_node(settings):
    node = _nodes(settings).get(settings["node_id"])
    if node is None:
        yield _finding(
            "$.node_id",
            f"{settings['node_id']!r} is not among nodes",
            "add this node to nodes, or mend its name",
        )
        return
    for field in ("region", "failure_domain"):
        if node[field] != settings[field]:
            yield _finding(
                f"$.{field}",
                f"nodes says {node[field]!r} of this node",
                f"give {field} the same value in both places",
            )
    if set(node["roles"]) != set(settings["roles"]):
        yield _finding(
            "$.roles",
            f"nodes says {', '.join(node['roles'])} of this node",
            "give roles the same values in both places",
        )
    told = _addresses.parse_address(node["link_address"])
    listened = _addresses.parse_address(settings["links"]["listen_address"])
    if told and listened and 0 != told.port != listened.port != 0:
        yield _finding(
            "$.links.listen_address",
            f"nodes says port {told.port} of this node",
            "give the link address the same port in both places",
        )


def _unique_nodes(settings):
    for field in ("node_id", "link_address"):
        places = collections.defaultdict(list)
        for place, node in enumerate(settings["nodes"]):
            places[node[field]].append(place)
        for value, found in places.items():
            if len(found) > 1 and not value.endswith(":0"):
                yield _finding(
                    f"$.nodes[{found[-1]}].{field}",
                    f"{value} is also that of nodes[{found[0]}]",
                    f"give each node a {field} of its own",
                )
    regions = {}
    for place, node in enumerate(settings["nodes"]):
        region = regions.setdefault(node["failure_domain"], node["region"])
        if region != node["region"]:
            yield _finding(
                f"$.nodes[{place}].region",
                f"failure domain {node['failure_domain']!r} lies in "
                f"{region!r} by another node",
                "give a failure domain one region",
            )


def _control(settings):
    nodes = _nodes(settings)
    for place, node_id in enumerate(settings["control"]):
        yield from _control_node(nodes, f"$.control[{place}]", node_id)


def _control_node(nodes, path, node_id):
    if node_id not in nodes:
        message = f"{node_id!r} is not among nodes"
        yield _finding(path, message, "add it to nodes with its address")
    elif "control" not in nodes[node_id]["roles"]:
        message = f"{node_id!r} does not have the role control in nodes"
        yield _finding(path, message, "name a control VM, or add the role")


def _ledger_homes(settings):
    nodes = _nodes(settings)
    seen = set()
    for place, home in enumerate(settings["ledger_homes"]):
        path = f"$.ledger_homes[{place}]"
        if home["home_id"] in seen:
            yield _finding(
                f"{path}.home_id",
                f"{home['home_id']!r} is given twice",
                "give each home an id of its own",
            )
        seen.add(home["home_id"])
        for number, node_id in enumerate(home["replicas"]):
            replica_path = f"{path}.replicas[{number}]"
            yield from _control_node(nodes, replica_path, node_id)
            node = nodes.get(node_id)
            if node and node["region"] != home["region"]:
                yield _finding(
                    replica_path,
                    f"{node_id!r} is in {node['region']!r}, the home in "
                    f"{home['region']!r}",
                    "name control VMs of the home's region",
                )


def _listen_addresses(settings):
    yield "$.links", settings["links"]["listen_address"]
    for listener in _LISTENERS:
        if listener in settings:
            yield f"$.{listener}", settings[listener]["listen_address"]


def _addresses_of(settings):
    seen = {}
    remedy = "write an IP address and a port, like 10.0.0.7:7400"
    for path, text in _listen_addresses(settings):
        path = f"{path}.listen_address"
        address = _addresses.parse_address(text)
        if address is None:
            yield _finding(path, f"{text!r} is no address", remedy)
        elif address.port and address in seen:
            message = f"{text} is also {seen[address]}"
            yield _finding(path, message, "use a port of its own")
        seen[address] = path
    for place, node in enumerate(settings["nodes"]):
        text = node["link_address"]
        if _addresses.parse_address(text) is None:
            path = f"$.nodes[{place}].link_address"
            yield _finding(path, f"{text!r} is no address", remedy)


def _tls(settings):
    for listener in _LISTENERS:
        http = settings.get(listener, {})
        has_certificate = "certificate_file" in http
        if has_certificate != ("private_key_file" in http):
            yield _finding(
                f"$.{listener}",
                "certificate_file and private_key_file go together",
                "give both, or neither for plain HTTP",
            )
        if "public_url" in http:
            yield from _public_url(f"$.{listener}.public_url", http)


def _public_url(path, http):
    url = urllib.parse.urlsplit(http["public_url"])
    if url.scheme not in ("http", "https") or not url.hostname:
        message = f"{http['public_url']!r} is no address of a listener"
        yield _finding(path, message, "write it like https://10.0.0.7:8443")
    elif "certificate_file" in http and url.scheme != "https":
        message = "the listener has a certificate, but this is no https URL"
        yield _finding(path, message, "start it with https://")


def _timing(settings):
    timing = settings["timing"]
    shortest = _MIN_HEARTBEATS * timing["heartbeat_ms"]
    if timing["election_ms"] < shortest:
        yield _finding(
            "$.timing.election_ms",
            f"shorter than {_MIN_HEARTBEATS} heartbeats",
            f"set it to {shortest} or more, or lower heartbeat_ms",
        )
    if timing["server_lease_ms"] <= timing["gossip_ms"]:
        yield _finding(
            "$.timing.server_lease_ms",
            "a lease ends before the next membership delta",
            "set it above gossip_ms",
        )
    if 0 < timing["drain_ms"] < timing["stop_notice_ms"]:
        yield _finding(
            "$.timing.drain_ms",
            "the graceful shutdown ends before new connections are refused",
            "set it to 0 or above stop_notice_ms",
        )


def _key_files(settings):
    seen = {}
    for field, file in settings["keys"].items():
        if file in seen:
            yield _finding(
                f"$.keys.{field}",
                f"this is also {seen[file]}",
                "use a file for each kind of secret",
            )
        seen.setdefault(file, field)
