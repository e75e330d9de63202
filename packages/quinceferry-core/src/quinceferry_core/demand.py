"""Demand for models as one router sees it."""

import math

from quinceferry_core.clocks import Clock
from quinceferry_core.models import ModelRef

HALF_LIFE_SECONDS = 60.0
"""Time in which the smoothed demand of a silent model halves."""
MIN_DEMAND = 0.01
"""Requests a second below which a model counts as idle."""

_DECAY_PER_SECOND = math.log(2) / HALF_LIFE_SECONDS


class DemandMeter:
    """Smoothed requests a second for each model.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._levels_by_model: dict[ModelRef, float] = {}
        self._decayed_at = 0.0

    def note(self, model: ModelRef) -> None:
        """Count one request, also one that is refused because the model is not loaded."""
        self._decay()
        level = self._levels_by_model.get(model, 0.0)
        self._levels_by_model[model] = level + _DECAY_PER_SECOND

    def read(self) -> dict[ModelRef, float]:
        """Return the demand, rounded to powers of two so that it changes rarely."""
        self._decay()
        levels = self._levels_by_model.items()
        return {model: 2.0 ** round(math.log2(level)) for model, level in levels}

    def _decay(self) -> None:
        now = self._clock.monotonic()
        factor = math.exp(-_DECAY_PER_SECOND * (now - self._decayed_at))
        self._decayed_at = now
        levels = {model: level * factor for model, level in self._levels_by_model.items()}
        self._levels_by_model = {m: level for m, level in levels.items() if level >= MIN_DEMAND}
