"""Demand for models at one router."""

import math

from quinceferry_core.clocks import Clock
from quinceferry_core.models import ModelRef

HALF_LIFE_SECONDS = 60.0
"""Half-life of the smoothed request rate of a model without requests."""
MIN_REQUESTS_PER_SECOND = 0.01
"""Request rate below which a model counts as idle."""

_DECAY_PER_SECOND = math.log(2) / HALF_LIFE_SECONDS


class DemandMeter:
    """Measures the smoothed request rate of each model, in requests per second."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rate_by_model: dict[ModelRef, float] = {}
        self._updated_at = 0.0

    def record_request(self, model: ModelRef) -> None:
        """Count one request, including one that is refused because the model is not loaded."""
        self._decay()
        rate = self._rate_by_model.get(model, 0.0)
        self._rate_by_model[model] = rate + _DECAY_PER_SECOND

    def rounded_rates(self) -> dict[ModelRef, float]:
        """Return the rates rounded to powers of two, so that the published values change rarely."""
        self._decay()
        rates = self._rate_by_model.items()
        return {model: 2.0 ** round(math.log2(rate)) for model, rate in rates}

    def _decay(self) -> None:
        now = self._clock.monotonic()
        factor = math.exp(-_DECAY_PER_SECOND * (now - self._updated_at))
        self._updated_at = now
        rates = {model: rate * factor for model, rate in self._rate_by_model.items()}
        self._rate_by_model = {
            m: rate for m, rate in rates.items() if rate >= MIN_REQUESTS_PER_SECOND
        }
