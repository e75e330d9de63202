"""Applies the operators' configuration, confirms revisions and proposes changes."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from itertools import count

from returns.result import Failure, Result, Success

from quinceferry_core.adapters import KvEntry, KvEvent, KvStore
from quinceferry_core.changes import ConfigurationChange, LogEntry
from quinceferry_core.clocks import Clock
from quinceferry_core.configuration import (
    ChangeBuilder,
    ChangeState,
    ChangeStatus,
    ConfigurationConflict,
    ConfigurationState,
)
from quinceferry_core.exceptions import FencedError, KvError, KvUnavailableError
from quinceferry_core.models import OperationId
from quinceferryd.acceptance import AcceptanceController
from quinceferryd.blackboard import Blackboard
from quinceferryd.configuration_log import (
    CONFIGURATION_PREFIX,
    LOG_PREFIX,
    LOG_STATE_KEY,
    ConfigurationLog,
    decode_entry,
    decode_log_state,
)
from quinceferryd.controllers import TaskGroupController
from quinceferryd.membership import MembershipController
from quinceferryd.vms import VmListController

WATCH_TIMEOUT_SECONDS = 60.0
MIN_WATCH_INTERVAL_SECONDS = 0.2
"""Minimum time between two watch calls, so that a burst of changes takes a single call."""
MAX_WATCH_DELAY_SECONDS = 10.0
"""Maximum delay of a watch's answer beyond its timeout; later events are discarded as stale."""
MIN_POLL_INTERVAL_SECONDS = 4.0
"""Minimum time between two polls of the end of the log, in case the watch misses changes."""
POLLS_PER_FULL_POLL = 4
"""One in this many polls reads the whole end of the log, which detects a compaction."""
MAX_FLEET_POLLS_PER_SECOND = 40.0
"""Poll rate of all routers together; in a larger fleet each router polls less often."""
MAX_FLEET_CONFIRMATIONS_PER_SECOND = 200.0
"""Rate at which all routers together confirm a revision."""
RETRY_DELAY_SECONDS = 1.0
MAX_APPEND_ATTEMPTS = 3

KeyHook = Callable[[str, KvEntry | None], Awaitable[None]]
"""Called with each changed key below ``config/`` that is not part of the log, and its entry."""
ResyncHook = Callable[[], Awaitable[None]]
"""Called when changes of such keys may have been missed, so that they must be read again."""


class ConfigurationController(TaskGroupController):
    """Writes ``blackboard.configuration`` and ``blackboard.accepted_revision``.

    Revisions are applied in the order of the log as soon as they are read, and never reverted.
    Routers confirm a revision in their incarnation records; it is accepted when all routers that
    may serve have confirmed it.

    :param blackboard: shared state.
    :param kv: the key-value service.
    :param clock: source of time.
    :param rng: source of randomness, for spreading the calls of many routers.
    :param membership: owner of this router's incarnation record.
    :param vms: determines which VMs have terminated.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        kv: KvStore,
        clock: Clock,
        rng: random.Random,
        membership: MembershipController,
        vms: VmListController,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._kv = kv
        self._clock = clock
        self._rng = rng
        self._membership = membership
        self._log = ConfigurationLog(kv)
        self._state = ConfigurationState()
        self._acceptance = AcceptanceController(
            blackboard, kv, clock, rng, self._log, vms, lambda: self._state
        )
        self._lock = asyncio.Lock()
        self._has_unconfirmed_revision = asyncio.Event()
        self._key_hooks: list[KeyHook] = []
        self._resync_hooks: list[ResyncHook] = []
        membership.add_join_hook(self.catch_up)

    def add_key_hook(self, hook: KeyHook, resync: ResyncHook) -> None:
        """Register hooks for changes of other keys below ``config/`` and for missed changes."""
        self._key_hooks.append(hook)
        self._resync_hooks.append(resync)

    async def start(self) -> None:
        """Start the tasks that follow the log, confirm revisions and accept them."""
        self.spawn(self._watch_forever(), "configuration-watch")
        self.spawn(self._poll_forever(), "configuration-poll")
        self.spawn(self._confirm_forever(), "configuration-confirm")
        await self._acceptance.start()

    async def stop(self) -> None:
        """Stop all tasks of the controller."""
        await self._acceptance.stop()
        await super().stop()

    async def catch_up(self) -> None:
        """Apply all revisions up to the end of the log and confirm the newest.

        :raises KvUnavailableError: the key-value service did not answer.
        :raises FencedError: this incarnation has been closed.
        """
        await self.synchronize()
        await self._confirm()

    async def synchronize(self) -> None:
        """Apply all revisions up to the end of the log."""
        async with self._lock:
            self._state, log_state = await self._log.catch_up(self._state)
            self._publish()
        self._acceptance.update_accepted(log_state)

    async def propose(
        self,
        change: ConfigurationChange | ChangeBuilder,
        expected_revision: int,
        operation_id: OperationId,
        fingerprint: str = "",
    ) -> Result[ChangeStatus, ConfigurationConflict]:
        """Append a change to the log; a repeated operation returns its first result.

        :param change: the change, or a function that derives it from the newest configuration.
        :param expected_revision: newest revision that the operator has read.
        :param operation_id: id of the operation; use the same id to retry after an error.
        :param fingerprint: digest of the operator's request.
        :return: the state of the change, or the conflict that prevented it.
        :raises KvUnavailableError: it is unknown whether the change was made.
        """
        attempts = 0
        while True:
            await self.synchronize()
            first_result = self._state.previous_result(operation_id, fingerprint)
            if first_result is not None:
                return await self._repeat_result(first_result)
            checked = self._check(change, expected_revision)
            if isinstance(checked, Failure):
                return checked
            entry = self._next_entry(checked.unwrap(), operation_id, fingerprint)
            attempts += 1
            try:
                await self._log.append(entry)
            except KvUnavailableError:
                if attempts >= MAX_APPEND_ATTEMPTS:
                    raise

    async def status(self, revision: int) -> ChangeStatus:
        """Return whether a revision is accepted and, if not, which routers are awaited."""
        if self._blackboard.accepted_revision < revision:
            await self._acceptance.accept_confirmed()
        if self._blackboard.accepted_revision >= revision:
            return ChangeStatus(revision, ChangeState.ACCEPTED)
        awaited_routers = await self._acceptance.awaited_routers(revision)
        return ChangeStatus(revision, ChangeState.PROPOSED, awaited_routers)

    async def status_of_operation(self, operation_id: OperationId) -> ChangeStatus | None:
        """Return the state of the change made by an operation, or None if it made none."""
        await self.synchronize()
        operation = self._state.operations_by_id.get(operation_id)
        return await self.status(operation.revision) if operation else None

    def _check(
        self, change: ConfigurationChange | ChangeBuilder, expected_revision: int
    ) -> Result[ConfigurationChange, ConfigurationConflict]:
        if callable(change):
            built = change(self._state.configuration)
            if isinstance(built, Failure):
                return Failure(self._state.rejection(built.failure()))
            change = built.unwrap()
        conflict = self._state.find_conflict(change, expected_revision)
        return Failure(conflict) if conflict else Success(change)

    def _next_entry(
        self, change: ConfigurationChange, operation_id: OperationId, fingerprint: str
    ) -> LogEntry:
        proposer = self._blackboard.identity.incarnation
        return LogEntry(self._state.revision + 1, operation_id, change, proposer, fingerprint)

    async def _repeat_result(
        self, first_result: Result[int, ConfigurationConflict]
    ) -> Result[ChangeStatus, ConfigurationConflict]:
        if isinstance(first_result, Failure):
            return first_result
        return Success(await self.status(first_result.unwrap()))

    def _publish(self) -> None:
        if self._state.revision > self._blackboard.configuration.revision:
            self._blackboard.configuration = self._state.configuration
            self._has_unconfirmed_revision.set()

    async def _confirm(self) -> None:
        """Record the applied revision in the incarnation record, unless it is already recorded."""
        record = self._membership.record
        revision = self._state.revision
        if record is not None and record.applied_revision < revision:
            await self._membership.update_record(applied_revision=revision)

    async def _watch_forever(self) -> None:
        cursor = -1
        while True:
            try:
                cursor = await self._watch_once(cursor)
            except KvError:
                cursor = -1
                await self._clock.sleep(RETRY_DELAY_SECONDS)

    async def _watch_once(self, cursor: int) -> int:
        """Wait for one batch of changes and apply it.

        :param cursor: cursor of the last batch; -1 to read everything first.
        :return: the cursor for the next call; -1 if changes may have been missed.
        """
        if cursor < 0:
            cursor = (await self._kv.watch(CONFIGURATION_PREFIX, -1, 0.0)).cursor
            await self.synchronize()
            for resync in self._resync_hooks:
                await resync()
        requested_at = self._clock.monotonic()
        batch = await self._kv.watch(CONFIGURATION_PREFIX, cursor, WATCH_TIMEOUT_SECONDS)
        waited = self._clock.monotonic() - requested_at
        if batch.reset or waited > WATCH_TIMEOUT_SECONDS + MAX_WATCH_DELAY_SECONDS:
            return -1
        for event in batch.events:
            await self._apply_event(event)
        await self._clock.sleep(MIN_WATCH_INTERVAL_SECONDS)
        return batch.cursor

    async def _apply_event(self, event: KvEvent) -> None:
        if event.key == LOG_STATE_KEY and event.entry is not None:
            self._acceptance.update_accepted(decode_log_state(event.entry))
        elif not event.key.startswith(LOG_PREFIX):
            for hook in self._key_hooks:
                await hook(event.key, event.entry)
        elif event.entry is not None:
            await self._apply_log_entry(event.entry)

    async def _apply_log_entry(self, stored: KvEntry) -> None:
        entry = decode_entry(stored)
        if entry.revision > self._state.revision + 1:
            await self.synchronize()
            return
        async with self._lock:
            self._state.apply(entry)
            self._publish()

    async def _poll_forever(self) -> None:
        for polls in count():
            members = len(self._blackboard.members_by_incarnation)
            interval = max(MIN_POLL_INTERVAL_SECONDS, members / MAX_FLEET_POLLS_PER_SECOND)
            await self._clock.sleep(interval * self._rng.uniform(0.8, 1.2))
            try:
                is_full = polls % POLLS_PER_FULL_POLL == 0
                if is_full or await self._log.has_entry(self._state.revision + 1):
                    await self.synchronize()
            except KvError:
                continue

    async def _confirm_forever(self) -> None:
        while True:
            await self._has_unconfirmed_revision.wait()
            self._has_unconfirmed_revision.clear()
            members = len(self._blackboard.members_by_incarnation)
            await self._clock.sleep(
                self._rng.uniform(0.0, members / MAX_FLEET_CONFIRMATIONS_PER_SECOND)
            )
            try:
                await self._confirm()
            except KvError:
                await self._clock.sleep(RETRY_DELAY_SECONDS)
                self._has_unconfirmed_revision.set()
            except FencedError:
                continue
