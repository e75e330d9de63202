"""Queues of requests that wait for a free slot at an upstream."""

import asyncio
from dataclasses import dataclass
from itertools import groupby

from quinceferry_core.clocks import Clock
from quinceferry_core.models import CallerRequest, Priority, UpstreamSpec
from quinceferry_core.outcomes import Failed, NotRun, NotRunProof, RefusalReason
from quinceferry_core.prefixes import prefix_hashes
from quinceferry_core.queues import QueueEntry
from quinceferryd.choices import Availability, UpstreamChooser
from quinceferryd.settings import RoutingSettings
from quinceferryd.target_queues import TargetQueue
from quinceferryd.tracking import UpstreamTracker

MAX_SCANNED_REQUESTS = 32
"""Waiting requests of one target queue that are considered per pass."""
PREFIX_WAIT_SECONDS_BY_PRIORITY = {Priority.HIGH: 0.0, Priority.NORMAL: 2.0, Priority.LOW: 5.0}
"""How long a request waits for an upstream that caches its prefix before it takes any other."""
MAX_RETRY_AFTER_SECONDS = 60.0
"""Upper bound of the retry delay that a refusal suggests."""


@dataclass(slots=True, frozen=True)
class Admitted:
    """Result of an admission: the upstream whose slot is reserved.

    The upstream's load counts the request as sent from this moment on.
    """

    upstream: UpstreamSpec


@dataclass(slots=True, eq=False)
class _QueuedRequest:
    """Request in a queue, its prefix hashes, and the future that resolves to the decision."""

    request: CallerRequest
    hashes: tuple[int, ...]
    decision: asyncio.Future[Admitted | Failed]


class Admission:
    """Admits requests as upstreams get free slots, in the order of their target queue.

    :param tracker: counts the free slots of each upstream.
    :param chooser: chooses the upstream of a request.
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
        self._queues_by_target: dict[tuple[str, bool], TargetQueue] = {}
        self._request_queued = asyncio.Event()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(target_queue.fair_queue) for target_queue in self._queues_by_target.values())

    async def admit(self, request: CallerRequest, tokens: int) -> Admitted | Failed:
        """Reserve a slot at an upstream, now or after waiting in the queue.

        A request whose expected wait exceeds its deadline or the queue's limits is refused at once.

        :param request: the request to admit.
        :param tokens: tokens reserved for it, prompt and output together.
        """
        target_queue = self._queue_for(request)
        hashes = prefix_hashes(request.target, request.prompt)
        may_skip_queue = bool(hashes) or not target_queue.fair_queue.count_up_to_class(
            request.priority
        )
        if may_skip_queue:
            availability = self._chooser.availability(request)
            prefix_wait_seconds = PREFIX_WAIT_SECONDS_BY_PRIORITY[request.priority]
            upstream = self._chooser.choose_with_free_slots(
                request, hashes, availability, allow_cache_miss=not prefix_wait_seconds
            )
            if upstream is not None:
                return self._reserve_upstream(request, target_queue, upstream)
        refusal = self._queue_refusal(request, target_queue)
        return refusal or await self._wait_for_decision(request, tokens, hashes, target_queue)

    async def wait_until_queued(self) -> None:
        """Return as soon as at least one request is waiting."""
        while not len(self):
            self._request_queued.clear()
            await self._request_queued.wait()

    def process_queue(self) -> None:
        """Refuse overdue requests and admit waiting requests for which a slot is free."""
        now = self._clock.monotonic()
        for target_queue in list(self._queues_by_target.values()):
            for waiting in target_queue.fair_queue.remove_overdue(
                now, self._max_wait_seconds(target_queue)
            ):
                self._refuse_waiting(waiting, target_queue)
            groups_by_priority = groupby(
                target_queue.fair_queue.peek(MAX_SCANNED_REQUESTS),
                key=lambda waiting: waiting.priority,
            )
            for _, group in groups_by_priority:
                self._admit_group(list(group), target_queue, now)

    def _admit_group(
        self, group: list[QueueEntry[_QueuedRequest]], target_queue: TargetQueue, now: float
    ) -> None:
        """Admit waiting requests of one priority, first those whose prefix an upstream caches.

        Prefilling a prefix again costs more than a short wait. A request therefore takes an
        upstream without its prefix only after its prefix wait, and only slots that requests with a
        cached prefix leave free.
        """
        availability = self._chooser.availability(group[0].item.request)
        for allow_cache_miss in (False, True):
            for waiting in group:
                if not availability.with_free_slots:
                    return
                if allow_cache_miss and now - waiting.entered_at < _prefix_wait_seconds(
                    waiting, availability, target_queue
                ):
                    continue
                if self._try_admit(
                    waiting, target_queue, availability, allow_cache_miss=allow_cache_miss
                ):
                    availability = self._chooser.availability(group[0].item.request)

    def _try_admit(
        self,
        waiting: QueueEntry[_QueuedRequest],
        target_queue: TargetQueue,
        availability: Availability,
        *,
        allow_cache_miss: bool,
    ) -> bool:
        queued = waiting.item
        if queued.decision.done():
            return False
        request = queued.request
        upstream = self._chooser.choose_with_free_slots(
            request, queued.hashes, availability, allow_cache_miss=allow_cache_miss
        )
        if upstream is None:
            return False
        target_queue.fair_queue.dispatch(waiting)
        queued.decision.set_result(self._reserve_upstream(request, target_queue, upstream))
        return True

    def _reserve_upstream(
        self, request: CallerRequest, target_queue: TargetQueue, upstream: UpstreamSpec
    ) -> Admitted:
        self._tracker.record_sent(request, upstream.id)
        target_queue.record_admission(request.priority, self._clock.monotonic())
        return Admitted(upstream)

    async def _wait_for_decision(
        self,
        request: CallerRequest,
        tokens: int,
        hashes: tuple[int, ...],
        target_queue: TargetQueue,
    ) -> Admitted | Failed:
        now = self._clock.monotonic()
        queued = _QueuedRequest(request, hashes, asyncio.get_running_loop().create_future())
        waiting = QueueEntry(
            queued,
            request.workspace,
            request.priority,
            tokens,
            now + request.deadline_seconds,
            now,
        )
        target_queue.push(waiting, now)
        self._request_queued.set()
        try:
            return await queued.decision
        except asyncio.CancelledError:
            target_queue.fair_queue.remove(waiting)
            self._release_upstream(queued)
            raise

    def _release_upstream(self, queued: _QueuedRequest) -> None:
        """Release a slot that was reserved just as the caller disconnected."""
        if not queued.decision.done() or queued.decision.cancelled():
            return
        match queued.decision.result():
            case Admitted(upstream=upstream):
                self._tracker.record_ended(queued.request, upstream.id)

    def _queue_refusal(self, request: CallerRequest, target_queue: TargetQueue) -> Failed | None:
        wait_seconds = target_queue.expected_wait_seconds(request.priority, self._clock.monotonic())
        if wait_seconds >= request.deadline_seconds:
            return unsent_refusal(
                RefusalReason.DEADLINE_EXCEEDED, wait_seconds, "the queue is too long"
            )
        if wait_seconds >= self._max_wait_seconds(target_queue):
            return unsent_refusal(RefusalReason.QUEUE_FULL, wait_seconds, "the queue is too long")
        if target_queue.fair_queue.workspace_is_full(request.workspace):
            return unsent_refusal(
                RefusalReason.QUEUE_FULL, wait_seconds, "the workspace fills its queue"
            )
        if target_queue.fair_queue.has_capacity(request.workspace):
            return None
        evicted = target_queue.fair_queue.evict_below(request.priority)
        if evicted is None:
            return unsent_refusal(RefusalReason.QUEUE_FULL, wait_seconds, "the queue is full")
        self._refuse_waiting(evicted, target_queue)
        return None

    def _refuse_waiting(
        self, waiting: QueueEntry[_QueuedRequest], target_queue: TargetQueue
    ) -> None:
        now = self._clock.monotonic()
        overdue = now >= waiting.deadline
        reason = RefusalReason.DEADLINE_EXCEEDED if overdue else RefusalReason.QUEUE_FULL
        wait_seconds = target_queue.expected_wait_seconds(waiting.priority, now)
        if not waiting.item.decision.done():
            refusal = unsent_refusal(reason, wait_seconds, "no capacity came free in time")
            waiting.item.decision.set_result(refusal)

    def _max_wait_seconds(self, target_queue: TargetQueue) -> float:
        return self._settings.max_queue_wait_seconds * target_queue.wait_factor

    def _queue_for(self, request: CallerRequest) -> TargetQueue:
        is_long = self._tracker.is_long(request)
        key = (f"{request.kind.value} {request.target}", is_long)
        if key not in self._queues_by_target:
            self._queues_by_target[key] = TargetQueue(
                self._settings.max_queued_requests,
                self._settings.max_workspace_queue_share,
                is_long=is_long,
            )
        return self._queues_by_target[key]


def _prefix_wait_seconds(
    waiting: QueueEntry[_QueuedRequest], availability: Availability, target_queue: TargetQueue
) -> float:
    """Return how long a request waits for an upstream that caches its prefix.

    The wait shrinks with the square of the utilization, so it is short while much capacity is idle.
    Long prompts always wait for the full time, since prefilling them again takes longer.
    """
    prefix_wait_seconds = PREFIX_WAIT_SECONDS_BY_PRIORITY[waiting.priority]
    return (
        prefix_wait_seconds
        if target_queue.wait_factor > 1.0
        else prefix_wait_seconds * availability.utilization**2
    )


def unsent_refusal(reason: RefusalReason, wait_seconds: float, detail: str) -> Failed:
    """Return the refusal of a request that was never sent.

    :param reason: machine-readable reason of the refusal.
    :param wait_seconds: estimated time until a retry can succeed.
    :param detail: description for the caller.
    """
    retry_after_seconds = max(1.0, min(wait_seconds, MAX_RETRY_AFTER_SECONDS))
    proof = NotRun(NotRunProof.NEVER_SENT)
    return Failed(reason, proof, retry_after_seconds, detail, step="scheduling.enter")
