"""What the administration API asks of the control role."""

from typing import Protocol

import expression

from buckthorntack import errors
from buckthorntack.schema import documents


class Administration(Protocol):
    """Changes and shows the configuration; each call may wait for others."""

    async def apply(
        self, change: documents.Change, operator: str
    ) -> expression.Result[documents.ChangeResult, errors.GatewayError]:
        """Have a change accepted or refused, once for each change id.

        :param change: the change, of valid shape.
        :param operator: name of the operator who asks.
        """

    async def objects(
        self, kind: str | None, name: str | None, linearizable: bool
    ) -> expression.Result[documents.ObjectList, errors.GatewayError]:
        """Objects of the present revision.

        :param kind: only those of this kind, if given.
        :param name: only the one of this name, if given.
        :param linearizable: whether all accepted changes must be in.
        """

    async def history(
        self, after: int
    ) -> expression.Result[documents.History, errors.GatewayError]:
        """Accepted changes.

        :param after: only those of a later revision.
        """

    async def status(
        self,
    ) -> expression.Result[documents.Status, errors.GatewayError]:
        """State of the configuration."""

    async def replicas(
        self,
    ) -> expression.Result[documents.ReplicaList, errors.GatewayError]:
        """Replicas of the configuration group."""

    async def add_replica(
        self, node_id: str
    ) -> expression.Result[documents.ReplicaList, errors.GatewayError]:
        """Add a replica.

        :param node_id: a known control VM.
        """

    async def remove_replica(
        self, node_id: str
    ) -> expression.Result[documents.ReplicaList, errors.GatewayError]:
        """Remove a replica.

        :param node_id: the replica.
        """
