"""What is handed to the task of a replica."""

import asyncio
from typing import Any
from typing import NamedTuple


class Tick(NamedTuple):
    """Time has passed."""


class Delivered(NamedTuple):
    """A message of another replica."""

    sender: str
    message: Any


class Propose(NamedTuple):
    """A command to be committed."""

    proposal_id: str
    command: bytes


class Read(NamedTuple):
    """A linearizable read."""

    read_id: int


class AddLearner(NamedTuple):
    """A node shall receive the log."""

    proposal_id: str
    node: str


class Promote(NamedTuple):
    """A learner shall vote."""

    proposal_id: str
    node: str


class Remove(NamedTuple):
    """A member shall leave for good."""

    proposal_id: str
    node: str


class Transfer(NamedTuple):
    """Another voter shall lead."""

    node: str
    future: asyncio.Future[Any]
