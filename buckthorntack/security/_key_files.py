"""Files of keys: their formats, making, rotation and reading."""

import json
import secrets
from typing import NamedTuple

import expression

from buckthorntack import schema
from buckthorntack import settings
from buckthorntack.schema import documents
from buckthorntack.security import _attempts
from buckthorntack.security import _errors
from buckthorntack.security import _operators

_SIGNING_KEY_BYTES = 32


class LinkKeys(NamedTuple):
    """CURVE keys of a node's links, in Z85."""

    public_key: bytes
    secret_key: bytes
    #: Public keys of peers that are let in; holds the node's own.
    accepted_public_keys: frozenset[bytes]

    def __repr__(self):
        accepted = len(self.accepted_public_keys)
        return f"LinkKeys({self.public_key!r}, <{accepted} accepted>)"


def generate_link_keys(accepted=()) -> documents.LinkKeyFile:
    """Content of a new file of link keys.

    :param accepted: public keys of peers that are let in.
    :returns: a new pair with the accepted keys.
    """
    pair = _generate_pair()
    return {"current": pair, "accepted_public_keys": sorted(set(accepted))}


def _generate_pair():
    import zmq  # needed only to make keys

    public_key, secret_key = (key.decode() for key in zmq.curve_keypair())
    while public_key.startswith("-"):  # would read as an option of a command
        public_key, secret_key = (k.decode() for k in zmq.curve_keypair())
    return {"public_key": public_key, "secret_key": secret_key}


def accept_link_keys(content, accepted) -> documents.LinkKeyFile:
    """Content of a file of link keys that lets in further peers.

    :param content: content of the file now.
    :param accepted: public keys of peers to let in besides.
    :returns: the new content, with the same pair.
    """
    known = {*content["accepted_public_keys"], *accepted}
    return {**content, "accepted_public_keys": sorted(known)}


def drop_link_keys(content, dropped) -> documents.LinkKeyFile:
    """Content of a file of link keys that no longer lets in some peers.

    :param content: content of the file now.
    :param dropped: public keys that are no longer accepted.
    :returns: the new content.
    """
    known = set(content["accepted_public_keys"]) - set(dropped)
    return {**content, "accepted_public_keys": sorted(known)}


def add_link_pair(content) -> documents.LinkKeyFile:
    """First step of a rotation: a new pair that is not used yet.

    :param content: content of the file now.
    :returns: the new content; peers must accept the new public key before
        the next step.
    """
    return {**content, "next": _generate_pair()}


def promote_link_pair(content) -> documents.LinkKeyFile:
    """Second step of a rotation: the new pair is used.

    :param content: content of the file now, with a next pair.
    :returns: the new content; the old public key stays accepted.
    """
    old = content["current"]["public_key"]
    promoted = {**content, "current": content["next"]}
    del promoted["next"]
    return accept_link_keys(promoted, [old])


def generate_signing_keys() -> documents.TokenKeyFile:
    """Content of a new file of keys that sign attempt ids."""
    return {"keys": [secrets.token_hex(_SIGNING_KEY_BYTES)]}


def add_signing_key(content) -> documents.TokenKeyFile:
    """First step of a rotation: a new key that is accepted, but not used.

    :param content: content of the file now.
    :returns: the new content; it must reach all nodes before the next step.
    """
    return {"keys": [*content["keys"], *generate_signing_keys()["keys"]]}


def promote_signing_key(content) -> documents.TokenKeyFile:
    """Second step of a rotation: the newest key signs.

    :param content: content of the file now.
    :returns: the new content; older keys stay accepted.
    """
    return {"keys": [content["keys"][-1], *content["keys"][:-1]]}


def retire_signing_keys(content) -> documents.TokenKeyFile:
    """Last step of a rotation: only the first key is accepted.

    :param content: content of the file now.
    :returns: the new content; attempts signed before can no longer be
        resumed.
    """
    return {"keys": content["keys"][:1]}


def add_operator(content, name, role, token_sha256):
    """Content of a file of operator tokens with one operator more.

    :param content: content of the file now; ``None`` if there is none.
    :param name: the operator; one of this name is replaced.
    :param role: name of the role, such as ``reader``.
    :param token_sha256: hash of the token.
    :returns: the new content.
    """
    operators = (content or {"operators": []})["operators"]
    kept = [entry for entry in operators if entry["name"] != name]
    entry = {"name": name, "role": role, "token_sha256": token_sha256}
    return {"operators": [*kept, entry]}


def format_key_file(content) -> str:
    """Text of a key file.

    :param content: its content.
    """
    return json.dumps(content, indent=2) + "\n"


def read_key_file(path, definition) -> expression.Result:
    """Content of a key file.

    :param path: the file.
    :param definition: its kind, such as ``LinkKeyFile``.
    :returns: the parsed content, or an error that does not show it.
    """
    return settings.read_secret(path).bind(
        lambda secret: _parse(path, definition, secret)
    )


def _parse(path, definition, secret):
    try:
        content = schema.parse_json(secret.reveal())
    except ValueError:
        return _fault(path, "it is not JSON")
    faults = schema.validate_document("keys", definition, content)
    if faults:
        places = ", ".join(sorted({fault.path for fault in faults}))
        return _fault(path, f"it is no {definition}: faults at {places}")
    return expression.Ok(content)


def _fault(path, detail):
    return expression.Error(_errors.KeyFileError(f"{path}: {detail}"))


def load_link_keys(path) -> expression.Result[LinkKeys, Exception]:
    """Read the keys of the links.

    :param path: file of the setting ``link_keys_file``.
    :returns: :class:`LinkKeys`, or a ``GatewayError``.
    """
    return read_key_file(path, "LinkKeyFile").map(_link_keys)


def _link_keys(content):
    pair = content["current"]
    own = [pair["public_key"], content.get("next", pair)["public_key"]]
    accepted = [*own, *content["accepted_public_keys"]]
    return LinkKeys(
        pair["public_key"].encode(),
        pair["secret_key"].encode(),
        frozenset(key.encode() for key in accepted),
    )


def load_attempt_signer(
    path,
) -> expression.Result[_attempts.AttemptSigner, Exception]:
    """Read the keys that sign attempt ids.

    :param path: file of the setting ``token_key_file``.
    :returns: an :class:`AttemptSigner`, or a ``GatewayError``.
    """
    return read_key_file(path, "TokenKeyFile").map(
        lambda content: _attempts.AttemptSigner(
            [bytes.fromhex(key) for key in content["keys"]]
        )
    )


def load_operator_tokens(
    path,
) -> expression.Result[_operators.OperatorTokens, Exception]:
    """Read the operators' tokens.

    :param path: file of the setting ``operator_tokens_file``.
    :returns: :class:`OperatorTokens`, or a ``GatewayError``.
    """
    return read_key_file(path, "OperatorTokenFile").bind(
        lambda content: _operator_tokens(path, content)
    )


def _operator_tokens(path, content):
    found = {}
    for entry in content["operators"]:
        operator = _operators.Operator(
            entry["name"], _operators.Role[entry["role"].upper()]
        )
        found[bytes.fromhex(entry["token_sha256"])] = operator
    names = {operator.name for operator in found.values()}
    if len(names) != len(content["operators"]):
        return _fault(path, "two operators have the same name or token")
    return expression.Ok(_operators.OperatorTokens(found))
