"""Membership configuration of a replicated group."""

from typing import NamedTuple

import msgspec

KIND_COMMAND = "command"
KIND_CONFIGURATION = "configuration"
KIND_NO_OP = "no_op"


class Configuration(NamedTuple):
    """Members of a group, by node id.

    ``voters`` maps each voter to the identity of its disk, which is empty
    until the first leader records it.
    """

    voters: dict[str, str] = {}
    learners: list[str] = []
    retired: list[str] = []

    def members(self):
        """Nodes that receive the log: voters and learners."""
        return [*self.voters, *self.learners]

    def has_quorum(self, nodes):
        """Whether nodes are a majority of the voters.

        :param nodes: node ids.

        >>> Configuration({"a": "", "b": "", "c": ""}).has_quorum({"a", "b"})
        True
        >>> Configuration({"a": "", "b": ""}).has_quorum({"a", "x"})
        False
        """
        present = sum(1 for voter in self.voters if voter in nodes)
        return 2 * present > len(self.voters)

    def quorum_value(self, values):
        """Largest value that a majority of the voters have reached.

        :param values: value by node id; a missing one counts as 0.

        >>> Configuration({"a": "", "b": "", "c": ""}).quorum_value(
        ...     {"a": 9, "b": 4}
        ... )
        4
        """
        reached = [values.get(voter, 0) for voter in self.voters]
        reached.sort(reverse=True)
        return reached[len(reached) // 2] if reached else 0


_DECODER = msgspec.msgpack.Decoder(Configuration)


def encode(configuration):
    """Encode a configuration for the log.

    :param configuration: a :class:`Configuration`.
    :returns: the encoded bytes.
    """
    return msgspec.msgpack.encode(configuration)


def decode(data):
    """Decode a configuration from the log.

    :param data: result of :func:`encode`; empty means no members.
    :returns: a :class:`Configuration`.
    """
    return _DECODER.decode(data) if data else Configuration()
