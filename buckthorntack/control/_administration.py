"""Interface of the operations behind the administration API."""

from typing import Protocol

import expression

from buckthorntack import errors
from buckthorntack.schema import documents


class Administration(Protocol):
    """Operations on the configuration and on its consensus group.

    A call may wait for responses of other nodes.
    """

    async def apply(
        self, change: documents.Change, operator: str
    ) -> expression.Result[documents.ChangeResult, errors.GatewayError]:
        """Accept or refuse a change; decide once for each change id.

        :param change: the change, valid under the schema.
        :param operator: name of the operator who sends the change.
        :returns: the decision, or why it is unknown.
        """

    async def objects(
        self, kind: str | None, name: str | None, linearizable: bool
    ) -> expression.Result[documents.ObjectList, errors.GatewayError]:
        """Return objects of the current revision.

        :param kind: kind of the objects; None for all kinds.
        :param name: name of the object; None for all names.
        :param linearizable: whether the read must reflect every change
            accepted before it.
        """

    async def history(
        self, after: int
    ) -> expression.Result[documents.History, errors.GatewayError]:
        """Return the accepted changes after a revision.

        :param after: revision that precedes the first returned change.
        """

    async def status(
        self,
    ) -> expression.Result[documents.Status, errors.GatewayError]:
        """Return the state of the configuration, its replicas and regions."""

    async def replicas(
        self,
    ) -> expression.Result[documents.ReplicaList, errors.GatewayError]:
        """Return the replicas of the configuration group."""

    async def add_replica(
        self, node_id: str
    ) -> expression.Result[documents.ReplicaList, errors.GatewayError]:
        """Add a replica to the configuration group.

        :param node_id: a known control VM.
        :returns: the replicas after the change.
        """

    async def remove_replica(
        self, node_id: str
    ) -> expression.Result[documents.ReplicaList, errors.GatewayError]:
        """Remove a replica from the configuration group.

        :param node_id: control VM of the replica.
        :returns: the replicas after the change.
        """
