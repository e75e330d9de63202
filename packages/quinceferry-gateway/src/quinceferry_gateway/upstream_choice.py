"""Selection of the upstream for the next attempt of a request."""

from collections.abc import Callable
from dataclasses import dataclass

from quinceferry_core.clocks import Clock
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.catalog import Upstream, permitted_regions
from quinceferry_gateway.decisions import Placement, Placer, UpstreamStates
from quinceferry_gateway.permits import SendPermits
from quinceferry_gateway.progress import Progress
from quinceferry_gateway.software_versions import SoftwareVersions

MAX_PERMIT_REQUESTS = 3
"""Most permits requested without a wait before falling back to an upstream without a limit."""


@dataclass(slots=True, frozen=True)
class PermitDenied:
    """No permit is available within the longest wait, and all usable upstreams are rate-limited.

    ``retry_seconds`` is the time until a permit is expected to be available.
    """

    retry_seconds: float


class UpstreamSelector:
    """Selects the upstream of each attempt and acquires a permit where one is needed.

    :param permits: acquires permits for requests to upstreams that limit them.
    :param region_of: returns the region of an availability zone.
    :param versions: tells where a stream may go on.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        upstream_states: UpstreamStates,
        placer: Placer,
        permits: SendPermits,
        clock: Clock,
        region_of: Callable[[str], str],
        versions: SoftwareVersions,
    ) -> None:
        self._versions = versions
        self._region_of = region_of
        self._blackboard = blackboard
        self._upstream_states = upstream_states
        self._placer = placer
        self._permits = permits
        self._clock = clock

    def select_preferred(self, progress: Progress) -> Placement | None:
        """Return the best placement among upstreams that need no permit or may grant one now."""
        candidates = self._candidates(progress)
        if self._permits.any_needed():
            candidates = [item for item in candidates if not self._permits.pause_seconds(item)]
        return self._place(progress, candidates)

    def select_unlimited(self, progress: Progress) -> Placement | None:
        """Return the best placement among upstreams that need no permit."""
        candidates = [item for item in self._candidates(progress) if not self._permits.needed(item)]
        return self._place(progress, candidates)

    def request_finished(self, upstream: Upstream) -> None:
        """Record that a request has ended at an upstream."""
        self._permits.request_finished(upstream)

    def has_usable_upstream(self, progress: Progress) -> bool:
        """Return whether any upstream can serve the request, now or once a permit is available."""
        return self._place(progress, self._candidates(progress)) is not None

    def is_evacuated(self, progress: Progress) -> bool:
        """Return whether the service has upstreams, but only in evacuated zones."""
        return progress.service in self._blackboard.evacuated_services()

    def is_away_from_home(self, progress: Progress) -> bool:
        """Return whether the service has upstreams, but only in regions that are not permitted."""
        regions = permitted_regions(progress.route, progress.workspace)
        upstream_regions = {
            self._region_of(item.zone)
            for item in self._blackboard.upstreams_by_id.values()
            if item.service == progress.service
        }
        return regions is not None and bool(upstream_regions) and not upstream_regions & regions

    def lacks_compatible_upstream(self, progress: Progress) -> bool:
        """Return whether the stream has begun at a version that no listed upstream has."""
        origin = progress.stream.origin
        upstreams = self._blackboard.upstreams_by_id.values()
        return origin is not None and not any(origin.admits(item) for item in upstreams)

    async def acquire(
        self, progress: Progress, placement: Placement | None, max_wait_seconds: float
    ) -> Placement | PermitDenied | None:
        """Return a placement to send the request to now, after acquiring a permit if needed.

        :param placement: the preferred placement, None if no permit is expected to be available.
        :param max_wait_seconds: longest wait for a permit.
        :return: None if no upstream is usable or the chosen one no longer is; choose again then.
        """
        for _ in range(MAX_PERMIT_REQUESTS):
            if placement is None:
                return await self._wait_for_permit(progress, max_wait_seconds)
            if await self._permits.acquire(placement.upstream, 0.0) is not None:
                return placement
            placement = self.select_preferred(progress)
        return self.select_unlimited(progress) or await self._wait_for_permit(
            progress, max_wait_seconds
        )

    def remaining_pause_seconds(self, progress: Progress) -> float:
        """Return the time until the first pause of an upstream ends, zero if one is not paused."""
        now = self._clock.monotonic()
        remaining = [
            self._upstream_states.get(item).pause.blocked_until - now
            for item in self._candidates(progress)
            if not item.draining and not self._upstream_states.is_leaving(item)
        ]
        return max(0.0, min(remaining, default=0.0))

    async def _wait_for_permit(
        self, progress: Progress, max_wait_seconds: float
    ) -> Placement | PermitDenied | None:
        """Wait for the earliest permit of any upstream, for at most ``max_wait_seconds``."""
        placements = [
            placement
            for candidate in self._candidates(progress)
            if (placement := self._place(progress, [candidate])) is not None
        ]
        if not placements:
            return None
        chosen = min(placements, key=lambda item: self._permits.wait_seconds(item.upstream))
        wait = None
        if self._permits.wait_seconds(chosen.upstream) <= max_wait_seconds:
            wait = await self._permits.acquire(chosen.upstream, max_wait_seconds)
        if wait is None:
            return PermitDenied(self._permits.pause_seconds(chosen.upstream))
        if not wait:
            return chosen
        await self._clock.sleep(wait)
        # The upstream may have left, or its zone may have been evacuated, during the wait.
        current = [item for item in self._candidates(progress) if item.id == chosen.upstream.id]
        return self._place(progress, current)

    def _place(self, progress: Progress, candidates: list[Upstream]) -> Placement | None:
        """Return the best placement among the candidates, None if none is usable."""
        now = self._clock.monotonic()
        return self._placer.place(progress.demand, candidates, progress.tried_upstream_ids, now)

    def _candidates(self, progress: Progress) -> list[Upstream]:
        """Return the upstreams of the request's service that are in permitted zones.

        A stream that has begun goes on at the software version that began it.
        """
        board = self._blackboard
        regions = permitted_regions(progress.route, progress.workspace)
        origin = progress.stream.origin
        return [
            item
            for item in board.upstreams_by_id.values()
            if item.service == progress.service
            and self._versions.admits(origin, item)
            and item.zone not in board.evacuated_zones
            and (regions is None or self._region_of(item.zone) in regions)
        ]
