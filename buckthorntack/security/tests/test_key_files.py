import random

import pytest

from buckthorntack import schema
from buckthorntack import security
from buckthorntack import settings


def write(folder, content):
    file = folder / "keys.json"
    text = security.format_key_file(content)
    assert settings.write_secret(file, text, replace=True).is_ok()
    return file


def test_link_keys_come_back_and_are_not_shown(tmp_path):
    peer = security.generate_link_keys()["current"]["public_key"]
    content = security.generate_link_keys([peer, peer])
    keys = security.load_link_keys(write(tmp_path, content)).ok
    pair = content["current"]
    assert keys.secret_key == pair["secret_key"].encode()
    own = pair["public_key"].encode()
    assert keys.accepted_public_keys == {peer.encode(), own}
    assert pair["secret_key"] not in f"{keys} {keys!r} {[keys]}"
    more = security.accept_link_keys(content, [pair["public_key"]])
    assert schema.validate_document("keys", "LinkKeyFile", more) == []
    assert len(more["accepted_public_keys"]) == 2


def test_link_pair_is_rotated_in_steps(tmp_path):
    before = security.generate_link_keys()
    added = security.add_link_pair(before)
    keys = security.load_link_keys(write(tmp_path, added)).ok
    old, new = (added[step]["public_key"] for step in ("current", "next"))
    assert keys.public_key == old.encode()
    assert keys.accepted_public_keys == {old.encode(), new.encode()}
    promoted = security.promote_link_pair(added)
    keys = security.load_link_keys(write(tmp_path, promoted)).ok
    assert keys.public_key == new.encode()
    assert keys.accepted_public_keys == {old.encode(), new.encode()}
    dropped = security.drop_link_keys(promoted, [old])
    keys = security.load_link_keys(write(tmp_path, dropped)).ok
    assert keys.accepted_public_keys == {new.encode()}


def test_steps_of_a_rotation_accept_what_is_under_way(tmp_path):
    def signer(content):
        return security.load_attempt_signer(write(tmp_path, content)).ok

    before = security.generate_signing_keys()
    added = security.add_signing_key(before)
    promoted = security.promote_signing_key(added)
    retired = security.retire_signing_keys(promoted)
    steps = [signer(step) for step in (before, added, promoted, retired)]
    for one, other in zip(steps, steps[1:], strict=False):
        issued = [s.issue("r", "d", "s", "o", random.Random(1)) for s in steps]
        assert other.verify(issued[steps.index(one)], "o").is_ok()
        if other is not steps[3]:
            assert one.verify(issued[steps.index(other)], "o").is_ok()
    assert steps[3].verify(issued[0], "o").is_error()


def test_operators_by_token_and_role(tmp_path):
    digest = security.hash_token("secret")
    content = security.add_operator(None, "ana", "operator", digest)
    content = security.add_operator(content, "ana", "operator", digest)
    tokens = security.load_operator_tokens(write(tmp_path, content)).ok
    operator = tokens.authenticate("bearer  secret").ok
    assert operator.require_role(security.Role.READER).is_ok()
    assert operator.require_role(security.Role.OPERATOR).ok == operator
    error = operator.require_role(security.Role.ADMIN).error
    assert (error.status, error.number) == (403, 1802)
    for header in (None, "", "Bearer", "Basic secret", "Bearer other"):
        assert tokens.authenticate(header).error.status == 401
    assert tokens.authenticate("Bearer \udce9").is_error()
    assert digest not in repr(tokens)


def test_two_operators_with_one_token_are_refused(tmp_path):
    digest = security.hash_token("secret")
    content = security.add_operator(None, "ana", "reader", digest)
    content = security.add_operator(content, "luis", "admin", digest)
    result = security.load_operator_tokens(write(tmp_path, content))
    assert "same name or token" in str(result.error)


@pytest.mark.parametrize(
    "content", [{}, {"keys": []}, {"keys": ["topsecret"]}]
)
def test_faulty_key_file_is_refused_without_showing_it(tmp_path, content):
    file = write(tmp_path, content)
    for load in (
        security.load_attempt_signer,
        security.load_link_keys,
        security.load_operator_tokens,
    ):
        error = load(file).error
        assert str(file) in str(error) and "topsecret" not in str(error)
    settings.write_secret(file, "topsecret", replace=True)
    error = security.load_attempt_signer(file).error
    assert "topsecret" not in str(error)
