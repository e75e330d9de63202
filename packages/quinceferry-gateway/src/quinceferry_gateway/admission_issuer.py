"""The gateway that admits the requests of all gateways to a fragile upstream.

A request for an admission waits here for its turn, first come, first served.
"""

import asyncio
from collections import deque

import msgspec

from quinceferry_core.clocks import Clock
from quinceferry_core.eviction import evict_oldest
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.decisions import UpstreamStates
from quinceferry_gateway.decisions.admissions import (
    LEARNING_SHARE,
    AdmissionLedger,
    InFlightReport,
    known_share,
)
from quinceferry_gateway.decoding import decode_msgpack
from quinceferry_gateway.fragile_upstreams import FragileUpstreams, FragilityNotice
from quinceferry_gateway.issuers import Lifetime, permit_issuer

MAX_WAIT_SECONDS = 1.5
"""Longest time that a request waits for its admission."""
STAND_IN_SHARE = 0.5
"""Share of the slots that a gateway uses which stands in for an issuer."""
MAX_LOAD_AGE_SECONDS = 1.0
"""Age up to which a load report counts while the requests of other gateways are not known."""
MAX_LEDGERS = 1_024
"""Most ledgers that an issuer keeps, one per lifetime of an upstream; it evicts the oldest."""
MAX_WAITING = 1_024
"""Most requests that wait for an upstream."""


class AdmissionRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the admission of one request; the report has its number.

    ``known`` is what the gateway knows of the upstream, None if no answer of it.
    """

    upstream: str
    started_at: float
    report: InFlightReport
    max_wait_seconds: float
    known: FragilityNotice | None = None


class AdmissionReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether a request is admitted, and the seconds until it is worth to ask again.

    ``known`` is what the issuer knows of the upstream, and ``rate_limit`` the rate that it
    announced, in requests a second, None without one.
    """

    admitted: bool
    retry_seconds: float = 0.0
    known: FragilityNotice | None = None
    rate_limit: float | None = None


class _AdmissionQueue:
    """The ledger of one lifetime of an upstream, and the requests that wait for their admission."""

    __slots__ = ("ledger", "waiting")

    def __init__(self, now: float) -> None:
        self.ledger = AdmissionLedger(now)
        self.waiting: deque[tuple[str, int, asyncio.Future[None]]] = deque()

    async def wait(self, vm: str, number: int, max_wait_seconds: float) -> bool:
        """Wait for an admission; return whether there was one in time."""
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append((vm, number, turn))
        try:
            async with asyncio.timeout(max_wait_seconds):
                await turn
        except TimeoutError:
            return False
        return True

    def admit_waiting(self, capacity: float, now: float) -> None:
        """Admit requests in their order as long as there is room."""
        while self.waiting and self.ledger.has_room(capacity, now):
            vm, number, turn = self.waiting.popleft()
            if not turn.done():
                self.ledger.admit(vm, number, now)
                turn.set_result(None)


class AdmissionIssuer:
    """Admits the requests of all gateways to the upstreams for which this one is the issuer."""

    def __init__(
        self,
        blackboard: Blackboard,
        upstream_states: UpstreamStates,
        fragile_upstreams: FragileUpstreams,
        clock: Clock,
    ) -> None:
        self._blackboard = blackboard
        self._upstream_states = upstream_states
        self._fragile_upstreams = fragile_upstreams
        self._clock = clock
        self._queues_by_lifetime: dict[Lifetime, _AdmissionQueue] = {}

    async def serve(self, body: bytes) -> bytes:
        """Answer a request of a peer.

        :raises msgspec.DecodeError: the request is malformed, or its wait is out of range.
        """
        request = decode_msgpack(body, AdmissionRequest)
        if not 0 <= request.max_wait_seconds <= MAX_WAIT_SECONDS:
            raise msgspec.DecodeError(f"wait out of range: {request.max_wait_seconds}")
        if request.report.in_flight < 0:
            raise msgspec.DecodeError(f"count out of range: {request.report.in_flight}")
        if request.known is not None:
            self._fragile_upstreams.apply_notice(request.known, request.report.incarnation)
        upstream = self._blackboard.upstreams_by_id.get(request.upstream)
        if upstream is None or upstream.started_at != request.started_at:
            return msgspec.msgpack.encode(AdmissionReply(True))
        reply = AdmissionReply(True)
        if request.known is not None or self._fragile_upstreams.is_fragile(upstream):
            reply = await self.admit(request)
        known = self._fragile_upstreams.notice(upstream)
        rate = self._upstream_states.get(upstream).rate_limit.announced
        return msgspec.msgpack.encode(msgspec.structs.replace(reply, known=known, rate_limit=rate))

    async def admit(self, request: AdmissionRequest) -> AdmissionReply:
        """Admit a request, now or after a wait."""
        report, now = request.report, self._clock.monotonic()
        vm = self._blackboard.vm_of(report.incarnation)
        queue = self._queue(request.upstream, request.started_at)
        if queue.ledger.is_admitted(vm, report.number):
            return AdmissionReply(True)
        queue.ledger.record(vm, report, now)
        capacity = self._capacity(request.upstream, request.started_at, queue.ledger, now)
        queue.admit_waiting(capacity, now)
        if not queue.waiting and queue.ledger.has_room(capacity, now):
            queue.ledger.admit(vm, report.number, now)
            return AdmissionReply(True)
        waiting = len(queue.waiting)
        expected_wait = queue.ledger.wait_seconds(waiting, capacity, now)
        is_in_time = expected_wait <= request.max_wait_seconds and waiting < MAX_WAITING
        if is_in_time and await queue.wait(vm, report.number, request.max_wait_seconds):
            return AdmissionReply(True)
        now, waiting = self._clock.monotonic(), len(queue.waiting)
        return AdmissionReply(False, queue.ledger.retry_seconds(waiting, capacity, now))

    def record(self, upstream_id: str, started_at: float, report: InFlightReport) -> None:
        """Apply a report, and admit requests for which it makes room."""
        now = self._clock.monotonic()
        queue = self._queue(upstream_id, started_at)
        queue.ledger.record(self._blackboard.vm_of(report.incarnation), report, now)
        queue.admit_waiting(self._capacity(upstream_id, started_at, queue.ledger, now), now)

    def admit_waiting(self) -> None:
        """Admit requests for which there is room since time has passed."""
        now = self._clock.monotonic()
        for (upstream_id, started_at), queue in self._queues_by_lifetime.items():
            if queue.waiting:
                capacity = self._capacity(upstream_id, started_at, queue.ledger, now)
                queue.admit_waiting(capacity, now)

    def _queue(self, upstream_id: str, started_at: float) -> _AdmissionQueue:
        """Return the queue of a lifetime, a new one if there is none."""
        lifetime = (upstream_id, started_at)
        queue = self._queues_by_lifetime.get(lifetime)
        if queue is None:
            queue = self._queues_by_lifetime[lifetime] = _AdmissionQueue(self._clock.monotonic())
            evict_oldest(self._queues_by_lifetime, MAX_LEDGERS)
        return queue

    def _capacity(
        self, upstream_id: str, started_at: float, ledger: AdmissionLedger, now: float
    ) -> float:
        """Return how many requests an upstream may run for the gateways that this one reaches."""
        board = self._blackboard
        upstream = board.upstreams_by_id.get(upstream_id)
        if upstream is None or upstream.started_at != started_at:
            return 1.0
        state = self._upstream_states.get(upstream)
        slots = float(state.load.slots if state.load else upstream.slots)
        if permit_issuer(board, upstream_id) is not board.own:
            # The issuer does not answer the gateway that asks, and may still admit others.
            slots *= STAND_IN_SHARE
        elif ledger.is_learning(now):
            is_known = state.load and now - state.load_received_at < MAX_LOAD_AGE_SECONDS
            slots *= 1.0 if is_known else LEARNING_SHARE
            if is_known:
                unreported = state.load.running + state.load.waiting - ledger.occupied(now)
                slots -= max(0, unreported)
        return slots * known_share(len(board.usable_members()), len(board.members_by_vm))
