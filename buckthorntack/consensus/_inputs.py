"""Inputs of a replica's task."""

import asyncio
from typing import Any
from typing import NamedTuple


class Tick(NamedTuple):
    """Time has passed."""


class Delivered(NamedTuple):
    """A message from another replica."""

    sender: str
    message: Any


class Propose(NamedTuple):
    """Commit a command."""

    proposal_id: str
    command: bytes


class Read(NamedTuple):
    """Start a linearizable read."""

    read_id: int


class AddLearner(NamedTuple):
    """Add a node that receives the log but has no vote."""

    proposal_id: str
    node: str


class Promote(NamedTuple):
    """Make a learner a voter."""

    proposal_id: str
    node: str


class Replace(NamedTuple):
    """Replace a voter by a learner that has caught up."""

    proposal_id: str
    node: str
    successor: str
    retire: bool


class Remove(NamedTuple):
    """Remove a member permanently."""

    proposal_id: str
    node: str


class Transfer(NamedTuple):
    """Transfer the leadership to another voter."""

    node: str
    future: asyncio.Future[Any]
