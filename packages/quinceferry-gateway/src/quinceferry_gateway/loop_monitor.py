"""Measures how late the event loop runs what is due."""

from collections.abc import Callable

from quinceferry_core.clocks import Clock
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics

TICK_INTERVAL_SECONDS = 0.2
MAX_TICK_SECONDS = 0.4
"""Time between two ticks from which the event loop counts as stalled in between."""


class LoopMonitor(Controller):
    """Records delays of the event loop.

    ``responsive_at`` is the last time at which it was not stalled, on the monotonic clock in
    seconds. What arrived before then has been noticed.

    :param on_tick: called whenever the event loop runs on time, or again after a stall.
    """

    def __init__(self, clock: Clock, metrics: Metrics, on_tick: Callable[[], None]) -> None:
        super().__init__()
        self._clock = clock
        self._metrics = metrics
        self._on_tick = on_tick
        self.responsive_at = clock.monotonic()

    async def start(self) -> None:
        """Start to measure."""
        self.supervise(self._tick, "loop monitor")

    async def _tick(self) -> None:
        """Compare the time between two ticks with the interval."""
        ticked_at = self._clock.monotonic()
        while True:
            self._on_tick()
            now = self._clock.monotonic()
            is_stalled = now - ticked_at > MAX_TICK_SECONDS
            self.responsive_at = ticked_at if is_stalled else now
            delay_seconds = max(0.0, now - ticked_at - TICK_INTERVAL_SECONDS)
            self._metrics.record_loop_delay(delay_seconds)
            if is_stalled:
                log.failure("loop.stalled", seconds=round(delay_seconds, 4))
            ticked_at = now
            await self._clock.sleep(TICK_INTERVAL_SECONDS)
