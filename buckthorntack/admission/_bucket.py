"""Token bucket whose rate and size change."""


class TokenBucket:
    """Level of a token bucket; its owner says the rate and the size.

    :param level: level to start from.

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
        """Add to the level, up to the size.

        :param amount: what to add.
        :param size: highest level.
        """
        self.level = min(self.level + amount, size)

    def take(self, amount):
        """Take from the level, which may become negative.

        :param amount: what to take.
        """
        self.level -= amount
