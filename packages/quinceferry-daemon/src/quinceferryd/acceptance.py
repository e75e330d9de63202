"""Accepts a proposed revision when every router that may serve has applied it."""

import random
from collections.abc import Callable
from dataclasses import replace

import msgspec

from quinceferry_core.adapters import KvStore
from quinceferry_core.clocks import Clock
from quinceferry_core.configuration import AwaitedReason, AwaitedRouter, ConfigurationState
from quinceferry_core.exceptions import KvConflictError, KvError
from quinceferry_core.membership import (
    INCARNATION_PREFIX,
    IncarnationRecord,
    MemberState,
    absence_proof,
    incarnation_key,
)
from quinceferryd.blackboard import Blackboard
from quinceferryd.configuration_log import (
    SNAPSHOT_INTERVAL_REVISIONS,
    ConfigurationLog,
    LogState,
)
from quinceferryd.controllers import TaskGroupController
from quinceferryd.vms import VmListController

ACCEPT_INTERVAL_SECONDS = 0.5
"""Mean time between two attempts to accept proposed revisions."""
MAX_ACCEPT_INTERVAL_SECONDS = 5.0
"""Maximum of that time; it grows while an awaited router does not answer."""


class AcceptanceController(TaskGroupController):
    """Writes ``blackboard.accepted_revision`` and, as the elected router, accepts revisions.

    A revision is accepted when all routers that may serve have confirmed it in their incarnation
    records. When it joins, a router writes its record before it reads the log. A router whose
    record is missing from a list of records will therefore read every revision that was proposed
    before the list was read.

    :param blackboard: shared state.
    :param kv: the key-value service.
    :param clock: source of time.
    :param rng: source of randomness.
    :param log: the configuration log.
    :param vms: determines which VMs have terminated.
    :param newest_state: returns the newest configuration state that this router has applied.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        kv: KvStore,
        clock: Clock,
        rng: random.Random,
        log: ConfigurationLog,
        vms: VmListController,
        newest_state: Callable[[], ConfigurationState],
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._kv = kv
        self._clock = clock
        self._rng = rng
        self._log = log
        self._vms = vms
        self._newest_state = newest_state
        self._snapshot_revision = 0
        self.snapshots_written = 0

    async def start(self) -> None:
        """Start the task that accepts revisions while this router is the acceptor."""
        self.spawn(self._accept_forever(), "configuration-accept")

    def update_accepted(self, log_state: LogState) -> None:
        """Update the accepted and the snapshot revision, neither of which ever decreases."""
        accepted = max(self._blackboard.accepted_revision, log_state.accepted)
        self._blackboard.accepted_revision = accepted
        self._snapshot_revision = max(self._snapshot_revision, log_state.snapshot.revision)

    def is_acceptor(self) -> bool:
        """Return whether this router is the one that marks revisions as accepted.

        It is the serving member with the lowest fencing number. Two routers may act as acceptors
        at the same time, which is safe because the accepted revision only increases.
        """
        members = self._blackboard.members_by_incarnation.values()
        fencings = [m.fencing for m in members if m.state is MemberState.SERVING]
        return bool(fencings) and min(fencings) == self._blackboard.identity.fencing

    async def accept_confirmed(self) -> None:
        """Accept the newest revision that all routers that may serve have confirmed.

        Also record the VM list's evidence for routers that terminated before they recorded it.
        """
        proposed = self._blackboard.configuration.revision
        records = await self._read_records()
        confirmed_revisions = [
            r.applied_revision for r in records if not self._is_absent(r, records)
        ]
        self.update_accepted(await self._log.mark_accepted(min([proposed, *confirmed_revisions])))
        for record in records:
            if record.applied_revision < proposed and self._should_record_vm_listed(record):
                await self._record_vm_listed(record)

    async def awaited_routers(self, revision: int) -> tuple[AwaitedRouter, ...]:
        """Return the routers that may still serve with a revision older than the given one."""
        records = await self._read_records()
        return tuple(
            AwaitedRouter(
                record.incarnation, record.vm, self._awaited_reason(record), record.applied_revision
            )
            for record in records
            if record.applied_revision < revision and not self._is_absent(record, records)
        )

    async def _accept_forever(self) -> None:
        interval = ACCEPT_INTERVAL_SECONDS
        while True:
            await self._clock.sleep(interval * self._rng.uniform(0.8, 1.2))
            before = self._blackboard.accepted_revision
            try:
                await self._accept()
            except KvError:
                continue
            has_advanced = self._blackboard.accepted_revision > before
            longer_interval = min(interval * 1.5, MAX_ACCEPT_INTERVAL_SECONDS)
            interval = (
                longer_interval
                if self._is_pending() and not has_advanced
                else ACCEPT_INTERVAL_SECONDS
            )

    async def _accept(self) -> None:
        if not self.is_acceptor():
            return
        if self._is_pending():
            await self.accept_confirmed()
        accepted = self._blackboard.accepted_revision
        if accepted - self._snapshot_revision >= SNAPSHOT_INTERVAL_REVISIONS:
            self.snapshots_written += await self._log.compact(self._newest_state())
            self.update_accepted(await self._log.read_log_state())

    def _is_pending(self) -> bool:
        return self._blackboard.accepted_revision < self._newest_state().revision

    def _should_record_vm_listed(self, record: IncarnationRecord) -> bool:
        """Return whether the VM list has the VM of a lapsed router that did not record that."""
        is_live = record.incarnation in self._blackboard.members_by_incarnation
        return not is_live and not record.vm_listed and record.vm in self._blackboard.vms_by_id

    async def _record_vm_listed(self, record: IncarnationRecord) -> None:
        """Set ``vm_listed`` in another router's incarnation record."""
        key = incarnation_key(record.incarnation)
        stored = await self._kv.get(key)
        if stored is None:
            return
        current = msgspec.json.decode(stored.value, type=IncarnationRecord)
        current = replace(current, vm_listed=True)
        try:
            await self._kv.put_if(key, msgspec.json.encode(current), stored.version)
        except KvConflictError:
            return

    async def _read_records(self) -> tuple[IncarnationRecord, ...]:
        entries = await self._kv.list(INCARNATION_PREFIX)
        return tuple(msgspec.json.decode(e.value, type=IncarnationRecord) for e in entries)

    def _is_absent(self, record: IncarnationRecord, records: tuple[IncarnationRecord, ...]) -> bool:
        return absence_proof(record, records, self._vms.is_terminated(record)) is not None

    def _awaited_reason(self, record: IncarnationRecord) -> AwaitedReason:
        if record.closed_by:
            return AwaitedReason.CLOSED_NOT_PROVEN_GONE
        if record.incarnation not in self._blackboard.members_by_incarnation:
            return AwaitedReason.LEASE_LAPSED
        return AwaitedReason.NOT_CONFIRMED
