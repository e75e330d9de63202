"""Queue of the requests for one target, with an estimate of the waiting time."""

from collections import deque

from quinceferry_core.models import Priority
from quinceferry_core.queues import FairQueue, QueueEntry

RATE_WINDOW_SECONDS = 5.0
"""Sliding window of the admission rate that predicts waiting times."""
MIN_NONEMPTY_SECONDS = 1.0
"""How long a queue must have been non-empty before its admission rate is used."""
LONG_QUEUE_WAIT_FACTOR = 2.0
"""Factor on the rate window and on the maximum wait for queues of long requests."""


class TargetQueue:
    """Queue of one target, with its recent admission rate.

    Long and short requests for the same target use separate queues, so that a long request at the
    head of the queue does not block the short ones.

    :param max_entries: maximum number of waiting requests.
    :param max_workspace_share: largest share of the queue that one workspace may fill.
    :param is_long: whether this queue holds long requests, which are admitted more slowly.
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
        """Return the seconds that a new request of a priority would wait.

        Two estimates are computed and the longer one is returned: all requests ahead divided by the
        overall admission rate, and the requests of the same priority divided by the admission rate
        of that priority, which higher priorities may have slowed. Without any admission in the
        window, one admission per window is assumed.
        """
        self._drop_expired_admissions(now)
        requests_ahead = self.fair_queue.count_up_to_class(priority)
        nonempty_seconds = now - self._nonempty_since if self._nonempty_since is not None else 0.0
        if not requests_ahead or nonempty_seconds < MIN_NONEMPTY_SECONDS * self.wait_factor:
            return 0.0
        window_seconds = min(nonempty_seconds, RATE_WINDOW_SECONDS * self.wait_factor)
        recent_priorities = [
            admitted_priority
            for admitted_at, admitted_priority in self._recent_admissions
            if now - admitted_at <= window_seconds
        ]
        return max(
            _drain_seconds(requests_ahead, len(recent_priorities), window_seconds),
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


def _drain_seconds(requests_ahead: int, admissions: int, window_seconds: float) -> float:
    return requests_ahead * window_seconds / max(1, admissions)
