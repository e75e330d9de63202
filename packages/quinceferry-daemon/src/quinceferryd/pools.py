"""Admission state of the upstreams that serve one target."""

from collections import deque

from quinceferry_core.models import Priority
from quinceferry_core.queues import FairQueue, Waiting

RATE_WINDOW_SECONDS = 5.0
"""Admissions of this long are counted to predict waits."""
MIN_BUSY_SECONDS = 1.0
"""A queue must have been non-empty for so long before its rate says anything."""
LONG_WORK_FACTOR = 2.0
"""How many times as long a queue of long work is watched, and may be waited in."""


class Pool:
    """Queue of one target, with the rate at which it has been moving.

    Long and live requests for the same target use separate pools, so that a long request at the
    head of its queue does not hold up the others.

    :param is_long: whether this is a queue of long requests, which move more slowly.
    """

    def __init__(
        self, max_entries: int, max_workspace_share: float, *, is_long: bool = False
    ) -> None:
        self.pace = LONG_WORK_FACTOR if is_long else 1.0
        self.queue: FairQueue = FairQueue(max_entries, max_workspace_share)
        self._admissions: deque[tuple[float, Priority]] = deque()
        self._busy_since: float | None = None

    def push(self, waiting: Waiting, now: float) -> None:
        """Add a request to the queue."""
        if not len(self.queue):
            self._busy_since = now
        self.queue.push(waiting)

    def admitted(self, priority: Priority, now: float) -> None:
        """Count an admission."""
        self._admissions.append((now, priority))
        self._forget_old(now)

    def expected_wait(self, priority: Priority, now: float) -> float:
        """Return the seconds that a new request of a class would wait.

        The queue ahead is divided by the rate of all admissions, and the class's own part of it by
        the rate of the class, which higher classes may have pushed aside. A queue that has not
        moved while it was watched is taken to move once in that time.
        """
        self._forget_old(now)
        ahead = self.queue.waiting_up_to(priority)
        busy = now - self._busy_since if self._busy_since is not None else 0.0
        if not ahead or busy < MIN_BUSY_SECONDS * self.pace:
            return 0.0
        window = min(busy, RATE_WINDOW_SECONDS * self.pace)
        recent = [p for at, p in self._admissions if now - at <= window]
        return max(
            _seconds(ahead, len(recent), window),
            _seconds(self.queue.waiting_in(priority), recent.count(priority), window),
        )

    def _forget_old(self, now: float) -> None:
        window = RATE_WINDOW_SECONDS * self.pace
        while self._admissions and now - self._admissions[0][0] > window:
            self._admissions.popleft()


def _seconds(ahead: int, admissions: int, window: float) -> float:
    return ahead * window / max(1, admissions)
