"""Builders of records and requests for tests."""

import datetime

from buckthorntack import routing
from buckthorntack.schema import messages


def seconds(value):
    return datetime.timedelta(seconds=value)


def server(name, region="fukuoka", **fields):
    load = messages.ServerLoad(
        fields.pop("running", 0),
        fields.pop("waiting", 0),
        0.0,
        fields.pop("age_ms", 0),
    )
    record = messages.ServerRecord(
        server_id=name,
        incarnation=1,
        sequence=1,
        state="ready",
        pool="writers",
        service="pitchwriter",
        model_versions=["writer-2"],
        adapters=[],
        role="both",
        region=region,
        failure_domain=f"{region}-a",
        url=f"http://{name}",
        slots=8,
        lease_ms=2000,
        load=load,
        limit_per_s=-1.0,
        rejections_per_s=-1.0,
    )
    return record._replace(**fields)


def entry(name, region, state="ready"):
    return messages.EntryRecord(
        name, 1, 1, state, region, f"{region}-a", "", "", 1, 2000, 0
    )


def summary(region, running=0, waiting=0, slots=16, **fields):
    offer = messages.ServiceSummary(
        "pitchwriter", "writer-2", 2, slots, running, waiting
    )
    result = messages.DomainSummary(
        region=region,
        failure_domain=f"{region}-a",
        reporter=f"entry-{region}",
        incarnation=1,
        sequence=1,
        entries=[entry(f"entry-{region}", region)],
        services=[offer],
        lease_ms=3000,
    )
    return result._replace(**fields)


def request(**fields):
    values = {
        "request_id": "r1",
        "organisation": "shops",
        "service": "pitchwriter",
        "model_version": "writer-2",
        "prefix_hashes": (),
        "prompt_tokens": 100,
        "body_bytes": 400,
        "allowed_regions": frozenset({"fukuoka", "kumamoto", "kagoshima"}),
    }
    return routing.RouteRequest(**(values | fields))
