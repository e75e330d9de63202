"""Queues in which admitted-to-be requests wait for room at an upstream."""

import asyncio
from dataclasses import dataclass
from itertools import groupby

from quinceferry_core.clocks import Clock
from quinceferry_core.models import CallerRequest, Priority, UpstreamSpec
from quinceferry_core.outcomes import Failed, NotRun, NotRunProof, RefusalReason
from quinceferry_core.prefixes import prefix_hashes
from quinceferry_core.queues import Waiting
from quinceferryd.choices import Openings, UpstreamChooser
from quinceferryd.pools import Pool
from quinceferryd.settings import RoutingSettings
from quinceferryd.tracking import UpstreamTracker

SCAN_DEPTH = 32
"""Waiting requests of one pool that are looked at each time."""
PATIENCE_SECONDS_BY_PRIORITY = {Priority.HIGH: 0.0, Priority.NORMAL: 2.0, Priority.LOW: 5.0}
"""How long a request waits for an upstream that holds its prefix before it takes any other."""
MAX_RETRY_AFTER_SECONDS = 60.0


@dataclass(slots=True, frozen=True)
class Admitted:
    """A request has a place at an upstream, which counts as sent from now on."""

    upstream: UpstreamSpec


@dataclass(slots=True, eq=False)
class _Applicant:
    """A request that waits, with the prefix hashes that its placing needs."""

    request: CallerRequest
    hashes: tuple[int, ...]
    decided: asyncio.Future[Admitted | Failed]


class Admission:
    """Admits requests as upstreams have room, in the order of their pool's queue.

    :param tracker: knows the room at each upstream.
    :param chooser: places a request.
    """

    def __init__(
        self,
        tracker: UpstreamTracker,
        chooser: UpstreamChooser,
        clock: Clock,
        settings: RoutingSettings,
    ) -> None:
        self._tracker = tracker
        self._chooser = chooser
        self._clock = clock
        self._settings = settings
        self._pools: dict[tuple[str, bool], Pool] = {}
        self._entered = asyncio.Event()

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(len(pool.queue) for pool in self._pools.values())

    async def admit(self, request: CallerRequest, tokens: int) -> Admitted | Failed:
        """Find a place for a request, now or after waiting; refuse at once what cannot get one."""
        pool = self._pool(request)
        hashes = prefix_hashes(request.target, request.prompt)
        may_overtake = bool(hashes) or not pool.queue.waiting_up_to(request.priority)
        if may_overtake:
            openings = self._chooser.openings(request)
            patience = PATIENCE_SECONDS_BY_PRIORITY[request.priority]
            upstream = self._chooser.place(request, hashes, openings, anywhere=not patience)
            if upstream is not None:
                return self._take_place(request, pool, upstream)
        refusal = self._queue_refusal(request, pool)
        return refusal or await self._wait(request, tokens, hashes, pool)

    async def wait_for_waiting(self) -> None:
        """Return once a request waits, at once if one does."""
        while not len(self):
            self._entered.clear()
            await self._entered.wait()

    def pump(self) -> None:
        """Refuse waiting requests that are overdue, and admit those that have room."""
        now = self._clock.monotonic()
        for pool in list(self._pools.values()):
            for waiting in pool.queue.overdue(now, self._max_wait(pool)):
                self._refuse_waiting(waiting, pool)
            by_class = groupby(pool.queue.scan(SCAN_DEPTH), key=lambda waiting: waiting.priority)
            for _, group in by_class:
                self._place_class(list(group), pool, now)

    def _place_class(self, group: list[Waiting[_Applicant]], pool: Pool, now: float) -> None:
        """Place waiting requests of one class, first those whose prefix an upstream holds.

        Computing a prefix again costs more than a short wait; so a request takes any other upstream
        only after a while, and only the room that those with a held prefix leave.
        """
        openings = self._chooser.openings(group[0].item.request)
        for anywhere in (False, True):
            for waiting in group:
                if not openings.roomy:
                    return
                if anywhere and now - waiting.entered_at < _patience(waiting, openings, pool):
                    continue
                if self._try_place(waiting, pool, openings, anywhere=anywhere):
                    openings = self._chooser.openings(group[0].item.request)

    def _try_place(
        self, waiting: Waiting[_Applicant], pool: Pool, openings: Openings, *, anywhere: bool
    ) -> bool:
        applicant = waiting.item
        if applicant.decided.done():
            return False
        request = applicant.request
        upstream = self._chooser.place(request, applicant.hashes, openings, anywhere=anywhere)
        if upstream is None:
            return False
        pool.queue.take(waiting)
        applicant.decided.set_result(self._take_place(request, pool, upstream))
        return True

    def _take_place(self, request: CallerRequest, pool: Pool, upstream: UpstreamSpec) -> Admitted:
        self._tracker.sent(request, upstream.id)
        pool.admitted(request.priority, self._clock.monotonic())
        return Admitted(upstream)

    async def _wait(
        self, request: CallerRequest, tokens: int, hashes: tuple[int, ...], pool: Pool
    ) -> Admitted | Failed:
        now = self._clock.monotonic()
        applicant = _Applicant(request, hashes, asyncio.get_running_loop().create_future())
        waiting = Waiting(
            applicant,
            request.workspace,
            request.priority,
            tokens,
            now + request.deadline_seconds,
            now,
        )
        pool.push(waiting, now)
        self._entered.set()
        try:
            return await applicant.decided
        except asyncio.CancelledError:
            pool.queue.remove(waiting)
            self._give_up_place(applicant)
            raise

    def _give_up_place(self, applicant: _Applicant) -> None:
        """Return a place that came at the moment in which the caller left."""
        if not applicant.decided.done() or applicant.decided.cancelled():
            return
        match applicant.decided.result():
            case Admitted(upstream=upstream):
                self._tracker.ended(applicant.request, upstream.id)

    def _queue_refusal(self, request: CallerRequest, pool: Pool) -> Failed | None:
        wait = pool.expected_wait(request.priority, self._clock.monotonic())
        if wait >= request.deadline_seconds:
            return refusal_of(RefusalReason.DEADLINE_EXCEEDED, wait, "the queue is too long")
        if wait >= self._max_wait(pool):
            return refusal_of(RefusalReason.QUEUE_FULL, wait, "the queue is too long")
        if pool.queue.workspace_is_full(request.workspace):
            return refusal_of(RefusalReason.QUEUE_FULL, wait, "the workspace fills its queue")
        if pool.queue.has_room(request.workspace):
            return None
        evicted = pool.queue.evict_below(request.priority)
        if evicted is None:
            return refusal_of(RefusalReason.QUEUE_FULL, wait, "the queue is full")
        self._refuse_waiting(evicted, pool)
        return None

    def _refuse_waiting(self, waiting: Waiting[_Applicant], pool: Pool) -> None:
        now = self._clock.monotonic()
        overdue = now >= waiting.deadline
        reason = RefusalReason.DEADLINE_EXCEEDED if overdue else RefusalReason.QUEUE_FULL
        wait = pool.expected_wait(waiting.priority, now)
        if not waiting.item.decided.done():
            refusal = refusal_of(reason, wait, "no capacity came free in time")
            waiting.item.decided.set_result(refusal)

    def _max_wait(self, pool: Pool) -> float:
        return self._settings.max_queue_wait_seconds * pool.pace

    def _pool(self, request: CallerRequest) -> Pool:
        is_long = self._tracker.is_long(request)
        key = (f"{request.kind.value} {request.target}", is_long)
        if key not in self._pools:
            self._pools[key] = Pool(
                self._settings.max_queued_requests,
                self._settings.max_workspace_queue_share,
                is_long=is_long,
            )
        return self._pools[key]


def _patience(waiting: Waiting[_Applicant], openings: Openings, pool: Pool) -> float:
    """Return how long a request waits for its prefix.

    Hardly at all while much capacity is idle, but for a long one, whose prefix takes longer to
    compute again than to wait for.
    """
    patience = PATIENCE_SECONDS_BY_PRIORITY[waiting.priority]
    return patience if pool.pace > 1.0 else patience * openings.busy**2


def refusal_of(reason: RefusalReason, wait_seconds: float, detail: str) -> Failed:
    """Return the refusal of a request that was never sent.

    :param wait_seconds: when a retry may succeed, as far as it can be told.
    """
    retry_after = max(1.0, min(wait_seconds, MAX_RETRY_AFTER_SECONDS))
    proof = NotRun(NotRunProof.NEVER_SENT)
    return Failed(reason, proof, retry_after, detail, step="scheduling.enter")
