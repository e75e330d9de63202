"""Admission of requests and choice of their upstreams."""

import random
from collections import Counter
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from quinceferry_core.clocks import Clock
from quinceferry_core.models import (
    CallerRequest,
    Priority,
    RequestId,
    UpstreamId,
    UpstreamSpec,
    WorkspaceId,
)
from quinceferry_core.outcomes import Failed, RefusalReason
from quinceferryd.admission import Admission, Admitted, unsent_refusal
from quinceferryd.blackboard import Blackboard
from quinceferryd.choices import UpstreamChooser
from quinceferryd.controllers import TaskGroupController
from quinceferryd.settings import RoutingSettings
from quinceferryd.shares import UPDATE_INTERVAL_SECONDS, LimitShares
from quinceferryd.tracking import UpstreamTracker

QUEUE_INTERVAL_SECONDS = 0.05
"""Interval between passes over the waiting requests when no other event triggers one."""
NO_UPSTREAM_RETRY_SECONDS = 5.0
"""Retry delay suggested to a caller when no upstream can serve its request."""


@dataclass(slots=True, eq=False)
class Permit:
    """Admission of one request.

    The holder must call :meth:`release` when the request ends.
    """

    request: CallerRequest
    tokens: int
    _scheduler: "Scheduler"
    _released: bool = False

    def release(self) -> None:
        """Return the reserved slot and limit shares. Idempotent."""
        if not self._released:
            self._released = True
            self._scheduler.release(self)


@dataclass(slots=True)
class SchedulerCounters:
    """Counters since the start of the process, exported as metrics."""

    admitted: Counter[Priority] = field(default_factory=Counter)
    refused: Counter[tuple[Priority, RefusalReason]] = field(default_factory=Counter)


class Scheduler(TaskGroupController):
    """Admits requests within limits and capacity, and chooses their upstreams.

    :param blackboard: shared state; only the limit claims are written.
    :param rng: random generator for the sampling of upstreams.
    :param routers_per_workspace: number of routers that the callers of one workspace are sent to.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
        settings: RoutingSettings,
        routers_per_workspace: int = 3,
    ) -> None:
        super().__init__()
        self._clock = clock
        self._rng = rng
        self.tracker = UpstreamTracker(blackboard, clock, settings)
        self.chooser = UpstreamChooser(self.tracker, rng, settings, blackboard.identity.zone)
        self.admission = Admission(self.tracker, self.chooser, clock, settings)
        self.shares = LimitShares(blackboard, clock, routers_per_workspace)
        self.counters = SchedulerCounters()
        self._reserved_upstreams_by_key: dict[tuple[WorkspaceId, RequestId], UpstreamSpec] = {}

    async def start(self) -> None:
        """Start the loops that process the queue and update the limit claims."""
        self.spawn(self._process_queue_forever(), "scheduler pump")
        self.spawn(self._update_shares_forever(), "limit shares")

    async def admit(self, request: CallerRequest, tokens: int) -> Result[Permit, Failed]:
        """Admit a request, possibly after waiting in the queue, or refuse it.

        :param request: the request.
        :param tokens: tokens reserved for it, prompt and output together.
        :return: a permit, or the refusal.
        """
        refusal = self.shares.check(request, tokens) or self._target_refusal(request)
        if refusal is not None:
            return self._count_refusal(request, refusal)
        self.shares.count_admission(request, tokens)
        try:
            admitted = await self.admission.admit(request, tokens)
        except BaseException:
            self.shares.revert_admission(request, tokens)
            raise
        match admitted:
            case Admitted(upstream=upstream):
                self._reserved_upstreams_by_key[request.workspace, request.request_id] = upstream
                self.counters.admitted[request.priority] += 1
                return Success(Permit(request, tokens, self))
            case Failed() as refusal:
                self.shares.revert_admission(request, tokens)
                return self._count_refusal(request, refusal)

    def choose(
        self, request: CallerRequest, excluded: frozenset[UpstreamId] = frozenset()
    ) -> Result[UpstreamSpec, Failed]:
        """Choose the upstream with the least expected time to the first token.

        The first call for an admitted request returns the upstream that its admission reserved,
        unless that upstream has begun to leave.

        :param request: the request.
        :param excluded: upstreams that must not be chosen again.
        """
        reserved = self._reserved_upstreams_by_key.pop(
            (request.workspace, request.request_id), None
        )
        if reserved is not None:
            if reserved.id not in excluded and not self.tracker.is_leaving(reserved):
                return Success(reserved)
            self.tracker.record_ended(request, reserved.id)
        upstream = self.chooser.choose(request, excluded)
        return (
            Failure(self._no_upstream_refusal(request)) if upstream is None else Success(upstream)
        )

    def record_sent(self, request: CallerRequest, upstream: UpstreamId) -> None:
        """Record that a request will be sent to an upstream once its dispatch is recorded."""
        self.tracker.record_sent(request, upstream)

    def record_dispatched(self, request: CallerRequest, upstream: UpstreamId) -> None:
        """Record that the first byte of a request is about to be sent to an upstream."""
        self.tracker.record_dispatched(request, upstream)

    def record_first_token(self, request: CallerRequest, upstream: UpstreamId) -> None:
        """Record the first token of an answer."""
        self.tracker.record_first_token(request, upstream)

    def record_ended(self, request: CallerRequest, upstream: UpstreamId) -> None:
        """Record that a request has ended at an upstream."""
        self.tracker.record_ended(request, upstream)

    def release(self, permit: Permit) -> None:
        """Return the slot and the limit shares of a permit; called by :meth:`Permit.release`."""
        request = permit.request
        reserved = self._reserved_upstreams_by_key.pop(
            (request.workspace, request.request_id), None
        )
        if reserved is not None:
            self.tracker.record_ended(request, reserved.id)
        self.shares.count_completion(request)
        self.admission.process_queue()

    async def _process_queue_forever(self) -> None:
        """Process the queue periodically, but only while requests wait."""
        while True:
            await self.admission.wait_until_queued()
            await self._clock.sleep(QUEUE_INTERVAL_SECONDS)
            self.admission.process_queue()

    async def _update_shares_forever(self) -> None:
        while True:
            self.shares.update()
            await self._clock.sleep(UPDATE_INTERVAL_SECONDS)

    def _target_refusal(self, request: CallerRequest) -> Failed | None:
        if self.tracker.non_leaving_upstreams(request):
            return None
        self.tracker.has_unserved_target = True
        return self._no_upstream_refusal(request)

    def _no_upstream_refusal(self, request: CallerRequest) -> Failed:
        if self.tracker.serving_upstreams(request):
            return unsent_refusal(
                RefusalReason.NO_UPSTREAM,
                NO_UPSTREAM_RETRY_SECONDS,
                "every upstream that serves the target is leaving or has failed this request",
            )
        return unsent_refusal(
            RefusalReason.MODEL_NOT_LOADED,
            NO_UPSTREAM_RETRY_SECONDS,
            "no upstream has the target loaded",
        )

    def _count_refusal(self, request: CallerRequest, refusal: Failed) -> Result[Permit, Failed]:
        self.counters.refused[request.priority, refusal.reason] += 1
        return Failure(refusal)
