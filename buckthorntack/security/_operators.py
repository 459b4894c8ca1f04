"""Authentication and roles of operators."""

import enum
from typing import NamedTuple

import expression

from buckthorntack.security import _errors
from buckthorntack.security import _tokens


class Role(enum.IntEnum):
    """Permissions of an operator; each role includes the lower ones."""

    #: Reads objects, history and status.
    READER = 1
    #: Changes objects.
    OPERATOR = 2
    #: Changes the set of replicas.
    ADMIN = 3


class Operator(NamedTuple):
    """An operator authenticated by a token."""

    name: str
    role: Role

    def require_role(
        self, role: Role
    ) -> expression.Result["Operator", _errors.RoleError]:
        """Return this operator if the role is sufficient.

        :param role: minimum role.
        :returns: the operator, or an error with both roles.
        """
        if self.role >= role:
            return expression.Ok(self)
        detail = (
            f"operator {self.name} has role {self.role.name.lower()}; "
            f"this needs {role.name.lower()}"
        )
        return expression.Error(_errors.RoleError(detail))


class OperatorTokens:
    """Operators by the hash of their tokens.

    :param operators: :class:`Operator` by SHA-256 of the token, as bytes.

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
        """Return the operator of a request.

        :param header: value of the ``Authorization`` header, or ``None``.
        :returns: the operator, or the reason of the rejection.
        """
        return _tokens.parse_bearer_token(header).bind(self._find_operator)

    def _find_operator(self, token):
        found = self._operators.get(_tokens.hash_token_bytes(token))
        if found is None:
            detail = "the operator token is not known"
            return expression.Error(_errors.CredentialError(detail))
        return expression.Ok(found)
