"""Straight lines through measured points."""

from typing import NamedTuple

import numpy


class Fit(NamedTuple):
    """Least-squares line and its largest residual."""

    slope: float
    intercept: float
    residual: float

    def at(self, size):
        """Value of the line.

        :param size: where.
        """
        return self.slope * size + self.intercept


class Series(NamedTuple):
    """One figure at several sizes."""

    name: str
    size_label: str
    value_label: str
    sizes: list[float]
    values: list[float]

    def fit(self):
        """Line through the points."""
        slope, intercept = numpy.polyfit(self.sizes, self.values, 1)
        line = slope * numpy.array(self.sizes) + intercept
        residual = max(abs(numpy.array(self.values) - line))
        return Fit(float(slope), float(intercept), float(residual))
