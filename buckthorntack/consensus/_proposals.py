"""Names of proposals, and which of them a leader has seen."""

#: Proposals of one proposer that may overtake each other.
REORDER_WINDOW = 1024


def proposal_id(proposer, sequence):
    """Name a proposal.

    :param proposer: names one run of one node.
    :param sequence: number of the proposal, growing.

    >>> proposal_id("kumamoto-a-1/5f", 3)
    'kumamoto-a-1/5f/3'
    """
    return f"{proposer}/{sequence}"


class SeenProposals:
    """Proposals that were handed to a leader in its term.

    >>> seen = SeenProposals()
    >>> seen.add("n/1/7"), seen.add("n/1/7"), seen.add("n/1/6")
    (True, False, True)
    """

    def __init__(self):
        self._newest = {}
        self._recent = {}

    def add(self, name):
        """Note a proposal.

        :param name: its name.
        :returns: whether it is certain that it was not seen before.
        """
        proposer, _, number = name.rpartition("/")
        sequence = int(number)
        newest = self._newest.get(proposer, 0)
        recent = self._recent.setdefault(proposer, set())
        if sequence in recent or sequence <= newest - REORDER_WINDOW:
            return False
        recent.add(sequence)
        if sequence > newest:
            self._newest[proposer] = sequence
            self._forget(recent, sequence - REORDER_WINDOW)
        return True

    @staticmethod
    def _forget(recent, oldest):
        if len(recent) > 2 * REORDER_WINDOW:
            recent.difference_update([n for n in recent if n <= oldest])
