"""Straight lines fitted to measured points."""

import math
from dataclasses import dataclass

import msgspec

MIN_POINTS = 4
"""Fewer sizes show nothing about whether the cost is a line."""


class Point(msgspec.Struct, frozen=True, array_like=True):
    """One measurement."""

    size: float
    value: float


class Slope(msgspec.Struct, frozen=True):
    """A cost as a line over the number of things that cause it.

    ``per_item`` is in ``unit`` for each ``item``; ``error`` is its standard error. ``fixed`` is the
    value at size zero.
    """

    name: str
    item: str
    unit: str
    per_item: float
    error: float
    fixed: float
    points: tuple[Point, ...]


@dataclass(slots=True, frozen=True)
class Series:
    """What is measured: its name, the item counted and the unit of the values."""

    name: str
    item: str
    unit: str


def fit(series: Series, points: list[Point]) -> Slope:
    """Fit a line by least squares.

    :raises ValueError: there are fewer than ``MIN_POINTS`` sizes.
    """
    if len({point.size for point in points}) < MIN_POINTS:
        raise ValueError(f"{series.name}: fewer than {MIN_POINTS} sizes")
    mean_size = sum(point.size for point in points) / len(points)
    mean_value = sum(point.value for point in points) / len(points)
    spread = sum((point.size - mean_size) ** 2 for point in points)
    shared = sum((point.size - mean_size) * (point.value - mean_value) for point in points)
    per_item = shared / spread
    fixed = mean_value - per_item * mean_size
    residual = sum((point.value - fixed - per_item * point.size) ** 2 for point in points)
    error = math.sqrt(residual / (len(points) - 2) / spread)
    return Slope(
        series.name,
        series.item,
        series.unit,
        _rounded(per_item),
        _rounded(error),
        _rounded(fixed),
        tuple(Point(point.size, _rounded(point.value)) for point in points),
    )


def _rounded(value: float) -> float:
    """Return a value with the digits that a measurement can carry."""
    return float(f"{value:.4g}")
