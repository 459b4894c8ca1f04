"""Fake implementation of the operations behind the administration API."""

import expression

from buckthorntack import objects


class FakeAdministration:
    """Administration that keeps the published objects in memory."""

    def __init__(self, published=None):
        self.published = published or objects.PublishedSet(0)
        self.results_by_change_id = {}
        self.operators = []
        self.members = ["node-0"]
        #: Errors to return, or exceptions to raise, instead of executing
        #: the next calls; first in, first out.
        self.errors_before_call = []
        #: Errors to return although the change was decided; first in, first
        #: out.
        self.errors_after_change = []

    def _next_error(self):
        if not self.errors_before_call:
            return None
        error = self.errors_before_call.pop(0)
        if isinstance(error, Exception) and not hasattr(error, "number"):
            raise error
        return expression.Error(error)

    async def apply(self, change, operator):
        error = self._next_error()
        if error:
            return error
        change_id = change["change_id"]
        if change_id not in self.results_by_change_id:
            self.operators.append(operator)
            self.results_by_change_id[change_id] = self._decide(change)
        if self.errors_after_change:
            return expression.Error(self.errors_after_change.pop(0))
        return expression.Ok(self.results_by_change_id[change_id])

    def _decide(self, change):
        revision = self.published.revision
        result = {"change_id": change["change_id"], "accepted": False}
        if change["base_revision"] != revision:
            return {**result, "revision": revision, "conflict": True}
        put, remove = change.get("put", []), change.get("remove", [])
        findings = objects.check_change(self.published, put, remove)
        if findings:
            return {**result, "revision": revision, "findings": findings}
        self.published = self.published.with_changes(revision + 1, put, remove)
        return {**result, "accepted": True, "revision": revision + 1}

    async def objects(self, kind, name, linearizable):
        error = self._next_error()
        if error:
            return error
        found = [
            entry
            for entry in self.published.named_objects()
            if kind in (None, entry["kind"])
            and name in (None, entry["object"]["name"])
        ]
        revision = self.published.revision
        return expression.Ok({"revision": revision, "objects": found})

    async def history(self, after):
        changes = [
            {
                "revision": result["revision"],
                "change_id": change_id,
                "operator": "ana",
                "accepted_at": "2026-01-01T00:00:00Z",
            }
            for change_id, result in self.results_by_change_id.items()
            if result["accepted"] and result["revision"] > after
        ]
        return expression.Ok({"changes": changes})

    async def status(self):
        return expression.Ok(
            {
                "node_id": "node-0",
                "revision": self.published.revision,
                "has_quorum": True,
                "leader": "node-0",
                "changes": [
                    {
                        "change_id": "c9",
                        "revision": 9,
                        "pending": True,
                        "regions": [
                            {
                                "region": "fukuoka",
                                "in_force": 1,
                                "behind": [],
                                "out_of_contact": ["entry-2"],
                            }
                        ],
                    }
                ],
                "replicas": self._replicas(),
                "regions": [
                    {
                        "region": "fukuoka",
                        "revision": self.published.revision,
                        "in_force": ["entry-1"],
                        "behind": [],
                        "out_of_contact": ["entry-2"],
                    }
                ],
            }
        )

    def _replicas(self):
        return [
            {"node_id": node_id, "role": "follower", "voter": True}
            for node_id in self.members
        ]

    async def replicas(self):
        return expression.Ok({"replicas": self._replicas()})

    async def add_replica(self, node_id):
        self.members.append(node_id)
        return await self.replicas()

    async def remove_replica(self, node_id):
        self.members.remove(node_id)
        return await self.replicas()
