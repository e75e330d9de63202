"""Delays a joining router until its upstreams have reported their load."""

from collections.abc import Callable

from quinceferry_core.clocks import Clock
from quinceferry_core.models import UpstreamSpec
from quinceferryd.blackboard import Blackboard, UpstreamStatus

MAX_WAIT_SECONDS = 3.0
"""Limit of the wait, so that unreachable upstreams cannot keep a router from serving."""
CHECK_INTERVAL_SECONDS = 0.1
"""Interval between checks for the reports."""


class UpstreamReadiness:
    """Join hook that waits for load reports.

    Without load reports, a router would refuse requests that the fleet can serve.

    :param blackboard: shared state.
    :param clock: source of time.
    :param upstreams_to_poll: returns the upstreams whose load this router polls.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        clock: Clock,
        upstreams_to_poll: Callable[[], list[UpstreamSpec]],
    ) -> None:
        self._blackboard = blackboard
        self._clock = clock
        self._upstreams_to_poll = upstreams_to_poll

    async def wait_for_load_reports(self) -> None:
        """Wait until every polled upstream has reported or ``MAX_WAIT_SECONDS`` have passed."""
        deadline = self._clock.monotonic() + MAX_WAIT_SECONDS
        while not self._all_have_reported() and self._clock.monotonic() < deadline:
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)

    def _all_have_reported(self) -> bool:
        """Return whether every polled upstream has reported its load."""
        statuses = self._blackboard.upstreams_by_id
        return all(
            statuses.get(spec.id, UpstreamStatus()).report is not None
            for spec in self._upstreams_to_poll()
        )
