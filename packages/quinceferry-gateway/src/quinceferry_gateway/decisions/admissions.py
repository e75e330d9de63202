"""Admission of requests to fragile upstreams, which fail if they have to reject too many.

Load reports show too late how much room an upstream has: gateways that read the same one all send
to it at the same moment, and the upstream rejects what it can't queue. So one gateway counts what
all gateways have in progress at such an upstream, and admits no more than it has slots for.
"""

from collections import deque
from dataclasses import dataclass, field

REPORT_LIFETIME_SECONDS = 2.0
"""Time after which the requests of a gateway that reports no more are taken for ended."""
LEARNING_SECONDS = 1.2
"""Time after which all gateways have reported to a gateway that began to admit."""
LEARNING_SHARE = 0.5
"""Share of the slots that are used in that time if the load of the upstream is not known."""
RATE_WINDOW_SECONDS = 1.0
"""Time over which the rate of admissions is measured."""
REJECTION_PAUSE_SECONDS = 0.3
"""Time without admissions after a rejection, in which requests on their way arrive."""
REJECTION_LIMIT_SHARE = 0.75
"""Share of the requests in progress at a rejection that are admitted after it."""
LIMIT_GROWTH_PER_SECOND = 0.1
"""Share of the slots by which a reduced limit grows in a second."""
MAX_RETRY_SPREAD_SECONDS = 2.0
"""Longest retry delay of a denied request."""


@dataclass(slots=True, frozen=True)
class InFlightReport:
    """What a gateway has in progress at an upstream.

    ``number`` increases with each report and each request for an admission of this incarnation.
    ``pending`` has the numbers of the admissions that it waits for, whose requests ``in_flight``
    does not contain. ``rejections`` counts all requests that were rejected for want of room.
    """

    incarnation: str
    number: int
    in_flight: int
    pending: tuple[int, ...] = ()
    rejections: int = 0


@dataclass(slots=True)
class _GatewayCount:
    """The last report of a gateway, and the admissions that it does not include."""

    report: InFlightReport
    reported_at: float
    admitted: set[int] = field(default_factory=set)

    @property
    def occupied(self) -> int:
        """Return the requests in progress and those admitted."""
        return self.report.in_flight + len(self.admitted)


class AdmissionLedger:
    """Counts the requests of all gateways at one lifetime of an upstream. Times are monotonic.

    :param now: when this gateway begins to admit requests.
    """

    __slots__ = (
        "_admitted_at",
        "_blocked_until",
        "_counts_by_vm",
        "_last_retry_at",
        "_reduced_at",
        "_reduced_limit",
        "_started_at",
    )

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._counts_by_vm: dict[str, _GatewayCount] = {}
        self._admitted_at: deque[float] = deque()
        self._blocked_until = 0.0
        self._last_retry_at = now
        self._reduced_at = float("-inf")
        self._reduced_limit = float("inf")

    def record(self, vm: str, report: InFlightReport, now: float) -> None:
        """Apply a report; an older one than the last one of the same incarnation is ignored."""
        count = self._counts_by_vm.get(vm)
        if count is None or count.report.incarnation != report.incarnation:
            self._counts_by_vm[vm] = _GatewayCount(report, now)
            return
        if report.number < count.report.number:
            return
        if report.rejections > count.report.rejections:
            self._record_rejection(now)
        count.admitted = {
            number
            for number in count.admitted
            if number > report.number or number in report.pending
        }
        count.report, count.reported_at = report, now

    def _record_rejection(self, now: float) -> None:
        """Reduce the limit below what was in progress, and admit nothing for a moment."""
        if now >= self._blocked_until:
            self._reduced_limit = max(1.0, REJECTION_LIMIT_SHARE * self.occupied(now))
            self._reduced_at = now
        self._blocked_until = now + REJECTION_PAUSE_SECONDS

    def occupied(self, now: float) -> int:
        """Return the requests of all gateways, without those that are taken for ended."""
        ended = [
            vm
            for vm, count in self._counts_by_vm.items()
            if now - count.reported_at >= REPORT_LIFETIME_SECONDS
        ]
        for vm in ended:
            del self._counts_by_vm[vm]
        return sum(count.occupied for count in self._counts_by_vm.values())

    def is_learning(self, now: float) -> bool:
        """Return whether gateways may have requests in progress that they have not reported."""
        return now - self._started_at < LEARNING_SECONDS

    def has_room(self, capacity: float, now: float) -> bool:
        """Return whether a request may be admitted.

        :param capacity: requests that the upstream can run at once.
        """
        growth = LIMIT_GROWTH_PER_SECOND * capacity * (now - self._reduced_at)
        limit = min(capacity, self._reduced_limit + growth)
        return now >= self._blocked_until and self.occupied(now) < max(1, int(limit))

    def admit(self, vm: str, number: int, now: float) -> None:
        """Count an admission until a report of the gateway includes its request.

        Admitting the same number again, for a repeated call, counts once.
        """
        count = self._counts_by_vm.get(vm)
        if count is None or number in count.admitted:
            return
        count.admitted.add(number)
        self._admitted_at.append(now)

    def is_admitted(self, vm: str, number: int) -> bool:
        """Return whether a request has been admitted."""
        count = self._counts_by_vm.get(vm)
        return count is not None and number in count.admitted

    def wait_seconds(self, waiting: int, capacity: float, now: float) -> float:
        """Return the expected time until a request is admitted behind others that wait."""
        wait = (waiting + 1) / self._admissions_per_second(capacity, now)
        return max(wait, self._blocked_until - now)

    def retry_seconds(self, waiting: int, capacity: float, now: float) -> float:
        """Return when to ask again after a denial; each denial returns a later time."""
        interval = 1 / self._admissions_per_second(capacity, now)
        retry_at = max(
            now + self.wait_seconds(waiting, capacity, now), self._last_retry_at + interval
        )
        self._last_retry_at = min(retry_at, now + MAX_RETRY_SPREAD_SECONDS)
        return self._last_retry_at - now

    def _admissions_per_second(self, capacity: float, now: float) -> float:
        """Return the rate of the last second, at least that of a request a second in each slot."""
        while self._admitted_at and self._admitted_at[0] <= now - RATE_WINDOW_SECONDS:
            self._admitted_at.popleft()
        return max(1.0, capacity, len(self._admitted_at) / RATE_WINDOW_SECONDS)


def known_share(reached: int, known: int) -> float:
    """Return the share of an upstream's slots that a part of a partitioned fleet may use.

    :param reached: gateways that this one reaches, itself included.
    :param known: all registered gateways.
    """
    return min(1.0, reached / max(1, known))
