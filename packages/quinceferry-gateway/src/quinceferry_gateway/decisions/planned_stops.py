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

    The stop was requested between ``began_at`` and ``noted_at``. Every request is accepted until
    ``callers_left_at``, when most callers have learned other addresses. The process may be killed
    from ``safe_until`` on, if the request was made at ``began_at``. Requests in progress run until
    ``work_ends_at``, which rests on ``noted_at``: a kill ends no more of them than the gateway does
    itself. Everything else ends at ``closed_at``.
    """

    began_at: float
    noted_at: float
    callers_left_at: float
    safe_until: float
    work_ends_at: float
    closed_at: float

    @classmethod
    def starting_between(
        cls, not_before: float, noted_at: float, settings: StopSettings
    ) -> "PlannedStop":
        """Return the times of a stop that was requested between two times."""
        safe_until = max(not_before, not_before + settings.grace_seconds - CLOSE_RESERVE_SECONDS)
        ends_at = noted_at + settings.grace_seconds
        return cls(
            began_at=not_before,
            noted_at=noted_at,
            callers_left_at=min(not_before + settings.leave_seconds, safe_until),
            safe_until=safe_until,
            work_ends_at=max(noted_at, ends_at - CLOSE_RESERVE_SECONDS),
            closed_at=max(noted_at, ends_at - EXIT_RESERVE_SECONDS),
        )

    def accepts(self, deadline_at: float, now: float) -> bool:
        """Return whether to accept a request with that deadline.

        After callers have had the time to leave, only a request that is certainly finished before
        the process ends is accepted.
        """
        return now < self.callers_left_at or deadline_at <= self.safe_until
