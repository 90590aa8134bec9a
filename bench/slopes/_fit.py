"""Least-squares fit of a straight line."""

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Fit:
    """A straight line through measured points."""

    # The value at amount 0.
    intercept: float
    # The increase of the value per unit of the amount.
    slope: float
    # The standard error of the slope; 0 with two points.
    slope_error: float
    # The share of the variance that the line explains, from 0 to 1.
    explained_ratio: float

    def value_at(self, amount: float) -> float:
        """Return the value of the line at an amount."""
        return self.intercept + self.slope * amount


def fit_line(amounts: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line by least squares.

    Parameters
    ----------
    amounts : sequence of float
        The amounts of the measurements, of which at least two differ.
    values : sequence of float
        The measured values, one for each amount.

    Returns
    -------
    Fit
        The line with the standard error of its slope.
    """
    count = len(amounts)
    mean_amount = sum(amounts) / count
    mean_value = sum(values) / count
    squared_deviation = sum((x - mean_amount) ** 2 for x in amounts)
    pairs = list(zip(amounts, values, strict=True))
    slope = (
        sum((x - mean_amount) * (y - mean_value) for x, y in pairs) / squared_deviation
    )
    intercept = mean_value - slope * mean_amount
    residual = sum((y - intercept - slope * x) ** 2 for x, y in pairs)
    total = sum((y - mean_value) ** 2 for y in values)
    slope_error = 0.0
    if count > 2:
        slope_error = math.sqrt(residual / (count - 2) / squared_deviation)
    explained_ratio = 1.0 if total == 0 else 1.0 - residual / total
    return Fit(intercept, slope, slope_error, explained_ratio)
