"""Sample records for tests of discovery."""

from buckthorntack.schema import messages


def server(server_id="s1", **fields):
    record = messages.AnnouncedServer(
        server_id=server_id,
        born_ms=1000,
        sequence=1,
        state="ready",
        service="text",
        address=f"10.1.0.1:{7000 + sum(map(ord, server_id))}",
        failure_domain="fukuoka-a",
        region="fukuoka",
        slots=4,
        cold_left_ms=0,
        reclaim_left_ms=-1,
        silent=False,
        software_version="v1",
    )
    return record._replace(**fields)


def node(node_id="10.1.0.9:80", role="entry", **fields):
    host = node_id.partition(":")[0]
    record = messages.NodePresence(
        node_id=node_id,
        incarnation=1,
        sequence=1,
        role=role,
        state="ready",
        link_address=f"{host}:7300",
        service_address=node_id,
        failure_domain="fukuoka-a",
        region="fukuoka",
        silent=False,
        unreachable_services=[],
    )
    return record._replace(**fields)


def report(record, epoch=0, stamp=0):
    return messages.PresenceReport(
        node=record,
        registry_epoch=epoch,
        registry_stamp=stamp,
        version=-1,
        directives_index=-1,
        heard_servers=[],
        heard_nodes=[],
    )
