"""Which requests a stopping gateway accepts, and when its steps end.

Callers keep an address for some seconds, and some use it until they learn another one, so requests
arrive until the process ends. A request that is accepted and not finished by then is cut, though
another gateway could have served it whole.
"""

from dataclasses import dataclass

from quinceferry_gateway.settings import StopSettings

CLOSE_RESERVE_SECONDS = 0.8
"""Time reserved at the end of a planned stop for the last settlements and for closing
connections."""
EXIT_RESERVE_SECONDS = 0.3
"""Part of it that is left for the exit of the process itself."""


@dataclass(slots=True, frozen=True)
class PlannedStop:
    """Times of a planned stop on the monotonic clock, in seconds.

    Every request is accepted until ``callers_left_at``, when most callers have learned other
    addresses. Requests end at ``work_ends_at``, and everything else at ``closed_at``.
    """

    began_at: float
    callers_left_at: float
    work_ends_at: float
    closed_at: float

    @classmethod
    def starting_at(cls, now: float, settings: StopSettings) -> "PlannedStop":
        """Return the times of a stop that begins now."""
        ends_at = now + settings.grace_seconds
        work_ends_at = max(now, ends_at - CLOSE_RESERVE_SECONDS)
        return cls(
            began_at=now,
            callers_left_at=min(now + settings.leave_seconds, work_ends_at),
            work_ends_at=work_ends_at,
            closed_at=max(now, ends_at - EXIT_RESERVE_SECONDS),
        )

    def accepts(self, deadline_at: float, now: float) -> bool:
        """Return whether to accept a request with that deadline.

        After callers have had the time to leave, only a request that is certainly finished before
        the process ends is accepted.
        """
        return now < self.callers_left_at or deadline_at <= self.work_ends_at
