"""Property test of the administration API with generated requests."""

import copy
import json

import hypothesis
from hypothesis import strategies
from litestar import testing
import pytest

from buckthorntack import control
from buckthorntack import security
from buckthorntack.control.tests import fakes
from buckthorntack.control.tests import test_admin

PATHS = ("changes", "replicas", "replicas/a", "objects/Quota", "history")

values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=6,
)


@strategies.composite
def mutated_changes(draw):
    """Generate a valid change with at most one field replaced."""
    document = copy.deepcopy(test_admin.build_change())
    node = document
    for _ in range(draw(strategies.integers(0, 3))):
        keys = sorted(node) if isinstance(node, dict) else range(len(node))
        if not keys:
            break
        key = draw(strategies.sampled_from(keys))
        if not isinstance(node[key], dict | list):
            break
        node = node[key]
    if isinstance(node, dict) and node:
        key = draw(strategies.sampled_from(sorted(node)))
        node[key] = draw(values)
    return json.dumps(document).encode()


bodies = mutated_changes() | strategies.binary(max_size=60)


@pytest.fixture(scope="module")
def client():
    digest = security.hash_token_bytes("admin")
    operators = {digest: security.Operator("ana", security.Role.ADMIN)}
    administration = fakes.FakeAdministration()
    tokens = security.OperatorTokens(operators)
    app = control.create_admin_app(administration, tokens)
    with testing.TestClient(app) as started:
        started.administration = administration
        yield started


@hypothesis.settings(
    max_examples=200, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    method=strategies.sampled_from(["POST", "PUT", "DELETE", "GET"]),
    path=strategies.sampled_from(PATHS),
    body=bodies,
)
def test_request_is_answered(client, method, path, body):
    before = client.administration.published.revision
    response = client.request(
        method,
        f"/admin/v1/{path}",
        content=body,
        headers=test_admin.build_auth_header("admin"),
    )
    assert response.status_code < 500 or path == "replicas/a"
    assert "Traceback" not in response.text
    if response.status_code >= 400:
        assert client.administration.published.revision == before
