"""Permits to send requests to rate-limited, cold and fragile upstreams.

One gateway, the issuer, grants the permits for an upstream to all gateways.
"""

import msgspec

from quinceferry_core.clocks import Clock
from quinceferry_core.eviction import evict_oldest
from quinceferry_gateway.admissions import Admissions
from quinceferry_gateway.blackboard import Blackboard, Member
from quinceferry_gateway.catalog import Upstream
from quinceferry_gateway.cold_starts import ColdStarts
from quinceferry_gateway.decisions import UpstreamStates
from quinceferry_gateway.decisions.rate_limits import MIN_REQUESTS_PER_SECOND, PermitSchedule
from quinceferry_gateway.decoding import decode_msgpack
from quinceferry_gateway.fleet.calls import CallTimeoutError, DatagramCalls
from quinceferry_gateway.issuers import Lifetime, permit_issuer
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.rate_limit_updates import MAX_REQUESTS_PER_SECOND

PERMIT_CALL_KIND = "permit"
"""Kind of the datagram call that requests a permit."""
PERMIT_TIMEOUT_SECONDS = 0.15
"""Longest wait for a reply, which allows one resend after a loss."""
UNANSWERED_PAUSE_SECONDS = 0.3
"""Time for which no permit is expected for an upstream after its issuer did not reply."""
MAX_SCHEDULES = 1_024
"""Most schedules that an issuer keeps, one per lifetime of an upstream; it evicts the oldest."""


class PermitRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests a permit to send one request to an upstream.

    ``rate`` is the limit known to the requesting gateway, in requests a second. ``cold`` states
    that the upstream is cold, which it cannot correct by its answers.
    """

    upstream: str
    started_at: float
    rate: float
    max_wait_seconds: float
    cold: bool = False


class PermitReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether the permit is granted, and the seconds until it is valid or until the next one.

    ``retry_seconds`` is the delay before the next request for an immediate permit, zero if this one
    is granted.
    """

    granted: bool
    wait_seconds: float
    retry_seconds: float


class PermitIssuer:
    """Grants permits to all gateways.

    A duplicated call reserves two slots, one of which stays unused.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        upstream_states: UpstreamStates,
        cold_starts: ColdStarts,
        clock: Clock,
    ) -> None:
        self._blackboard = blackboard
        self._upstream_states = upstream_states
        self._cold_starts = cold_starts
        self._clock = clock
        self._schedules_by_lifetime: dict[Lifetime, PermitSchedule] = {}

    async def serve(self, body: bytes) -> bytes:
        """Answer a permit request of a peer.

        :raises msgspec.DecodeError: the request is malformed, or its rate or wait is out of range.
        """
        request = decode_msgpack(body, PermitRequest)
        if not (0 <= request.rate <= MAX_REQUESTS_PER_SECOND and request.max_wait_seconds >= 0):
            raise msgspec.DecodeError(f"rate or wait out of range: {request}")
        return msgspec.msgpack.encode(self.issue(request))

    def issue(self, request: PermitRequest) -> PermitReply:
        """Grant a permit if a slot is free within the longest acceptable wait."""
        now = self._clock.monotonic()
        if request.cold and not self._blackboard.reaches_majority:
            # In a partition, each part would have an issuer of its own.
            return PermitReply(False, UNANSWERED_PAUSE_SECONDS, UNANSWERED_PAUSE_SECONDS)
        lifetime = (request.upstream, request.started_at)
        schedule = self._schedules_by_lifetime.get(lifetime)
        if schedule is None:
            schedule = self._schedules_by_lifetime[lifetime] = PermitSchedule(now)
            evict_oldest(self._schedules_by_lifetime, MAX_SCHEDULES)
        sole_issuer = permit_issuer(self._blackboard, request.upstream) is self._blackboard.own
        rate = max(MIN_REQUESTS_PER_SECOND, self._rate_limit(request, now))
        reservation = schedule.reserve(rate, sole_issuer, request.max_wait_seconds, now)
        return PermitReply(
            reservation.reserved, reservation.wait_seconds, reservation.retry_seconds
        )

    def _rate_limit(self, request: PermitRequest, now: float) -> float:
        """Return the limit known to this gateway, or else the one in the request.

        Of a cold upstream, the lower one applies.
        """
        upstream = self._blackboard.upstreams_by_id.get(request.upstream)
        if upstream is None or upstream.started_at != request.started_at:
            return request.rate
        announced_rate = self._upstream_states.get(upstream).rate_limit.current(now)
        if announced_rate is not None and not request.cold:
            return announced_rate
        rates = (request.rate, announced_rate, self._cold_starts.rate(upstream))
        return min(rate for rate in rates if rate is not None)


class SendPermits:
    """Acquires permits for the requests of this gateway.

    :param cold_starts: provides the request rates of cold upstreams.
    :param admissions: acquires admissions for requests to fragile upstreams.
    :param metrics: counts permit requests by result.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        upstream_states: UpstreamStates,
        cold_starts: ColdStarts,
        admissions: Admissions,
        calls: DatagramCalls,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._blackboard = blackboard
        self._upstream_states = upstream_states
        self._cold_starts = cold_starts
        self._admissions = admissions
        self._calls = calls
        self._clock = clock
        self._metrics = metrics
        self._issuer = PermitIssuer(blackboard, upstream_states, cold_starts, clock)
        calls.register_handler(PERMIT_CALL_KIND, self._issuer.serve)

    def needed(self, upstream: Upstream) -> bool:
        """Return whether a request to an upstream needs a permit."""
        return self._rate_limit(upstream) is not None or self._admissions.needed(upstream)

    def any_needed(self) -> bool:
        """Return whether any upstream may need a permit."""
        return bool(self._upstream_states.rate_limited_ids) or self._admissions.any_needed()

    def request_finished(self, upstream: Upstream) -> None:
        """Record that a request has ended at an upstream."""
        self._admissions.request_finished(upstream)

    def pause_seconds(self, upstream: Upstream) -> float:
        """Return the time until an immediate permit may be requested, zero if it may be now."""
        if not self.needed(upstream):
            return 0.0
        return max(
            0.0, self._upstream_states.get(upstream).no_permit_until - self._clock.monotonic()
        )

    def wait_seconds(self, upstream: Upstream) -> float:
        """Return the time until the next permit is valid for a request that waits for it."""
        if not self.needed(upstream):
            return 0.0
        return max(
            0.0, self._upstream_states.get(upstream).next_permit_at - self._clock.monotonic()
        )

    async def acquire(self, upstream: Upstream, max_wait_seconds: float) -> float | None:
        """Return the seconds until a request may be sent, None if no permit was granted.

        :param max_wait_seconds: longest acceptable wait.
        """
        acquired_at = self._clock.monotonic()
        wait = await self._acquire_rate_permit(upstream, max_wait_seconds)
        if wait is None or not self._admissions.should_ask(upstream):
            return wait
        await self._clock.sleep(wait)
        was_limited = self._rate_limit(upstream) is not None
        remaining = max_wait_seconds - (self._clock.monotonic() - acquired_at)
        if not await self._admissions.acquire(upstream, max(0.0, remaining)):
            return None
        # The issuer may have told a gateway that has just started of a rate limit.
        return 0.0 if was_limited else await self._acquire_rate_permit(upstream, 0.0)

    async def _acquire_rate_permit(
        self, upstream: Upstream, max_wait_seconds: float
    ) -> float | None:
        """Return the seconds until the rate limit permits a request, None if no permit was granted.

        :param max_wait_seconds: longest acceptable wait.
        """
        rate = self._rate_limit(upstream)
        if rate is None:
            return 0.0
        request = PermitRequest(
            upstream.id,
            upstream.started_at,
            rate,
            max_wait_seconds,
            cold=self._cold_starts.rate(upstream) is not None,
        )
        issuer = permit_issuer(self._blackboard, upstream.id)
        if issuer is self._blackboard.own:
            reply = self._issuer.issue(request)
        else:
            reply = await self._request_permit(issuer, request)
        if reply is not None and reply.granted:
            self._metrics.count_permit("granted")
            return reply.wait_seconds
        self._metrics.count_permit("denied" if reply else "unanswered")
        state, now = self._upstream_states.get(upstream), self._clock.monotonic()
        wait = reply.wait_seconds if reply else UNANSWERED_PAUSE_SECONDS
        pause = reply.retry_seconds if reply else UNANSWERED_PAUSE_SECONDS
        state.record_denied_permit(wait, pause, now)
        return None

    def _rate_limit(self, upstream: Upstream) -> float | None:
        """Return the rate limit in force for an upstream, None without one."""
        if upstream.id not in self._upstream_states.rate_limited_ids:
            return None
        state, now = self._upstream_states.get(upstream), self._clock.monotonic()
        announced_rate = state.rate_limit.current(now)
        if announced_rate is None and not state.cold_period.remaining_seconds(now):
            self._upstream_states.rate_limited_ids.discard(upstream.id)
            return None
        rates = (announced_rate, self._cold_starts.rate(upstream))
        return min((rate for rate in rates if rate is not None), default=None)

    async def _request_permit(self, issuer: Member, request: PermitRequest) -> PermitReply | None:
        """Request a permit from a peer; None without a valid reply."""
        body = msgspec.msgpack.encode(request)
        try:
            reply = await self._calls.call(
                issuer.peer_address, PERMIT_CALL_KIND, body, PERMIT_TIMEOUT_SECONDS
            )
            return decode_msgpack(reply, PermitReply)
        except (CallTimeoutError, msgspec.DecodeError) as error:
            log.failure("permit.not_answered", peer=issuer.incarnation, error=str(error))
            return None
