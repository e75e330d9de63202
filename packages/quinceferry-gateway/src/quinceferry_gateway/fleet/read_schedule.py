"""Which gateways read the store, and when.

A call to the store costs the same for each gateway that makes it, so lists that every gateway reads
would cost calls in proportion to the fleet. A few designated readers read at a fixed interval, and
the others receive copies of the result. A gateway that is no designated reader reads only when its
copy exceeds the maximum age of the list, which happens when the readers fail, are partitioned, or
can't be reached.
"""

import math
import random
from collections.abc import Iterable

from quinceferry_gateway.rendezvous import rank_candidates

READER_COUNT = 3
"""Number of designated readers. Two may fail at once, and reads are a third of the interval apart.
"""
READERS_RANKING_KEY = "readers"
JITTER_SHARE = 0.15
"""Spread of the age at which other gateways read, so that those whose copies are equally old don't
all call at once: the first to read passes its copy on."""
FIRST_JITTER_SHARE = 1.0
"""The same after the first read, when gateways that started together don't yet receive each other's
digests; the platform's bounds apply to none of them before its second read."""
INTERVAL_SHARE = 0.35
"""Share of the bound of a list after which a designated reader reads it again. Three readers then
make a read in every eighth of the bound."""
MAX_AGE_SHARE = 0.6
"""Share of the bound that the age of a copy may reach before any gateway reads the list. With the
jitter no copy is older than 0.7 of the bound; the rest is for a slow store and a gateway under
load."""
MIN_PAUSE_SECONDS = 0.05
MAX_PAUSE_SECONDS = 0.6
"""Bounds of the pause between two checks of the schedule. Digests may make a gateway a designated
reader at any time, and it notices this at its next check."""
RETRY_SECONDS = 0.25
"""Pause of a designated reader after a failed call, short so that it detects when the store
recovers."""
NON_READER_RETRY_SECONDS = (2.0, 5.0)
"""Bounds of the pause of other gateways after a failed call in a large fleet. In an outage, 190
gateways then make 55 calls a second, and if only a hundred of them can reach the store, they detect
this within 0.1 s."""
FLEET_SIZE_OF_LONGEST_PAUSE = 40
"""Number of gateways from which on the pause is not shorter. The fewer they are, the more depends
on each call if the designated readers are partitioned."""
SKIPPED_READ_SECONDS = 0.5
"""Interval at which to check again a list that is not read because another list can't be read
either."""


def is_designated_reader(own_vm: str, vms: Iterable[str]) -> bool:
    """Return whether a gateway is a designated reader of a fleet on these vms."""
    return own_vm in rank_candidates(READERS_RANKING_KEY, vms)[:READER_COUNT]


class ReadSchedule:
    """When this gateway reads one list next. Times are those of the monotonic clock, in seconds.

    :param interval_seconds: between two reads of a designated reader.
    :param max_age_seconds: age of the copy at which any gateway reads.
    """

    def __init__(
        self, interval_seconds: float, max_age_seconds: float, random_source: random.Random
    ) -> None:
        self._interval_seconds = interval_seconds
        self._max_age_seconds = max_age_seconds
        self._random = random_source
        self._first_started_at = -math.inf
        self._last_started_at: float | None = None
        self._retry_at = 0.0
        self._first_jitter_seconds = 0.0
        self._jitter_seconds = 0.0

    def due_at(self, is_reader: bool, requested_at: float | None) -> float:
        """Return when to read next.

        :param is_reader: whether this gateway is a designated reader.
        :param requested_at: when the read of its copy was requested; None without a copy.
        """
        if requested_at is None or self._last_started_at is None and is_reader:
            return self._retry_at
        due_at = requested_at + self._max_age_seconds + self._jitter_of(requested_at)
        if is_reader:
            due_at = min(due_at, self._last_started_at + self._interval_seconds)
        if self._last_started_at is not None and requested_at > self._last_started_at:
            # The store has answered another gateway since the last call of this one.
            return due_at
        return max(due_at, self._retry_at)

    def read_started(self, now: float) -> None:
        """Record that a read starts."""
        if self._last_started_at is None:
            self._first_started_at = now
            self._first_jitter_seconds = self._draw_jitter(FIRST_JITTER_SHARE)
        self._last_started_at = now
        self._jitter_seconds = self._draw_jitter(JITTER_SHARE)

    def read_failed(
        self, is_reader: bool, requested_at: float | None, now: float, fleet_size: int
    ) -> None:
        """Record that a read failed, and draw the pause before the next one.

        A gateway without a copy pauses as a designated reader does. With the longer pause, none of
        the gateways that were stopped together serves for four seconds after their restart.

        :param fleet_size: number of gateways, this one included.
        """
        seconds = RETRY_SECONDS
        if not is_reader and requested_at is not None:
            share = min(1.0, fleet_size / FLEET_SIZE_OF_LONGEST_PAUSE)
            drawn_seconds = self._random.uniform(*NON_READER_RETRY_SECONDS)
            seconds = max(RETRY_SECONDS, share * drawn_seconds)
        self.delay(seconds, now)

    def pause_seconds(self, is_reader: bool, requested_at: float | None, now: float) -> float:
        """Return the time until the next check of the schedule; zero when a read is due."""
        remaining_seconds = self.due_at(is_reader, requested_at) - now
        if remaining_seconds <= 0:
            return 0.0
        return min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, remaining_seconds))

    def delay(self, seconds: float, now: float) -> None:
        """Delay the next read by at least so many seconds."""
        self._retry_at = now + seconds

    def _jitter_of(self, requested_at: float) -> float:
        """Return how far the age of a copy may exceed the maximum.

        A copy more recent than the first read shows that the digests of others arrive.
        """
        is_first = requested_at <= self._first_started_at
        return self._first_jitter_seconds if is_first else self._jitter_seconds

    def _draw_jitter(self, share: float) -> float:
        """Return a random share of the maximum age."""
        return self._random.random() * share * self._max_age_seconds
