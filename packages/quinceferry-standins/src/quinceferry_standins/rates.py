"""Token bucket shared by the stand-ins that limit their callers."""

from quinceferry_core.clocks import Clock


class TokenBucket:
    """Admits a number of units a second, with a burst of one second's worth.

    :param clock: source of time.
    :param units_per_second: rate at which units become available.
    """

    def __init__(self, clock: Clock, units_per_second: float) -> None:
        self._clock = clock
        self._rate = units_per_second
        self._available = units_per_second
        self._updated_at: float | None = None

    def take(self, units: float = 1.0) -> bool:
        """Take units if they are available.

        :param units: how many.
        :return: whether they were taken.
        """
        now = self._clock.monotonic()
        since = now if self._updated_at is None else self._updated_at
        gained = (now - since) * self._rate
        self._available = min(self._rate, self._available + gained)
        self._updated_at = now
        if self._available < units:
            return False
        self._available -= units
        return True
