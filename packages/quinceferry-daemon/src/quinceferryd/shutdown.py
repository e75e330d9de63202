"""Graceful stop of a router.

The router is not ready for new callers from the beginning. It announces its stop, so that address
answers no longer name it, and serves until earlier answers have expired. Then it finishes its
requests, returns its tokens and leaves the fleet.
"""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum

import msgspec

from quinceferry_core.adapters import KvEntry, KvStore
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvConflictError, KvError
from quinceferry_core.membership import MemberState
from quinceferry_core.models import IncarnationId, OperationId
from quinceferryd.blackboard import Blackboard, RouterState
from quinceferryd.configuration import ConfigurationController
from quinceferryd.controllers import TaskGroupController
from quinceferryd.membership import MembershipController
from quinceferryd.settings import ShutdownSettings

DRAIN_KEY_PREFIX = "config/drains/"
"""Prefix of drain orders; below the configuration prefix, which every router watches."""
ANSWER_PROPAGATION_SECONDS = 10.0
"""How long other routers may still name this one in answers after it announced its stop."""
CHECK_INTERVAL_SECONDS = 0.25
RETRY_INTERVAL_SECONDS = 1.0
MAX_STORE_STEP_SECONDS = 30.0
"""Time limit of each of the two steps that need the key-value service."""


class StopStep(Enum):
    """Steps of a graceful stop, in order; published in the heartbeat record."""

    ANNOUNCE = "announce"
    WAIT_FOR_ANSWERS = "wait_for_answers"
    FINISH_REQUESTS = "finish_requests"
    RETURN_ALLOTMENTS = "return_allotments"
    LEAVE = "leave"
    DONE = "done"


class DrainOrder(msgspec.Struct, frozen=True):
    """Order of an operator to stop one router gracefully."""

    operation_id: OperationId


def build_drain_key(incarnation: IncarnationId) -> str:
    """Return the key of the drain order for an incarnation."""
    return f"{DRAIN_KEY_PREFIX}{incarnation}"


class ShutdownController(TaskGroupController):
    """Runs the graceful stop once, and watches for drain orders that request it.

    ``max_drain_seconds`` limits the time until the requests have finished. The wait for expired
    answers takes ``answer_ttl_seconds`` and ``ANSWER_PROPAGATION_SECONDS`` of it. From the
    beginning of the stop, no request is accepted whose deadline is later than this limit. Earlier
    requests with a later deadline, and answers that run past their deadline, can be aborted. The
    steps after it have ``MAX_STORE_STEP_SECONDS`` each.

    :param blackboard: shared state.
    :param kv: the key-value service.
    :param clock: source of time.
    :param settings: time limit of the stop.
    :param answer_ttl_seconds: time to live of address answers.
    :param membership: controller of this router's member record.
    :param configuration: reports changes of keys below the drain prefix.
    :param open_requests: returns the number of requests in progress here.
    :param return_allotments: writes bills durably and returns all tokens.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        kv: KvStore,
        clock: Clock,
        settings: ShutdownSettings,
        answer_ttl_seconds: float,
        membership: MembershipController,
        configuration: ConfigurationController,
        open_requests: Callable[[], int],
        return_allotments: Callable[[], Awaitable[None]],
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._kv = kv
        self._clock = clock
        self._settings = settings
        self._answer_ttl_seconds = answer_ttl_seconds
        self._membership = membership
        self._open_requests = open_requests
        self._return_allotments = return_allotments
        self.stop_requested = asyncio.Event()
        """Set when a drain order for this router is known."""
        self.current_step: StopStep | None = None
        self.entered_steps: list[StopStep] = []
        self.aborted_requests = 0
        """Requests that were still open when the deadline had passed."""
        configuration.add_key_hook(self._on_drain_key, self._check_drain_order)
        membership.add_join_hook(self._check_drain_order)

    async def run(self) -> None:
        """Stop gracefully; return when this router has left the fleet or the time limits passed."""
        if self.current_step is not None:
            return
        self._blackboard.stop_deadline = self._clock.monotonic() + self._settings.max_drain_seconds
        has_joined = self._membership.member is not None
        self._record_step(StopStep.ANNOUNCE)
        if self._blackboard.state is RouterState.SERVING:
            self._blackboard.state = RouterState.STOPPING
        if has_joined:
            await self._announce()
            await self._publish_step(StopStep.WAIT_FOR_ANSWERS)
            await self._wait_for_answers()
        await self._publish_step(StopStep.FINISH_REQUESTS)
        await self._finish_requests()
        await self._publish_step(StopStep.RETURN_ALLOTMENTS)
        await self._run_with_timeout(MAX_STORE_STEP_SECONDS, self._return_allotments())
        await self._publish_step(StopStep.LEAVE)
        await self._run_with_timeout(MAX_STORE_STEP_SECONDS, self._leave())
        self._record_step(StopStep.DONE)

    async def _announce(self) -> None:
        """Publish the stop, and retry until other routers can read it or the deadline has passed.

        The wait for expired answers starts only after the publication.
        """
        while self._is_before_deadline():
            await self._membership.update_member(
                state=MemberState.STOPPING, stop_step=StopStep.ANNOUNCE.value
            )
            if self._membership.is_published or self._blackboard.state is RouterState.FENCED:
                return
            await self._clock.sleep(RETRY_INTERVAL_SECONDS)

    async def _wait_for_answers(self) -> None:
        """Serve until all address answers that name this router have expired."""
        if self._blackboard.state is RouterState.FENCED:
            return
        deadline = self._clock.monotonic() + self._answer_ttl_seconds + ANSWER_PROPAGATION_SECONDS
        while self._clock.monotonic() < min(deadline, self._blackboard.stop_deadline):
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)

    async def _finish_requests(self) -> None:
        """Wait until no request is in progress, then accept no new ones."""
        while self._open_requests() > 0 and self._is_before_deadline():
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)
            await self._publish_open_requests()
        # No await between the count and the change of state: a request could start in between.
        self.aborted_requests = self._open_requests()
        self._blackboard.state = RouterState.LEFT

    async def _leave(self) -> None:
        """Delete the drain order and leave the fleet, retrying while the store fails."""
        incarnation = self._blackboard.identity.incarnation
        while True:
            try:
                await self._delete_drain_order(incarnation)
                return await self._membership.leave()
            except KvError:
                await self._clock.sleep(RETRY_INTERVAL_SECONDS)

    async def _publish_open_requests(self) -> None:
        """Publish the number of open requests when it has changed."""
        member = self._membership.member
        if member is not None and member.open_streams != self._open_requests():
            await self._membership.update_member(open_streams=self._open_requests())

    async def _publish_step(self, step: StopStep) -> None:
        """Record a step and publish it with the number of open requests."""
        self._record_step(step)
        await self._membership.update_member(
            stop_step=step.value, open_streams=self._open_requests()
        )

    def _record_step(self, step: StopStep) -> None:
        """Record the step that begins."""
        self.current_step = step
        self.entered_steps.append(step)

    def _is_before_deadline(self) -> bool:
        """Return whether the time limit of the stop has not passed yet."""
        return self._clock.monotonic() < self._blackboard.stop_deadline

    async def _run_with_timeout(self, timeout_seconds: float, awaitable: Awaitable[None]) -> None:
        """Await a step, and cancel it after a timeout; its errors are ignored."""
        task = asyncio.ensure_future(awaitable)
        deadline = self._clock.monotonic() + timeout_seconds
        while not task.done() and self._clock.monotonic() < deadline:
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)
        if not task.done():
            task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def _on_drain_key(self, key: str, entry: KvEntry | None) -> None:
        """Request the stop when the drain order for this incarnation is written."""
        if entry is not None and key == build_drain_key(self._blackboard.identity.incarnation):
            self.stop_requested.set()

    async def _check_drain_order(self) -> None:
        """Look for a drain order that was written before the watch began or during a gap in it."""
        if self.stop_requested.is_set() or not self._blackboard.identity.incarnation:
            return
        entry = await self._kv.get(build_drain_key(self._blackboard.identity.incarnation))
        if entry is not None:
            self.stop_requested.set()

    async def _delete_drain_order(self, incarnation: IncarnationId) -> None:
        """Delete the drain order for an incarnation, if there is one."""
        entry = await self._kv.get(build_drain_key(incarnation))
        if entry is None:
            return
        try:
            await self._kv.delete_if(entry.key, entry.version)
        except KvConflictError:
            return
