"""Holds a joining router back until it knows which upstreams it can use."""

from collections.abc import Callable

from quinceferry_core.clocks import Clock
from quinceferry_core.models import UpstreamSpec
from quinceferryd.blackboard import Blackboard, UpstreamStatus

MAX_WAIT_SECONDS = 3.0
"""Bound of the wait, so that upstreams that do not answer keep no router from serving."""
CHECK_INTERVAL_SECONDS = 0.1


class UpstreamReadiness:
    """Join hook: without load reports, a router would refuse what the fleet can serve.

    :param blackboard: shared state.
    :param clock: source of time.
    :param polled: returns the upstreams whose load reports this router reads.
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
        """Return when every polled upstream has reported, or the bound has passed."""
        deadline = self._clock.monotonic() + MAX_WAIT_SECONDS
        while not self._all_have_reported() and self._clock.monotonic() < deadline:
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)

    def _all_have_reported(self) -> bool:
        statuses = self._blackboard.upstreams_by_id
        return all(
            statuses.get(spec.id, UpstreamStatus()).report is not None
            for spec in self._upstreams_to_poll()
        )
