"""Determines of which services this gateway reaches no upstream.

One failed connection says little: its upstream may have crashed. If connections to other upstreams
of the service fail as well, every request sent from here would fail too, each after a timeout for
every upstream. So a failed connection starts one check for all requests of the service, with
connections that carry no request, and further ones determine when the service is reached again.
"""

import asyncio
import random
from functools import partial

from quinceferry_core.clocks import Clock
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.catalog import Upstream
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.decisions import UpstreamStates
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.transport import HttpClient

MAX_PROBED_UPSTREAMS = 4
"""Most upstreams to which one check connects. It is unlikely that so many have crashed together
while others of a large service run."""
PROBE_TIMEOUT_SECONDS = 0.4
"""Longest wait for a connection of a check; a lost packet is sent again after 0.2 s."""
PROBE_INTERVAL_SECONDS = 0.4
"""Interval of the connections that determine whether a service is reached again."""
PROBE_INTERVAL_JITTER_SHARE = 0.5
"""Width of the jitter of this interval, as a share of it, so that gateways that lost their links
together don't return at the same moment."""


class ReachabilityMonitor(Controller):
    """Maintains ``unreachable_services`` on the blackboard.

    ``on_change`` is called whenever it has changed.

    :param http: connects to upstreams.
    :param rng: selects the upstreams of checks and adds jitter.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        upstream_states: UpstreamStates,
        http: HttpClient,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._upstream_states = upstream_states
        self._http = http
        self._clock = clock
        self._rng = rng
        self._connected_at_by_service: dict[str, float] = {}
        self.on_change = lambda: None
        metrics.observe_unreachable_services(lambda: len(blackboard.unreachable_services))

    def connection_succeeded(self, upstream: Upstream) -> None:
        """Record that an upstream accepted a connection."""
        self._connected_at_by_service[upstream.service] = self._clock.monotonic()
        if upstream.service in self._blackboard.unreachable_services:
            self._set_reachable(upstream.service)

    async def connection_failed(self, upstream: Upstream) -> None:
        """Check whether the service of an upstream is still reached, and return when it is known.

        All requests of the service share one check at a time.
        """
        await asyncio.shield(self.begin_check(upstream))

    def is_cut_off(self, upstream: Upstream) -> bool:
        """Return whether neither an upstream nor any other one of its service is reached.

        With a single upstream, its failures are taken for its own.
        """
        is_only_one = len(self._upstreams_of(upstream.service)) <= 1
        return not is_only_one and upstream.service in self._blackboard.unreachable_services

    def begin_check(self, upstream: Upstream) -> asyncio.Task[None]:
        """Start a check because an upstream does not answer, unless one is running.

        :return: the running check.
        """
        name = f"reachability of {upstream.service}"
        return self.spawn_shared(partial(self._check, upstream), name)

    async def _check(self, failed: Upstream) -> None:
        """Connect to other upstreams of a service, and mark it as unreachable if all fail."""
        service, began_at = failed.service, self._clock.monotonic()
        if service in self._blackboard.unreachable_services:
            return
        others = [item for item in self._upstreams_of(service) if item.id != failed.id]
        probed = self._rng.sample(others, min(MAX_PROBED_UPSTREAMS, len(others))) or [failed]
        if await self._reaches_any(probed):
            return
        if self._connected_at_by_service.get(service, float("-inf")) < began_at:
            self._set_unreachable(service, [failed.id, *(item.id for item in probed)])

    async def _reaches_any(self, upstreams: list[Upstream]) -> bool:
        """Return whether any of the upstreams accepts a connection, as soon as it is known."""
        probes = [
            asyncio.create_task(self._http.listens(item.address, PROBE_TIMEOUT_SECONDS))
            for item in upstreams
        ]
        try:
            for probe in asyncio.as_completed(probes):
                if await probe:
                    return True
            return False
        finally:
            for probe in probes:
                probe.cancel()
            await asyncio.gather(*probes, return_exceptions=True)

    async def _await_return(self, service: str) -> None:
        """Connect to one upstream after the other until the service is reached again."""
        while service in self._blackboard.unreachable_services:
            spread = 1 + PROBE_INTERVAL_JITTER_SHARE * (self._rng.random() - 0.5)
            await self._clock.sleep(PROBE_INTERVAL_SECONDS * spread)
            upstreams = self._upstreams_of(service)
            if not upstreams or await self._reaches_any([self._rng.choice(upstreams)]):
                self._set_reachable(service)

    def _set_unreachable(self, service: str, failed_ids: list[str]) -> None:
        """Mark a service as unreachable."""
        self._forget_failures(service)
        self._blackboard.unreachable_services |= {service}
        log.change("service.unreachable", service=service, upstreams=failed_ids)
        self.supervise(partial(self._await_return, service), f"return of {service}")
        self.on_change()

    def _set_reachable(self, service: str) -> None:
        """Mark a service as reachable."""
        if service not in self._blackboard.unreachable_services:
            return
        self._forget_failures(service)
        self._blackboard.unreachable_services -= {service}
        log.change("service.reachable", service=service)
        self.on_change()

    def _forget_failures(self, service: str) -> None:
        """Discard failures of links, which say nothing about the upstreams behind them."""
        for upstream in self._upstreams_of(service):
            self._upstream_states.get(upstream).forget_failures()

    def _upstreams_of(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that are not leaving."""
        return [
            item
            for item in self._blackboard.upstreams_by_id.values()
            if item.service == service and not item.draining
        ]
