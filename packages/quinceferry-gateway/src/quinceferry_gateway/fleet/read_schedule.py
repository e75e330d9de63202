"""Which gateways read the store, and when.

The load: a call to the store costs the same for each gateway that makes it, so that lists which all
read cost calls in proportion to the fleet. Few designated readers read at a fixed interval; what
they read is handed on. Everybody else reads only when its copy is older than the bound of its list
allows, which happens when the readers fail, are cut off, or can't be heard.
"""

import random
from collections.abc import Iterable

from quinceferry_gateway.rendezvous import rank_candidates

READER_COUNT = 3
"""Designated readers, so that two may fail at once, and readings lie a third of the interval
apart."""
READERS_RANKING_KEY = "readers"
JITTER_SHARE = 0.15
"""Spread of the age at which a gateway that is no reader reads for itself, so that those whose
copies are equally old don't all call at once: the first to read hands its copy on."""
FIRST_JITTER_SHARE = 1.0
"""The same after the first reading, when the gateways that started together don't yet hear of each
other; the platform's bounds apply to none of them before its second reading."""
INTERVAL_SHARE = 0.35
"""Part of its bound after which a designated reader reads a list again: three readers make one
reading in an eighth of the bound."""
MAX_AGE_SHARE = 0.6
"""Part of the bound to which a copy may age before any gateway reads for itself: with the jitter no
copy is older than 0.7 of the bound, and the rest is for a slow store and a gateway under load."""
MIN_PAUSE_SECONDS = 0.05
MAX_PAUSE_SECONDS = 0.6
"""Bounds of the pause between two looks at the clock; a gateway finds out that it has become a
reader with its digests, once in that time."""
RETRY_SECONDS = 0.25
"""Pause of a designated reader after a call that failed; it finds the store's return."""
NON_READER_RETRY_SECONDS = (2.0, 5.0)
"""Bounds of the pause of all others after a call that failed: 190 gateways then make 55 calls a
second in an outage, and a hundred of them that alone are served find out within 0.1 s."""
SKIPPED_READ_SECONDS = 0.5
"""How often a list that is not tried, since another one can't be read either, is looked at
again."""


def is_designated_reader(own_vm: str, vms: Iterable[str]) -> bool:
    """Tell whether a gateway is a designated reader of a fleet on these vms."""
    return own_vm in rank_candidates(READERS_RANKING_KEY, vms)[:READER_COUNT]


class ReadSchedule:
    """When this gateway reads one list next. Times are those of the steady clock, in seconds.

    :param interval_seconds: between two readings of a designated reader.
    :param max_age_seconds: age of the copy at which anybody reads.
    """

    def __init__(
        self, interval_seconds: float, max_age_seconds: float, random_source: random.Random
    ) -> None:
        self._interval_seconds = interval_seconds
        self._max_age_seconds = max_age_seconds
        self._random = random_source
        self._last_started_at: float | None = None
        self._retry_at = 0.0
        self._jitter_seconds = 0.0

    def due_at(self, is_reader: bool, asked_at: float | None) -> float:
        """Return when to read next.

        :param reader: whether this gateway is a designated reader.
        :param asked_at: when the reading of its copy was asked for; None without a copy.
        """
        if asked_at is None or self._last_started_at is None and is_reader:
            return self._retry_at
        due_at = asked_at + self._max_age_seconds + self._jitter_seconds
        if is_reader:
            due_at = min(due_at, self._last_started_at + self._interval_seconds)
        return max(due_at, self._retry_at)

    def read_started(self, now: float) -> None:
        """Note that a reading begins."""
        share = FIRST_JITTER_SHARE if self._last_started_at is None else JITTER_SHARE
        self._last_started_at = now
        self._jitter_seconds = self._draw_jitter(share)

    def read_failed(self, is_reader: bool, asked_at: float | None, now: float) -> None:
        """Note that a reading failed, and draw the pause.

        Without a copy it is that of a designated reader: after all gateways were ended together,
        none served for four seconds when it was that of the others.
        """
        urgent = is_reader or asked_at is None
        self.delay(
            RETRY_SECONDS if urgent else self._random.uniform(*NON_READER_RETRY_SECONDS), now
        )

    def pause_seconds(self, is_reader: bool, asked_at: float | None, now: float) -> float:
        """Return how long to wait until it is worth looking again; zero when a reading is due."""
        remaining_seconds = self.due_at(is_reader, asked_at) - now
        if remaining_seconds <= 0:
            return 0.0
        return min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, remaining_seconds))

    def delay(self, seconds: float, now: float) -> None:
        """Read no sooner than after a pause."""
        self._retry_at = now + seconds

    def _draw_jitter(self, share: float) -> float:
        """Return how far beyond the limit the copy may age."""
        return self._random.random() * share * self._max_age_seconds
