"""Token bucket whose rate and size may change over time."""


class TokenBucket:
    """Level of a token bucket; the caller supplies its rate and size.

    :param level: initial level.

    >>> bucket = TokenBucket(1.0)
    >>> bucket.take(1.0)
    >>> bucket.refill(0.5, 2.0)
    >>> bucket.level
    0.5
    """

    __slots__ = ("level",)

    def __init__(self, level):
        self.level = level

    def refill(self, amount, size):
        """Add tokens, up to the size of the bucket.

        :param amount: tokens to add.
        :param size: highest level.
        """
        self.level = min(self.level + amount, size)

    def take(self, amount):
        """Remove tokens; the level may become negative.

        :param amount: tokens to remove.
        """
        self.level -= amount
