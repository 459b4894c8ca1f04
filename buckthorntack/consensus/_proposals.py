"""Proposal ids, and detection of duplicate proposals by the leader."""

#: Range of sequence numbers within which one proposer's proposals may arrive
#: out of order; older ones are treated as duplicates.
REORDER_WINDOW = 1024


def proposal_id(proposer, sequence):
    """Build the id of a proposal.

    :param proposer: id of one run of one node.
    :param sequence: number of the proposal, increasing within the run.

    >>> proposal_id("kumamoto-a-1/5f", 3)
    'kumamoto-a-1/5f/3'
    """
    return f"{proposer}/{sequence}"


class SeenProposals:
    """Forwarded proposals that a leader has received in its term.

    >>> seen = SeenProposals()
    >>> seen.add("n/1/7"), seen.add("n/1/7"), seen.add("n/1/6")
    (True, False, True)
    """

    def __init__(self):
        self._newest = {}
        self._recent = {}

    def add(self, proposal):
        """Record a proposal.

        :param proposal: its id.
        :returns: whether it certainly was not received before.
        """
        proposer, _, number = proposal.rpartition("/")
        sequence = int(number)
        newest = self._newest.get(proposer, 0)
        recent = self._recent.setdefault(proposer, set())
        if sequence in recent or sequence <= newest - REORDER_WINDOW:
            return False
        recent.add(sequence)
        if sequence > newest:
            self._newest[proposer] = sequence
            self._drop_old(recent, sequence - REORDER_WINDOW)
        return True

    @staticmethod
    def _drop_old(recent, oldest):
        if len(recent) > 2 * REORDER_WINDOW:
            recent.difference_update([n for n in recent if n <= oldest])
