"""Format, creation, rotation and loading of key files."""

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
    """CURVE keys of the links of a node, in Z85."""

    public_key: bytes
    secret_key: bytes
    #: Public keys of accepted peers, including the node's own.
    accepted_public_keys: frozenset[bytes]

    def __repr__(self):
        accepted = len(self.accepted_public_keys)
        return f"LinkKeys({self.public_key!r}, <{accepted} accepted>)"


def generate_link_keys(accepted=()) -> documents.LinkKeyFile:
    """Return the content of a new link key file.

    :param accepted: public keys of accepted peers.
    :returns: a new key pair with the accepted keys.
    """
    pair = _generate_pair()
    return {"current": pair, "accepted_public_keys": sorted(set(accepted))}


def _generate_pair():
    import zmq  # needed only to generate keys

    public_key, secret_key = (key.decode() for key in zmq.curve_keypair())
    while public_key.startswith("-"):  # a command would parse it as an option
        public_key, secret_key = (k.decode() for k in zmq.curve_keypair())
    return {"public_key": public_key, "secret_key": secret_key}


def accept_link_keys(content, accepted) -> documents.LinkKeyFile:
    """Add accepted peers to the content of a link key file.

    :param content: current content.
    :param accepted: further public keys to accept.
    :returns: the new content with the same key pair.
    """
    accepted_keys = {*content["accepted_public_keys"], *accepted}
    return {**content, "accepted_public_keys": sorted(accepted_keys)}


def drop_link_keys(content, dropped) -> documents.LinkKeyFile:
    """Remove accepted peers from the content of a link key file.

    :param content: current content.
    :param dropped: public keys to remove.
    :returns: the new content.
    """
    accepted_keys = set(content["accepted_public_keys"]) - set(dropped)
    return {**content, "accepted_public_keys": sorted(accepted_keys)}


def add_link_pair(content) -> documents.LinkKeyFile:
    """Add a new key pair without using it: first step of a rotation.

    :param content: current content.
    :returns: the new content; peers must accept the new public key before
        the next step.
    """
    return {**content, "next": _generate_pair()}


def promote_link_pair(content) -> documents.LinkKeyFile:
    """Use the new key pair: second step of a rotation.

    :param content: current content, with a next pair.
    :returns: the new content; the old public key stays accepted.
    """
    old_public_key = content["current"]["public_key"]
    promoted = {**content, "current": content["next"]}
    del promoted["next"]
    return accept_link_keys(promoted, [old_public_key])


def generate_signing_keys() -> documents.TokenKeyFile:
    """Return the content of a new key file for signing attempt ids."""
    return {"keys": [secrets.token_hex(_SIGNING_KEY_BYTES)]}


def add_signing_key(content) -> documents.TokenKeyFile:
    """Add a key that is accepted but does not sign: first rotation step.

    :param content: current content.
    :returns: the new content, which all nodes must have before the next step.
    """
    return {"keys": [*content["keys"], *generate_signing_keys()["keys"]]}


def promote_signing_key(content) -> documents.TokenKeyFile:
    """Sign with the newest key: second step of a rotation.

    :param content: current content.
    :returns: the new content; older keys stay accepted.
    """
    return {"keys": [content["keys"][-1], *content["keys"][:-1]]}


def retire_signing_keys(content) -> documents.TokenKeyFile:
    """Accept only the signing key: last step of a rotation.

    :param content: current content.
    :returns: the new content; attempts whose ids were signed with a removed
        key can no longer be resumed.
    """
    return {"keys": content["keys"][:1]}


def add_operator(content, name, role, token_sha256):
    """Add an operator to the content of an operator token file.

    :param content: current content; ``None`` if there is no file.
    :param name: name of the operator; an operator of this name is replaced.
    :param role: name of the role, such as ``reader``.
    :param token_sha256: SHA-256 of the token, in hexadecimal.
    :returns: the new content.
    """
    operators = (content or {"operators": []})["operators"]
    others = [entry for entry in operators if entry["name"] != name]
    entry = {"name": name, "role": role, "token_sha256": token_sha256}
    return {"operators": [*others, entry]}


def format_key_file(content) -> str:
    """Return the text of a key file.

    :param content: the content.
    """
    return json.dumps(content, indent=2) + "\n"


def read_key_file(path, definition) -> expression.Result:
    """Read and validate a key file.

    :param path: path of the file.
    :param definition: name of the schema, such as ``LinkKeyFile``.
    :returns: the parsed content, or an error without any of the content.
    """
    return settings.read_secret(path).bind(
        lambda secret: _parse(path, definition, secret)
    )


def _parse(path, definition, secret):
    try:
        content = schema.parse_json(secret.reveal())
    except ValueError:
        return _key_file_error(path, "it is not JSON")
    faults = schema.validate_document("keys", definition, content)
    if faults:
        paths = ", ".join(sorted({fault.path for fault in faults}))
        return _key_file_error(
            path, f"it is no {definition}: faults at {paths}"
        )
    return expression.Ok(content)


def _key_file_error(path, detail):
    return expression.Error(_errors.KeyFileError(f"{path}: {detail}"))


def load_link_keys(path) -> expression.Result[LinkKeys, Exception]:
    """Load the link keys.

    :param path: path in the setting ``link_keys_file``.
    :returns: :class:`LinkKeys`, or a ``GatewayError``.
    """
    return read_key_file(path, "LinkKeyFile").map(_parse_link_keys)


def _parse_link_keys(content):
    pair = content["current"]
    own_public_keys = [
        pair["public_key"],
        content.get("next", pair)["public_key"],
    ]
    accepted = [*own_public_keys, *content["accepted_public_keys"]]
    return LinkKeys(
        pair["public_key"].encode(),
        pair["secret_key"].encode(),
        frozenset(key.encode() for key in accepted),
    )


def load_attempt_signer(
    path,
) -> expression.Result[_attempts.AttemptSigner, Exception]:
    """Load the keys that sign attempt ids.

    :param path: path in the setting ``token_key_file``.
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
    """Load the operators and the hashes of their tokens.

    :param path: path in the setting ``operator_tokens_file``.
    :returns: :class:`OperatorTokens`, or a ``GatewayError``.
    """
    return read_key_file(path, "OperatorTokenFile").bind(
        lambda content: _parse_operator_tokens(path, content)
    )


def _parse_operator_tokens(path, content):
    found = {}
    for entry in content["operators"]:
        operator = _operators.Operator(
            entry["name"], _operators.Role[entry["role"].upper()]
        )
        found[bytes.fromhex(entry["token_sha256"])] = operator
    names = {operator.name for operator in found.values()}
    if len(names) != len(content["operators"]):
        return _key_file_error(
            path, "two operators have the same name or token"
        )
    return expression.Ok(_operators.OperatorTokens(found))
