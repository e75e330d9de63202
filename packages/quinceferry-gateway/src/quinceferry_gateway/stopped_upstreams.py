"""Determines which upstreams have stopped, after connections to them broke.

A single broken connection is no evidence: links are reset, and healthy upstreams close
connections. That nobody listens any more is evidence only for a gateway that reaches another
upstream of the service; it may have lost its links otherwise. What happens later tells the two
apart: the service is reached again while this upstream is not, or a later lifetime of it registers.
"""

import asyncio
from functools import partial

from quinceferry_core.clocks import Clock
from quinceferry_core.eviction import evict_oldest
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.catalog import Upstream
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.decisions import UpstreamStates
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.reachability import ReachabilityMonitor
from quinceferry_gateway.transport import HttpClient

LISTEN_CHECK_TIMEOUT_SECONDS = 0.3
"""Longest wait for a connection to an upstream that may have stopped: a refusal takes one round
trip, and a lost packet about 200 ms. The next attempt of the request waits for it."""
DECISION_INTERVAL_SECONDS = 0.2
"""Interval at which an undecided case is looked at again."""
MAX_UNDECIDED_SECONDS = 10.0
"""How long evidence is awaited. An upstream that crashes is usually back within some seconds."""
MAX_STOPPED_LIFETIMES = 256
"""Most lifetimes of stopped upstreams that are kept."""


def lifetime_of(upstream: Upstream) -> str:
    """Return the name of the current lifetime of an upstream."""
    return f"{upstream.id}@{upstream.started_at}"


class StopMonitor(Controller):
    """Determines whether the lifetimes of upstreams have ended.

    :param reachability: tells stopped upstreams from lost links.
    :param metrics: counts upstreams that have stopped.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        upstream_states: UpstreamStates,
        http: HttpClient,
        clock: Clock,
        metrics: Metrics,
        reachability: ReachabilityMonitor,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._upstream_states = upstream_states
        self._http = http
        self._clock = clock
        self._metrics = metrics
        self._reachability = reachability
        self._stopped_lifetimes: dict[str, None] = {}
        self._undecided_lifetimes: set[str] = set()

    async def has_stopped(self, upstream: Upstream) -> bool | None:
        """Check whether no process listens at an upstream's address any more.

        Requests that break at the same time share one check.

        :return: None if this gateway can't tell yet.
        """
        lifetime = lifetime_of(upstream)
        if lifetime not in self._stopped_lifetimes and lifetime not in self._undecided_lifetimes:
            check = partial(self._check_listening, upstream)
            await asyncio.shield(self.spawn_shared(check, f"listens {lifetime}"))
        if lifetime in self._stopped_lifetimes:
            return True
        return None if lifetime in self._undecided_lifetimes else False

    async def await_decision(self, upstream: Upstream) -> bool:
        """Wait for evidence on an upstream of which this gateway can't tell yet.

        :return: whether it has stopped; False if there is no evidence for too long.
        """
        lifetime = lifetime_of(upstream)
        search = partial(self._await_evidence, upstream)
        await asyncio.shield(self.spawn_shared(search, f"stop of {lifetime}"))
        return lifetime in self._stopped_lifetimes

    async def _check_listening(self, upstream: Upstream) -> None:
        """Mark a lifetime as stopped, or as undecided, if no process listens at the address."""
        if await self._http.listens(upstream.address, LISTEN_CHECK_TIMEOUT_SECONDS):
            return
        self._upstream_states.get(upstream).silent_at = self._clock.monotonic()
        await self._reachability.connection_failed(upstream)
        if self._reachability.is_cut_off(upstream):
            self._undecided_lifetimes.add(lifetime_of(upstream))
        else:
            self._mark_stopped(upstream)

    async def _await_evidence(self, upstream: Upstream) -> None:
        """Look for evidence until there is some, or for too long."""
        lifetime, ends_at = lifetime_of(upstream), self._clock.monotonic() + MAX_UNDECIDED_SECONDS
        was_cut_off = True
        try:
            while self._clock.monotonic() < ends_at and lifetime not in self._stopped_lifetimes:
                is_cut_off = self._reachability.is_cut_off(upstream)
                if self._has_later_lifetime(upstream):
                    self._mark_stopped(upstream)
                elif was_cut_off and not is_cut_off:
                    await self._check_listening(upstream)
                    is_cut_off = self._reachability.is_cut_off(upstream)
                was_cut_off = is_cut_off
                await self._clock.sleep(DECISION_INTERVAL_SECONDS)
        finally:
            self._undecided_lifetimes.discard(lifetime)

    def record_stopped(self, lifetime: str) -> None:
        """Record that another gateway has found that a lifetime has ended."""
        upstream = self._blackboard.upstreams_by_id.get(lifetime.rpartition("@")[0])
        if upstream is None or lifetime_of(upstream) != lifetime:
            return
        state = self._upstream_states.get(upstream)
        if state.silent_at is None:
            state.silent_at = self._clock.monotonic()

    def _has_later_lifetime(self, upstream: Upstream) -> bool:
        """Return whether the list has a later lifetime of an upstream, or of another at its
        address."""
        return any(
            upstream.started_at < item.started_at
            and (item.id == upstream.id or item.address == upstream.address)
            for item in self._blackboard.upstreams_by_id.values()
        )

    def _mark_stopped(self, upstream: Upstream) -> None:
        """Mark the lifetime of an upstream as stopped."""
        self._metrics.count_upstream_crash(upstream.service)
        self._stopped_lifetimes[lifetime_of(upstream)] = None
        evict_oldest(self._stopped_lifetimes, MAX_STOPPED_LIFETIMES)
