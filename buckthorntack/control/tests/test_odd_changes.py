"""Calls of the administration API that no operator would send."""

import copy
import hashlib
import json

from litestar import testing
import pytest

from buckthorntack import control
from buckthorntack import security
from buckthorntack.control.tests import fakes
from buckthorntack.control.tests import test_admin


def nest(depth):
    return "[" * depth + "]" * depth


def encode_with(name, text):
    """Encode a change with the text of one field, which may be no JSON."""
    document = test_admin.build_change(**{name: "@"})
    return json.dumps(document).replace('"@"', text).encode("utf-8")


def encode_object(field, text):
    document = copy.deepcopy(test_admin.build_change())
    document["put"][0]["object"][field] = "@"
    return json.dumps(document).replace('"@"', text).encode("utf-8")


ODD_BODIES = [
    b"\xff",
    b'"\xff"',
    b'{"change_id": "\xff"}',
    b'{"\xff": 1}',
    *(nest(depth).encode() for depth in (50, 300, 700, 900, 2000, 200_000)),
    *(
        encode_with(name, text)
        for name in ("change_id", "base_revision", "put", "unknown", "remove")
        for text in (
            nest(50),
            nest(300),
            nest(700),
            nest(900),
            nest(200_000),
            '{"a":' * 300 + "1" + "}" * 300,
            "9" * 30,
            "9" * 4000,
            "9" * 5000,
            "1e300",
            "1e999",
            "-1",
            '"\\ud800"',
            '"\\u0000"',
        )
    ),
    *(
        encode_object("name", text)
        for text in (nest(700), "9" * 30, '"\\ud800"', '"a\\u0000"', '""')
    ),
]


@pytest.fixture
def client():
    operators = {
        hashlib.sha256(b"operator").digest(): security.Operator(
            "ana", security.Role.ADMIN
        )
    }
    administration = fakes.FakeAdministration()
    tokens = security.OperatorTokens(operators)
    app = control.create_admin_app(administration, tokens)
    with testing.TestClient(app) as started:
        started.administration = administration
        yield started


# Guards against a call that is answered as a fault of the control VM.
def test_odd_call_is_no_internal_error(client):
    headers = test_admin.build_auth_header()
    for path in ("changes", "replicas"):
        for body in ODD_BODIES:
            response = client.post(
                f"/admin/v1/{path}", content=body, headers=headers
            )
            place = (path, body[:60], response.text[:300])
            assert response.status_code < 500, place
            assert len(response.content) < 20_000, place


@pytest.mark.parametrize(
    "after", ["9" * 30, "9" * 5000, "-1", "1e3", "nan", "%ff"]
)
def test_odd_revision_is_refused(client, after):
    response = client.get(
        f"/admin/v1/history?after={after}",
        headers=test_admin.build_auth_header(),
    )
    assert response.status_code < 500
