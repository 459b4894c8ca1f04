"""Generated from links.json: do not edit."""

from __future__ import annotations

from typing import NamedTuple


class Ping(NamedTuple):
    """
    Asks a peer whether its link works.
    """

    sent_at_ms: int


class Pong(NamedTuple):
    """
    Answer to a ping.
    """

    sent_at_ms: int
