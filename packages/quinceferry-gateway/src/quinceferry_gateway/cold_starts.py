"""Keeps track of which upstreams are cold, and at which rate they may get requests."""

from collections.abc import Iterable

import msgspec

from quinceferry_core.clocks import Clock
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.catalog import Service, Upstream
from quinceferry_gateway.decisions import UpstreamStates
from quinceferry_gateway.decisions.cold_starts import ColdStartLimit
from quinceferry_gateway.fleet.datagrams import DatagramPort
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics

MAX_UNCONFIGURED_COLD_SECONDS = 10.0
"""Longest cold period of an upstream whose service is not configured yet."""


class ColdNotice(msgspec.Struct, frozen=True, array_like=True, tag="cold"):
    """An upstream stated in an answer that it is cold, for so many seconds more."""

    upstream: str
    started_at: float
    seconds: float


class ColdStarts:
    """Tracks cold upstreams by the list, by their answers, by peers, and by ended evacuations.

    :param limit: how far requests may exceed the rate that a cold upstream tolerates.
    :param port: carries notices between gateways.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        upstream_states: UpstreamStates,
        limit: ColdStartLimit,
        port: DatagramPort,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._blackboard = blackboard
        self._upstream_states = upstream_states
        self._limit = limit
        self._port = port
        self._clock = clock
        port.add_handler(ColdNotice, self._handle_notice)
        metrics.observe_cold_upstreams(self._count_cold)

    def rate(self, upstream: Upstream) -> float | None:
        """Return the request rate of a cold upstream over all gateways, None if it is not cold."""
        period = self._upstream_states.get(upstream).cold_period
        if not period.remaining_seconds(self._clock.monotonic()):
            return None
        service = self._service(upstream)
        if service is None or not service.cold_requests_per_second:
            return None
        return self._limit.permitted_rate(service.cold_requests_per_second)

    def list_read(self, upstreams: Iterable[Upstream], requested_at: float) -> None:
        """Record the times in a list of upstreams.

        An entry may be older than the read, so an upstream may count as cold for too long, never
        for too short a time.
        """
        for upstream in upstreams:
            if upstream.cold_seconds:
                self._record(upstream, upstream.cold_seconds, requested_at, "list")

    def zone_restored(self, zone: str) -> None:
        """Record that an evacuation has ended: upstreams without requests become cold.

        The list shows that only with their next heartbeats.
        """
        now = self._clock.monotonic()
        for upstream in self._blackboard.upstreams_by_id.values():
            service = self._service(upstream)
            if upstream.zone == zone and service is not None:
                self._record(upstream, service.cold_seconds, now, "evacuation")

    def answer_received(self, upstream: Upstream, seconds: float | None) -> None:
        """Record the time in an answer, and notify the peers if a cold period begins with it."""
        now = self._clock.monotonic()
        if seconds and self._record(upstream, seconds, now, "own"):
            notice = ColdNotice(upstream.id, upstream.started_at, seconds)
            self._port.send(notice, self._blackboard.notice_addresses(now))

    def _handle_notice(self, notice: ColdNotice, sender: object) -> None:
        """Apply a notice from a peer; ignore one about an unknown upstream."""
        upstream = self._blackboard.upstreams_by_id.get(notice.upstream)
        if upstream is None or upstream.started_at != notice.started_at:
            return
        if not notice.seconds > 0:
            log.failure("cold.malformed", peer=str(sender), seconds=str(notice.seconds))
            return
        self._record(upstream, notice.seconds, self._clock.monotonic(), str(sender))

    def _record(self, upstream: Upstream, seconds: float, stated_at: float, origin: str) -> bool:
        """Extend the cold period of an upstream; log and return whether a new one begins.

        No period lasts longer than the service states, so that an invalid time has a bounded
        effect.
        """
        service = self._service(upstream)
        seconds = min(seconds, service.cold_seconds if service else MAX_UNCONFIGURED_COLD_SECONDS)
        period, now = self._upstream_states.get(upstream).cold_period, self._clock.monotonic()
        begins = period.extend(stated_at + seconds, now)
        if begins:
            log.change(
                "upstream.cold", upstream=upstream.id, seconds=round(seconds, 3), origin=origin
            )
        if period.remaining_seconds(now):
            self._upstream_states.rate_limited_ids.add(upstream.id)
        return begins

    def _service(self, upstream: Upstream) -> Service | None:
        """Return the service of an upstream, None while it is not configured."""
        configuration = self._blackboard.configuration
        return configuration.services_by_name.get(upstream.service) if configuration else None

    def _count_cold(self) -> int:
        """Return how many upstreams are cold."""
        upstreams = self._blackboard.upstreams_by_id.values()
        return sum(self.rate(upstream) is not None for upstream in upstreams)
