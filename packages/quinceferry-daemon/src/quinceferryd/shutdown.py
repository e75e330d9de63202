"""Graceful stop: leave the answers, serve on, finish, return what is held, leave the fleet."""

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
"""Orders to stop; below the prefix that every router watches anyway."""
ANSWER_PROPAGATION_SECONDS = 10.0
"""How long other routers may go on naming this one after it announced its stop."""
CHECK_INTERVAL_SECONDS = 0.25
RETRY_INTERVAL_SECONDS = 1.0
MAX_STORE_STEP_SECONDS = 30.0
"""Bound of each of the steps that need the key-value service."""


class StopStep(Enum):
    """Step of a graceful stop, in order; shown in the heartbeat record."""

    ANNOUNCE = "announce"
    WAIT_FOR_ANSWERS = "wait_for_answers"
    FINISH_REQUESTS = "finish_requests"
    RETURN_ALLOTMENTS = "return_allotments"
    LEAVE = "leave"
    DONE = "done"


class DrainOrder(msgspec.Struct, frozen=True):
    """An operator's order to stop one router."""

    operation_id: OperationId


def build_drain_key(incarnation: IncarnationId) -> str:
    """Return the key that orders an incarnation to stop."""
    return f"{DRAIN_KEY_PREFIX}{incarnation}"


class ShutdownController(TaskGroupController):
    """Runs the graceful stop once, and watches for orders to begin it.

    The whole stop is bounded by ``max_drain_seconds``, of which the wait for stale answers takes
    ``answer_ttl_seconds`` and ``ANSWER_PROPAGATION_SECONDS``. Requests that the bound would cut
    can only be those with a longer deadline.

    :param blackboard: shared state.
    :param kv: the key-value service.
    :param clock: source of time.
    :param settings: bound of the stop.
    :param answer_ttl_seconds: lifetime of address answers.
    :param membership: owner of this router's records.
    :param configuration: source of changes below the drain prefix.
    :param open_requests: counts the requests in progress here.
    :param return_allotments: makes bills durable and returns all tokens.
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
        self._deadline = float("inf")
        self.stop_requested = asyncio.Event()
        """Set when an operator has ordered this router to stop."""
        self.step: StopStep | None = None
        self.steps: list[StopStep] = []
        self.aborted_requests = 0
        configuration.add_key_hook(self._on_drain_key, self._check_drain_order)
        membership.add_join_hook(self._check_drain_order)

    async def run(self) -> None:
        """Stop gracefully; returns when this router has left the fleet or the bound has passed."""
        if self.step is not None:
            return
        self._deadline = self._clock.monotonic() + self._settings.max_drain_seconds
        has_joined = self._membership.member is not None
        self._record_step(StopStep.ANNOUNCE)
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
        """Publish the stop; the wait for stale answers begins when others can have read it."""
        while self._is_before_deadline():
            await self._membership.update_member(
                state=MemberState.STOPPING, stop_step=StopStep.ANNOUNCE.value
            )
            if self._membership.is_published or self._blackboard.state is RouterState.FENCED:
                return
            await self._clock.sleep(RETRY_INTERVAL_SECONDS)

    async def _wait_for_answers(self) -> None:
        """Serve until no caller holds an answer that names this router."""
        if self._blackboard.state is RouterState.FENCED:
            return
        self._blackboard.state = RouterState.STOPPING
        deadline = self._clock.monotonic() + self._answer_ttl_seconds + ANSWER_PROPAGATION_SECONDS
        while self._clock.monotonic() < min(deadline, self._deadline):
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)

    async def _finish_requests(self) -> None:
        """Wait until nothing is in progress, then take nothing new."""
        while self._open_requests() > 0 and self._is_before_deadline():
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)
            await self._publish_open_requests()
        # No await may stand between the last count and the change of state.
        self.aborted_requests = self._open_requests()
        self._blackboard.state = RouterState.LEFT

    async def _leave(self) -> None:
        incarnation = self._blackboard.identity.incarnation
        while True:
            try:
                await self._delete_drain_order(incarnation)
                return await self._membership.leave()
            except KvError:
                await self._clock.sleep(RETRY_INTERVAL_SECONDS)

    async def _publish_open_requests(self) -> None:
        member = self._membership.member
        if member is not None and member.open_streams != self._open_requests():
            await self._membership.update_member(open_streams=self._open_requests())

    async def _publish_step(self, step: StopStep) -> None:
        self._record_step(step)
        await self._membership.update_member(
            stop_step=step.value, open_streams=self._open_requests()
        )

    def _record_step(self, step: StopStep) -> None:
        self.step = step
        self.steps.append(step)

    def _is_before_deadline(self) -> bool:
        return self._clock.monotonic() < self._deadline

    async def _run_with_timeout(self, timeout_seconds: float, awaitable: Awaitable[None]) -> None:
        """Wait for a step for a bounded time, however long it would take."""
        task = asyncio.ensure_future(awaitable)
        deadline = self._clock.monotonic() + timeout_seconds
        while not task.done() and self._clock.monotonic() < deadline:
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)
        if not task.done():
            task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def _on_drain_key(self, key: str, entry: KvEntry | None) -> None:
        if entry is not None and key == build_drain_key(self._blackboard.identity.incarnation):
            self.stop_requested.set()

    async def _check_drain_order(self) -> None:
        """Read an order that came before this router watched for it, or in a gap."""
        if self.stop_requested.is_set() or not self._blackboard.identity.incarnation:
            return
        entry = await self._kv.get(build_drain_key(self._blackboard.identity.incarnation))
        if entry is not None:
            self.stop_requested.set()

    async def _delete_drain_order(self, incarnation: IncarnationId) -> None:
        entry = await self._kv.get(build_drain_key(incarnation))
        if entry is None:
            return
        try:
            await self._kv.delete_if(entry.key, entry.version)
        except KvConflictError:
            return
