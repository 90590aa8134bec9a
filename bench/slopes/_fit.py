"""Fitting a straight line."""

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Fit:
    """A straight line through measured points."""

    # The value at zero.
    intercept: float
    # The rise for one unit.
    slope: float
    # The standard error of the slope; 0 with two points.
    slope_error: float
    # The share of the variance that the line explains, from 0 to 1.
    explained_ratio: float

    def value_at(self, amount: float) -> float:
        """Return the line's value."""
        return self.intercept + self.slope * amount


def fit_line(amounts: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line by least squares.

    Parameters
    ----------
    amounts : sequence of float
        Where it was measured; at least two different ones.
    values : sequence of float
        What was measured.

    Returns
    -------
    Fit
        The line with its error.
    """
    count = len(amounts)
    mean_amount = sum(amounts) / count
    mean_value = sum(values) / count
    spread = sum((x - mean_amount) ** 2 for x in amounts)
    pairs = list(zip(amounts, values, strict=True))
    slope = sum((x - mean_amount) * (y - mean_value) for x, y in pairs) / spread
    intercept = mean_value - slope * mean_amount
    residual = sum((y - intercept - slope * x) ** 2 for x, y in pairs)
    total = sum((y - mean_value) ** 2 for y in values)
    slope_error = 0.0
    if count > 2:
        slope_error = math.sqrt(residual / (count - 2) / spread)
    explained_ratio = 1.0 if total == 0 else 1.0 - residual / total
    return Fit(intercept, slope, slope_error, explained_ratio)
