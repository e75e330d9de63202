"""Admission state of the upstreams that serve one target."""

from collections import deque

from quinceferry_core.models import Priority
from quinceferry_core.queues import FairQueue, QueueEntry

RATE_WINDOW_SECONDS = 5.0
"""Admissions of this long are counted to predict waits."""
MIN_NONEMPTY_SECONDS = 1.0
"""A queue must have been non-empty for so long before its rate says anything."""
LONG_QUEUE_WAIT_FACTOR = 2.0
"""How many times as long a queue of long work is watched, and may be waited in."""


class TargetQueue:
    """Queue of one target, with the rate at which it has been moving.

    Long and live requests for the same target use separate pools, so that a long request at the
    head of its queue does not hold up the others.

    :param is_long: whether this is a queue of long requests, which move more slowly.
    """

    def __init__(
        self, max_entries: int, max_workspace_share: float, *, is_long: bool = False
    ) -> None:
        self.wait_factor = LONG_QUEUE_WAIT_FACTOR if is_long else 1.0
        self.fair_queue: FairQueue = FairQueue(max_entries, max_workspace_share)
        self._recent_admissions: deque[tuple[float, Priority]] = deque()
        self._nonempty_since: float | None = None

    def push(self, waiting: QueueEntry, now: float) -> None:
        """Add a request to the queue."""
        if not len(self.fair_queue):
            self._nonempty_since = now
        self.fair_queue.push(waiting)

    def record_admission(self, priority: Priority, now: float) -> None:
        """Count an admission."""
        self._recent_admissions.append((now, priority))
        self._drop_expired_admissions(now)

    def expected_wait_seconds(self, priority: Priority, now: float) -> float:
        """Return the seconds that a new request of a class would wait.

        The queue ahead is divided by the rate of all admissions, and the class's own part of it by
        the rate of the class, which higher classes may have pushed aside. A queue that has not
        moved while it was watched is taken to move once in that time.
        """
        self._drop_expired_admissions(now)
        ahead = self.fair_queue.count_up_to_class(priority)
        nonempty_seconds = now - self._nonempty_since if self._nonempty_since is not None else 0.0
        if not ahead or nonempty_seconds < MIN_NONEMPTY_SECONDS * self.wait_factor:
            return 0.0
        window_seconds = min(nonempty_seconds, RATE_WINDOW_SECONDS * self.wait_factor)
        recent_priorities = [
            admitted_priority
            for admitted_at, admitted_priority in self._recent_admissions
            if now - admitted_at <= window_seconds
        ]
        return max(
            _drain_seconds(ahead, len(recent_priorities), window_seconds),
            _drain_seconds(
                self.fair_queue.count_in_class(priority),
                recent_priorities.count(priority),
                window_seconds,
            ),
        )

    def _drop_expired_admissions(self, now: float) -> None:
        window_seconds = RATE_WINDOW_SECONDS * self.wait_factor
        while self._recent_admissions and now - self._recent_admissions[0][0] > window_seconds:
            self._recent_admissions.popleft()


def _drain_seconds(ahead: int, admissions: int, window_seconds: float) -> float:
    return ahead * window_seconds / max(1, admissions)
