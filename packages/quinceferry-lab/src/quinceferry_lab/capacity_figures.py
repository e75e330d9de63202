"""What was measured and derived, as it stands in the file."""

import msgspec

from quinceferry_lab.capacity_fits import Slope
from quinceferry_lab.capacity_fleet import Calls
from quinceferry_lab.capacity_journals import JournalCost
from quinceferry_lab.measure_membership import Phase


class Figure(msgspec.Struct, frozen=True):
    """One derived figure; ``limit`` is zero where none is given."""

    name: str
    what: str
    value: float
    unit: str
    limit: float
    formula: str

    @property
    def share(self) -> float:
        """Return the part of the limit that is used."""
        return self.value / self.limit if self.limit else 0.0


class Report(msgspec.Struct, frozen=True):
    """Everything that ``make capacity`` measured, and what was derived from it."""

    slopes: tuple[Slope, ...]
    readings: dict[str, float]
    fleets: tuple[Calls, ...]
    journals: tuple[JournalCost, ...]
    membership: tuple[Phase, ...]
    settings: dict[str, float] = {}
    sizes: dict[str, float] = {}
    limits: dict[str, float] = {}
    figures: tuple[Figure, ...] = ()


class Derivation:
    """Figures derived one after the other, each from slopes and those before it.

    :param report: what was measured.
    """

    def __init__(self, report: Report) -> None:
        self.report = report
        self.made: list[Figure] = []

    def slope(self, name: str) -> float:
        """Return a measured slope."""
        return self._slope(name).per_item

    def fixed(self, name: str) -> float:
        """Return the fixed part of a measured line."""
        return max(0.0, self._slope(name).fixed)

    def reading(self, name: str) -> float:
        """Return a single reading."""
        return self.report.readings[name]

    def largest_idle(self) -> Phase:
        """Return the idle phase of the largest fleet."""
        return max(self.phases("idle"), key=lambda phase: phase.routers)

    def phases(self, name: str) -> list[Phase]:
        """Return one phase of membership of all fleets."""
        return [phase for phase in self.report.membership if phase.name == name]

    def __getitem__(self, name: str) -> float:
        """Return a figure that was derived before."""
        return next(figure.value for figure in self.made if figure.name == name)

    def add(
        self, name: str, what: str, value: float, unit: str, formula: str = "", limit: float = 0.0
    ) -> None:
        """Add a figure."""
        self.made.append(Figure(name, what, float(f"{value:.4g}"), unit, limit, formula))

    def _slope(self, name: str) -> Slope:
        return next(slope for slope in self.report.slopes if slope.name == name)
