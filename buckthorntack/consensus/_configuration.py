"""Membership configuration of a replicated group."""

from typing import NamedTuple

import msgspec

KIND_COMMAND = "command"
KIND_CONFIGURATION = "configuration"
KIND_NO_OP = "no_op"


class Configuration(NamedTuple):
    """Members of a group, by node id.

    ``voters`` maps each voter to the identity of its disk, which is empty
    until the first leader records it.  While a voter is being replaced,
    ``outgoing`` has the voters before it, and each decision needs a majority
    of both sets (joint consensus).
    """

    voters: dict[str, str] = {}
    learners: list[str] = []
    retired: list[str] = []
    outgoing: dict[str, str] = {}

    @property
    def is_joint(self):
        """Whether a voter is being replaced."""
        return bool(self.outgoing)

    def all_voters(self):
        """Disk identities of the voters of both sets, by node id.

        >>> Configuration({"a": "", "d": ""}, outgoing={"c": "i"}).all_voters()
        {'c': 'i', 'a': '', 'd': ''}
        """
        return {**self.outgoing, **self.voters}

    def members(self):
        """Nodes that receive the log: voters and learners."""
        return list(dict.fromkeys([*self.all_voters(), *self.learners]))

    def has_quorum(self, nodes):
        """Whether nodes are a majority of the voters, of both sets if joint.

        :param nodes: node ids.

        >>> Configuration({"a": "", "b": "", "c": ""}).has_quorum({"a", "b"})
        True
        >>> Configuration({"a": "", "b": ""}).has_quorum({"a", "x"})
        False
        >>> joint = Configuration(
        ...     dict.fromkeys("abd", ""), outgoing=dict.fromkeys("abc", "")
        ... )
        >>> joint.has_quorum({"a", "d"}), joint.has_quorum({"a", "c", "d"})
        (False, True)
        """
        return all(
            2 * sum(voter in nodes for voter in voters) > len(voters)
            for voters in self._voter_sets()
        )

    def quorum_value(self, values):
        """Largest value that a majority has reached, of both sets if joint.

        :param values: value by node id; a missing one counts as 0.

        >>> Configuration({"a": "", "b": "", "c": ""}).quorum_value(
        ...     {"a": 9, "b": 4}
        ... )
        4
        """
        return min(
            _majority_value([values.get(voter, 0) for voter in voters])
            for voters in self._voter_sets()
        )

    def _voter_sets(self):
        return [self.voters, self.outgoing] if self.outgoing else [self.voters]


def _majority_value(values):
    values.sort(reverse=True)
    return values[len(values) // 2] if values else 0


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
