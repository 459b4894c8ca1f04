"""Operators' tokens and roles."""

import enum
from typing import NamedTuple

import expression

from buckthorntack.security import _errors
from buckthorntack.security import _tokens


class Role(enum.IntEnum):
    """What an operator may do; each role includes those before it."""

    #: Looks at objects, history and status.
    READER = 1
    #: Changes objects.
    OPERATOR = 2
    #: Changes the replicas.
    ADMIN = 3


class Operator(NamedTuple):
    """An operator who is known by a token."""

    name: str
    role: Role

    def require(
        self, role: Role
    ) -> expression.Result["Operator", _errors.RoleError]:
        """This operator, if the role suffices.

        :param role: least role needed.
        """
        if self.role >= role:
            return expression.Ok(self)
        detail = (
            f"operator {self.name} has role {self.role.name.lower()}; "
            f"this needs {role.name.lower()}"
        )
        return expression.Error(_errors.RoleError(detail))


class OperatorTokens:
    """Tokens of all operators, as hashes.

    :param operators: :class:`Operator` by hash of the token, as bytes.

    >>> digest = _tokens.hash_token_bytes("secret")
    >>> tokens = OperatorTokens({digest: Operator("ana", Role.READER)})
    >>> tokens.authenticate("Bearer secret").ok.name
    'ana'
    """

    def __init__(self, operators):
        self._operators = operators

    def __repr__(self):
        return f"OperatorTokens(<{len(self._operators)} operators>)"

    def authenticate(
        self, header: str | None
    ) -> expression.Result[Operator, _errors.CredentialError]:
        """Operator of a request.

        :param header: value of its ``Authorization`` header.
        :returns: the operator, or why the token is refused.
        """
        return _tokens.bearer_token(header).bind(self._find)

    def _find(self, token):
        found = self._operators.get(_tokens.hash_token_bytes(token))
        if found is None:
            detail = "the operator token is not known"
            return expression.Error(_errors.CredentialError(detail))
        return expression.Ok(found)
