"""Spans of time in which a store is known to have answered.

Whether a store was available is the same for all of its callers, while each of them may be
partitioned from it alone. So an answer to any process proves that the store was available, and
what several processes know of it adds up.
"""

from dataclasses import dataclass

MAX_SPANS = 8
"""Number of spans that are remembered; the earliest is forgotten first."""


@dataclass(slots=True, frozen=True)
class ContactSpan:
    """A span of time in which no two successive answers were far apart."""

    since: float
    until: float


class ContactHistory:
    """Spans of contact with a store, merged from the answers to several processes.

    All times are in seconds of the monotonic clock.

    :param max_gap_seconds: two answers that are less than this apart belong to one span.
    """

    __slots__ = ("_max_gap_seconds", "_spans")

    def __init__(self, max_gap_seconds: float) -> None:
        self._max_gap_seconds = max_gap_seconds
        self._spans: list[ContactSpan] = []

    @property
    def latest(self) -> ContactSpan | None:
        """Return the latest span, None before the first answer."""
        return self._spans[-1] if self._spans else None

    def record(self, since: float, until: float) -> None:
        """Record that the store answered some process from one time to another.

        It closes a gap between two spans if it leaves less than the longest gap on either side.
        """
        apart = []
        for span in self._spans:
            if self._is_apart(span.until, since) or self._is_apart(until, span.since):
                apart.append(span)
            else:
                since, until = min(since, span.since), max(until, span.until)
        spans = sorted([*apart, ContactSpan(since, until)], key=lambda span: span.since)
        self._spans = spans[-MAX_SPANS:]

    def includes(self, at: float) -> bool:
        """Return whether contact has been unbroken since a time."""
        return self.latest is not None and self.latest.since <= at

    def _is_apart(self, before: float, after: float) -> bool:
        """Return whether leases may have expired between two answers."""
        return after - before >= self._max_gap_seconds
