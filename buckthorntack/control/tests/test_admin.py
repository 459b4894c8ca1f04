import hashlib

from litestar import testing
import pytest

from buckthorntack import control
from buckthorntack import errors
from buckthorntack import schema
from buckthorntack import security
from buckthorntack.control.tests import fakes
from buckthorntack.objects.tests import sets

ROLES = ["reader", "operator", "admin"]


@pytest.fixture
def administration():
    return fakes.FakeAdministration()


@pytest.fixture
def client(administration):
    operators = {
        hashlib.sha256(role.encode()).digest(): security.Operator(
            f"{role}-ana", security.Role[role.upper()]
        )
        for role in ROLES
    }
    tokens = security.OperatorTokens(operators)
    app = control.create_admin_app(administration, tokens)
    with testing.TestClient(app) as started:
        yield started


def build_auth_header(role="operator"):
    return {"Authorization": f"Bearer {role}"}


def build_change(change_id="c1", base_revision=0, **fields):
    fields.setdefault("put", sets.sound_set())
    return {"change_id": change_id, "base_revision": base_revision, **fields}


def post_change(client, document):
    path = "/admin/v1/changes"
    return client.post(path, json=document, headers=build_auth_header())


def assert_error(response, status, number, run_state="not_run"):
    assert response.status_code == status
    body = response.json()
    assert schema.is_sound("admin", "AdminErrorAnswer", body)
    assert body["error"]["number"] == number
    assert body["error"]["run_state"] == run_state
    assert response.headers["x-run-state"] == run_state
    assert body["error"]["message"] and body["error"]["remedy"]
    assert "Traceback" not in response.text


def test_change_is_accepted_and_shown(client, administration):
    response = post_change(client, build_change(operator="someone-else"))
    assert response.status_code == 200
    expected = {"change_id": "c1", "accepted": True, "revision": 1}
    assert response.json() == expected
    assert administration.operators == ["operator-ana"]
    read = client.get(
        "/admin/v1/objects", headers=build_auth_header("reader")
    ).json()
    assert (read["revision"], len(read["objects"])) == (1, 17)
    one = client.get(
        "/admin/v1/objects/Region/fukuoka", headers=build_auth_header("reader")
    )
    assert one.json()["objects"] == [sets.sound_set()[0]]
    history = client.get(
        "/admin/v1/history",
        params={"after": 0},
        headers=build_auth_header("reader"),
    )
    assert history.json()["changes"][0]["change_id"] == "c1"
    status = client.get(
        "/admin/v1/status", headers=build_auth_header("reader")
    )
    assert status.json()["revision"] == 1
    assert schema.is_sound("admin", "Status", status.json())
    assert schema.is_sound("admin", "History", history.json())


def test_conflict_and_findings_have_their_status(client):
    post_change(client, build_change())
    conflicting = post_change(client, build_change("c2"))
    assert conflicting.status_code == 409
    assert (
        conflicting.json()["conflict"] and conflicting.json()["revision"] == 1
    )
    remove = [{"kind": "Region", "name": "fukuoka"}]
    faulty = post_change(client, build_change("c3", 1, put=[], remove=remove))
    assert faulty.status_code == 422
    rules = {found["rule"] for found in faulty.json()["findings"]}
    assert rules == {"dangling_reference"}


CALLS = [
    ("GET", "/admin/v1/objects", "reader"),
    ("GET", "/admin/v1/objects/Region", "reader"),
    ("GET", "/admin/v1/history", "reader"),
    ("GET", "/admin/v1/status", "reader"),
    ("GET", "/admin/v1/replicas", "reader"),
    ("POST", "/admin/v1/changes", "operator"),
    ("POST", "/admin/v1/replicas", "admin"),
    ("DELETE", "/admin/v1/replicas/node-0", "admin"),
]


@pytest.mark.parametrize(("method", "path", "min_role"), CALLS)
def test_calls_need_a_token_and_a_role(client, method, path, min_role):
    for header in (
        {},
        build_auth_header("stranger"),
        {"Authorization": "Basic x"},
    ):
        response = client.request(method, path, headers=header)
        assert_error(response, 401, 1800)
        assert response.headers["www-authenticate"] == "Bearer"
    for role in ROLES:
        response = client.request(
            method, path, headers=build_auth_header(role)
        )
        if ROLES.index(role) < ROLES.index(min_role):
            assert_error(response, 403, 1802)
        else:
            assert response.status_code not in (401, 403)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b"\xff",
        b"[" * 100_000,
        b'{"change_id": "c1"}',
        b'{"change_id": "", "base_revision": 0}',
        b'{"change_id": "c1", "base_revision": -1}',
        b'{"change_id": "c1", "base_revision": 0, "puts": []}',
        b'{"change_id": "c1", "base_revision": 0, "remove": [{"kind": "A"}]}',
    ],
)
def test_malformed_change_is_refused(client, administration, body):
    response = client.post(
        "/admin/v1/changes", content=body, headers=build_auth_header()
    )
    assert_error(response, 400, 1400)
    assert administration.results_by_change_id == {}


def test_unknown_calls_and_objects(client):
    header = build_auth_header("admin")
    assert_error(client.get("/admin/v1/absent", headers=header), 404, 1401)
    assert_error(client.put("/admin/v1/status", headers=header), 404, 1401)
    for path in ("Planet", "Region/absent"):
        response = client.get(f"/admin/v1/objects/{path}", headers=header)
        assert_error(response, 404, 1402)
    response = client.get("/admin/v1/history?after=x", headers=header)
    assert_error(response, 400, 1400)


def test_large_bodies_are_refused(client):
    body = b'{"node_id": "' + b"x" * 100_000 + b'"}'
    response = client.post(
        "/admin/v1/replicas", content=body, headers=build_auth_header("admin")
    )
    assert_error(response, 413, 1403)


class NoQuorumError(errors.GatewayError):
    number = 1
    status = 503
    run_state = errors.RunState.UNKNOWN


def test_errors_of_the_administration_are_told(client, administration):
    administration.errors_before_call = [NoQuorumError("no quorum", 1500)]
    response = post_change(client, build_change())
    assert_error(response, 503, 1, "unknown")
    assert response.headers["retry-after"] == "2"
    administration.errors_before_call = [ZeroDivisionError("secret detail")]
    response = post_change(client, build_change())
    assert_error(response, 500, 1404, "unknown")
    assert "secret" not in response.text


def test_replicas_are_added_and_removed(client, administration):
    header = build_auth_header("admin")
    path = "/admin/v1/replicas"
    added = client.post(path, json={"node_id": "node-1"}, headers=header)
    assert len(added.json()["replicas"]) == 2
    client.delete(f"{path}/node-0", headers=header)
    assert administration.members == ["node-1"]
    response = client.post(path, json={"node_id": "A B"}, headers=header)
    assert_error(response, 400, 1400)
