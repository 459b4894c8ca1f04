"""Generated from keys.json: do not edit."""

from __future__ import annotations

from typing import Literal
from typing import NotRequired
from typing import TypeAlias

from typing_extensions import TypedDict


class KeyFiles(TypedDict):
    pass


class LinkKeyPair(TypedDict, closed=True):
    """
    A CURVE key pair, in Z85.
    """

    public_key: str
    """
    Known to peers.
    """
    secret_key: str
    """
    Known to this node only.
    """


AcceptedPublicKey: TypeAlias = str


class LinkKeyFile(TypedDict, closed=True):
    """
    Keys of the links between our own processes.
    """

    current: LinkKeyPair
    """
    Pair that this node uses.
    """
    next: NotRequired[LinkKeyPair]
    """
    Pair that this node will use after the next step of a rotation.
    """
    accepted_public_keys: list[AcceptedPublicKey]
    """
    Public keys of peers that are let in, besides those of this file's pairs.
    """


Key: TypeAlias = str


class TokenKeyFile(TypedDict, closed=True):
    """
    Keys that sign attempt ids.
    """

    keys: list[Key]
    """
    256 bits each, in hexadecimal; the first signs, all are accepted.
    """


class OperatorToken(TypedDict, closed=True):
    """
    Binds an operator's token to a role.
    """

    name: str
    """
    Unique among operators.
    """
    role: Literal["reader", "operator", "admin"]
    """
    A reader looks, an operator also changes objects, an admin also changes replicas.
    """
    token_sha256: str
    """
    Hash of the bearer token, in hexadecimal.
    """


class OperatorTokenFile(TypedDict, closed=True):
    """
    Operators who may use the administration API.
    """

    operators: list[OperatorToken]
    """
    All operators.
    """
