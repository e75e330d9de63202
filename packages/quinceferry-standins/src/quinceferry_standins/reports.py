"""Load reports and cache events of the stand-in engine, published late and with gaps."""

import random
from collections import deque
from dataclasses import dataclass

from quinceferry_core.adapters import CacheEvent, LoadReport
from quinceferry_core.clocks import Clock
from quinceferry_standins.prefix_cache import CacheChange

MAX_KEPT_EVENTS = 16384
"""Cache events an engine keeps; older ones are lost to readers that lag."""

_SNAPSHOTS_PER_LAG = 8

IDLE = LoadReport(running=0, waiting=0, queued_tokens=0, free_slots=0)


@dataclass(slots=True)
class _Snapshot:
    """A load report and when it was taken, in monotonic seconds."""

    taken_at: float
    report: LoadReport


class LaggedReports:
    """Returns load reports as they were some time ago.

    :param lag_seconds: age of the report that readers see.
    """

    def __init__(self, clock: Clock, lag_seconds: float, initial: LoadReport = IDLE) -> None:
        self._clock = clock
        self._lag_seconds = lag_seconds
        self._visible = initial
        self._snapshots: deque[_Snapshot] = deque()

    def record(self, report: LoadReport) -> None:
        """Take a snapshot; ones close together in time are merged."""
        now = self._clock.monotonic()
        self._expire(now)
        spacing = self._lag_seconds / _SNAPSHOTS_PER_LAG
        if self._snapshots and now - self._snapshots[-1].taken_at < spacing:
            self._snapshots[-1].report = report
            return
        self._snapshots.append(_Snapshot(now, report))

    def read(self) -> LoadReport:
        """Return the report that has become visible by now."""
        self._expire(self._clock.monotonic())
        return self._visible

    def _expire(self, now: float) -> None:
        """Make snapshots visible that are old enough."""
        while self._snapshots and self._snapshots[0].taken_at + self._lag_seconds <= now:
            self._visible = self._snapshots.popleft().report


class CacheEventLog:
    """Numbered cache events; some are lost, all appear late.

    :param lag_seconds: delay between a change and its event.
    :param loss: probability that an event is never published.
    """

    def __init__(self, clock: Clock, rng: random.Random, lag_seconds: float, loss: float) -> None:
        self._clock = clock
        self._rng = rng
        self._lag_seconds = lag_seconds
        self._loss = loss
        self._sequence = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_KEPT_EVENTS)

    def publish(self, change: CacheChange) -> None:
        """Number the events of a change and keep those that are not lost."""
        for prefix in change.evicted:
            self._publish(prefix, added=False)
        for prefix in change.added:
            self._publish(prefix, added=True)

    def read(self, after: int) -> tuple[CacheEvent, ...]:
        """Return visible events with a sequence greater than ``after``."""
        now = self._clock.monotonic()
        return tuple(event for due, event in self._events if due <= now and event.sequence > after)

    def _publish(self, prefix: int, added: bool) -> None:
        """Number one event and keep it unless it is lost."""
        self._sequence += 1
        if self._rng.random() < self._loss:
            return
        due = self._clock.monotonic() + self._lag_seconds
        self._events.append((due, CacheEvent(self._sequence, prefix, added)))
