"""Admission of requests and choice of their upstream."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from quinceferry_core.clocks import Clock
from quinceferry_core.models import CallerRequest, Priority, UpstreamId, UpstreamSpec
from quinceferry_core.outcomes import Failed, NotRun, NotRunProof, RefusalReason
from quinceferry_core.queues import Waiting
from quinceferryd.blackboard import Blackboard
from quinceferryd.choices import UpstreamChooser
from quinceferryd.controllers import TaskGroupController
from quinceferryd.pools import Pool
from quinceferryd.settings import RoutingSettings
from quinceferryd.shares import UPDATE_INTERVAL_SECONDS, LimitShares
from quinceferryd.tracking import UpstreamTracker

PUMP_INTERVAL_SECONDS = 0.05
"""How often waiting requests are looked at when nothing else wakes the queue."""
NO_UPSTREAM_RETRY_SECONDS = 5.0
HEADROOM_BY_PRIORITY = {Priority.HIGH: 0.25, Priority.NORMAL: -0.0625, Priority.LOW: -0.125}
"""Part of an engine's slots that a class may fill beyond them, or must leave free."""

_NEVER_SENT = NotRun(NotRunProof.NEVER_SENT)


@dataclass(slots=True, eq=False)
class Permit:
    """Admission of one request; :meth:`leave` must be called when it ends."""

    request: CallerRequest
    tokens: int
    _scheduler: "Scheduler"
    _pool: Pool
    _left: bool = False

    def leave(self) -> None:
        """Give the place back; idempotent."""
        if not self._left:
            self._left = True
            self._scheduler.release(self)

    @property
    def pool(self) -> Pool:
        """Return the pool that admitted the request."""
        return self._pool


@dataclass(slots=True)
class SchedulerCounters:
    """Counts since start, for metrics."""

    admitted: Counter[Priority] = field(default_factory=Counter)
    refused: Counter[tuple[Priority, RefusalReason]] = field(default_factory=Counter)


class Scheduler(TaskGroupController):
    """Admits requests within limits and capacity, and chooses their upstreams.

    :param blackboard: shared state; only read, but for limit claims.
    :param rng: source of the samples.
    :param homes: how many routers the callers of one workspace are sent to.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
        settings: RoutingSettings,
        homes: int = 3,
    ) -> None:
        super().__init__()
        self._clock = clock
        self._settings = settings
        self._pools: dict[tuple[str, bool], Pool] = {}
        self.tracker = UpstreamTracker(blackboard, clock, settings)
        self._chooser = UpstreamChooser(self.tracker, rng, settings, blackboard.identity.zone)
        self.shares = LimitShares(blackboard, clock, homes)
        self.counters = SchedulerCounters()

    async def start(self) -> None:
        """Start the loops that move the queue and the limit claims."""
        self.spawn(self._pump_forever(), "scheduler pump")
        self.spawn(self._update_shares_forever(), "limit shares")

    async def enter(self, request: CallerRequest, tokens: int) -> Result[Permit, Failed]:
        """Admit a request, or refuse it at once.

        :param request: the request.
        :param tokens: tokens reserved for it, prompt and output together.
        :return: a permit, perhaps after waiting in the queue; else why the request was not run.
        """
        refusal = self.shares.refusal(request, tokens) or self._target_refusal(request)
        if refusal is not None:
            return self._refuse(request, refusal)
        pool = self._pool(request)
        permit = Permit(request, tokens, self, pool)
        if not pool.queue.waiting_up_to(request.priority) and self._has_room(request):
            self.shares.take(request, tokens)
            self._admit(permit)
            return Success(permit)
        refusal = self._queue_refusal(request, pool)
        if refusal is not None:
            return self._refuse(request, refusal)
        self.shares.take(request, tokens)
        return await self._wait(permit)

    def choose(
        self, request: CallerRequest, excluded: frozenset[UpstreamId] = frozenset()
    ) -> Result[UpstreamSpec, Failed]:
        """Choose the upstream with the least expected time to the first token.

        :param request: the request.
        :param excluded: upstreams that must not be chosen again.
        """
        upstream = self._chooser.choose(request, excluded)
        return Failure(self._no_upstream(request)) if upstream is None else Success(upstream)

    def sent(self, request: CallerRequest, upstream: UpstreamId) -> None:
        """Note that the first byte of a request is about to leave for an upstream."""
        self.tracker.sent(request, upstream)
        self._pool(request).unplaced.discard(request.request_id)

    def first_token(self, request: CallerRequest, upstream: UpstreamId) -> None:
        """Note the first token of an answer."""
        self.tracker.first_token(request, upstream)

    def ended(self, request: CallerRequest, upstream: UpstreamId) -> None:
        """Note that a request has left an upstream."""
        self.tracker.ended(request, upstream)
        self.pump()

    def release(self, permit: Permit) -> None:
        """Give back a permit's place; called by the permit."""
        permit.pool.unplaced.discard(permit.request.request_id)
        self.shares.leave(permit.request)
        self.pump()

    def queued(self) -> int:
        """Return how many requests wait for admission."""
        return sum(len(pool.queue) for pool in self._pools.values())

    def pump(self) -> None:
        """Refuse waiting requests that are overdue, and admit those that have room."""
        now = self._clock.monotonic()
        for pool in self._pools.values():
            for waiting in pool.queue.overdue(now, self._settings.max_queue_wait_seconds):
                self._refuse_waiting(waiting, pool)
        while self._admit_next():
            pass

    async def _pump_forever(self) -> None:
        while True:
            await self._clock.sleep(PUMP_INTERVAL_SECONDS)
            self.pump()

    async def _update_shares_forever(self) -> None:
        while True:
            self.shares.update()
            await self._clock.sleep(UPDATE_INTERVAL_SECONDS)

    async def _wait(self, permit: Permit) -> Result[Permit, Failed]:
        now = self._clock.monotonic()
        request = permit.request
        decided: asyncio.Future[Failed | None] = asyncio.get_running_loop().create_future()
        waiting = Waiting(
            (permit, decided),
            request.workspace,
            request.priority,
            permit.tokens,
            now + request.deadline_seconds,
            now,
        )
        permit.pool.push(waiting, now)
        try:
            refusal = await decided
        except asyncio.CancelledError:
            permit.pool.queue.remove(waiting)
            permit.leave()
            raise
        if refusal is None:
            return Success(permit)
        permit.leave()
        return self._refuse(request, refusal)

    def _admit_next(self) -> bool:
        """Admit the first waiting request that has room; return whether there was one."""
        heads = [(pool.queue.peek(), pool) for pool in self._pools.values() if len(pool.queue)]
        heads.sort(key=lambda head: (head[0].priority, head[0].entered_at))
        for head, pool in heads:
            permit, decided = head.item
            if not self._has_room(permit.request):
                continue
            pool.queue.pop()
            if not decided.done():
                self._admit(permit)
                decided.set_result(None)
            return True
        return False

    def _admit(self, permit: Permit) -> None:
        permit.pool.admitted(permit.request, self._clock.monotonic())
        self.counters.admitted[permit.request.priority] += 1

    def _has_room(self, request: CallerRequest) -> bool:
        """Return whether some upstream has room beyond what was admitted but not yet sent."""
        headroom = HEADROOM_BY_PRIORITY[request.priority]
        is_long = self.tracker.is_long(request)
        room = sum(
            max(0.0, self.tracker.room(spec.id, headroom, is_long))
            for spec in self.tracker.eligible(request)
        )
        return room - len(self._pool(request).unplaced) >= 1.0

    def _queue_refusal(self, request: CallerRequest, pool: Pool) -> Failed | None:
        wait = pool.expected_wait(request.priority, self._clock.monotonic())
        if wait >= request.deadline_seconds:
            return _refusal(RefusalReason.DEADLINE_EXCEEDED, wait, "the queue is too long")
        if wait >= self._settings.max_queue_wait_seconds:
            return _refusal(RefusalReason.QUEUE_FULL, wait, "the queue is too long")
        if pool.queue.workspace_is_full(request.workspace):
            return _refusal(RefusalReason.QUEUE_FULL, wait, "the workspace fills its queue")
        if pool.queue.has_room(request.workspace):
            return None
        evicted = pool.queue.evict_below(request.priority)
        if evicted is None:
            return _refusal(RefusalReason.QUEUE_FULL, wait, "the queue is full")
        self._refuse_waiting(evicted, pool)
        return None

    def _refuse_waiting(self, waiting: Waiting, pool: Pool) -> None:
        _, decided = waiting.item
        now = self._clock.monotonic()
        overdue = now >= waiting.deadline
        reason = RefusalReason.DEADLINE_EXCEEDED if overdue else RefusalReason.QUEUE_FULL
        wait = pool.expected_wait(waiting.priority, now)
        if not decided.done():
            decided.set_result(_refusal(reason, wait, "no capacity came free in time"))

    def _target_refusal(self, request: CallerRequest) -> Failed | None:
        return None if self.tracker.staying(request) else self._no_upstream(request)

    def _no_upstream(self, request: CallerRequest) -> Failed:
        if self.tracker.serving(request):
            return _refusal(
                RefusalReason.NO_UPSTREAM,
                NO_UPSTREAM_RETRY_SECONDS,
                "every upstream that serves the target is leaving or has failed this request",
            )
        return _refusal(
            RefusalReason.MODEL_NOT_LOADED,
            NO_UPSTREAM_RETRY_SECONDS,
            "no upstream has the target loaded",
        )

    def _refuse(self, request: CallerRequest, refusal: Failed) -> Result[Permit, Failed]:
        self.counters.refused[request.priority, refusal.reason] += 1
        return Failure(refusal)

    def _pool(self, request: CallerRequest) -> Pool:
        key = (f"{request.kind.value} {request.target}", self.tracker.is_long(request))
        if key not in self._pools:
            self._pools[key] = Pool(
                self._settings.max_queued_requests, self._settings.max_workspace_queue_share
            )
        return self._pools[key]


def _refusal(reason: RefusalReason, wait: float, detail: str) -> Failed:
    retry_after = max(1.0, min(wait, 60.0))
    return Failed(reason, _NEVER_SENT, retry_after, detail, step="scheduling.enter")
