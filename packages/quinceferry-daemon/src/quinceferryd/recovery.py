"""Recovers the tokens and bills of incarnations that are gone."""

import asyncio
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random

import msgspec

from quinceferry_core.adapters import ABSENT_VERSION, KvEntry, KvStore, UpstreamClient
from quinceferry_core.budgets import BUDGET_PREFIX, BudgetRecord, close, retire
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvConflictError, KvError, UpstreamError
from quinceferry_core.journals import Begin, JournalState, RequestKey, Settle, Slot, slot_key
from quinceferry_core.membership import (
    INCARNATION_PREFIX,
    AbsenceProof,
    IncarnationRecord,
    absence_proof,
)
from quinceferry_core.models import IncarnationId, WorkspaceId
from quinceferry_core.routing import rendezvous_order
from quinceferryd.accounts import AccountController
from quinceferryd.blackboard import Blackboard, RouterState
from quinceferryd.controllers import TaskGroupController
from quinceferryd.settings import RecoverySettings
from quinceferryd.verdicts import read_journal
from quinceferryd.vms import VmListController


@dataclass(slots=True)
class RecoveryCounters:
    """Counts since start, for metrics; tokens freed and withheld are those of all workspaces."""

    closed: int = 0
    retired: int = 0
    tokens_freed: int = 0
    tokens_withheld: int = 0
    requests_settled: int = 0


@dataclass(slots=True)
class _Case:
    """One incarnation under recovery; ``absent_since`` is in monotonic seconds."""

    absent_since: float
    closed_at: float | None = None
    settled_by_request: dict[RequestKey, Settle] = field(default_factory=dict)
    commits: list[asyncio.Future[None]] = field(default_factory=list)

    def spent(self, journal: JournalState, workspace: WorkspaceId) -> int:
        """Return the tokens known to be spent of one workspace's allotment."""
        recovered = sum(
            entry.used + entry.lost
            for key, entry in self.settled_by_request.items()
            if key.workspace == workspace and key in journal.begins_by_request
        )
        return journal.spent_by_workspace.get(workspace, 0) + recovered

    def unsettled(self, journal: JournalState, workspace: WorkspaceId) -> int:
        """Return the tokens reserved by attempts that nobody has accounted for."""
        return sum(
            begin.reserved
            for key, begins in journal.begins_by_request.items()
            if key.workspace == workspace and key not in self.settled_by_request
            for begin in begins
        )


class RecoveryController(TaskGroupController):
    """Closes incarnations without a lease, and frees what they provably did not spend.

    A closed journal proves that its owner sends nothing it has not recorded, but for the tokens
    meant for outages. Those and attempts of unknown use stay counted until the owner accounts for
    them itself, or its process is proven gone; then they are withheld from the workspace.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        kv: KvStore,
        accounts: AccountController,
        upstreams: UpstreamClient,
        vms: VmListController,
        clock: Clock,
        rng: Random,
        settings: RecoverySettings,
    ) -> None:
        super().__init__()
        self.counters = RecoveryCounters()
        self._blackboard = blackboard
        self._kv = kv
        self._accounts = accounts
        self._upstreams = upstreams
        self._vms = vms
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._cases_by_incarnation: dict[IncarnationId, _Case] = {}

    async def start(self) -> None:
        """Start looking for incarnations that are gone."""
        self.spawn(self._run(), "recovery")

    async def check(self) -> None:
        """Look at all incarnations once.

        :raises KvError: the key-value service did not answer.
        """
        entries = await self._kv.list(INCARNATION_PREFIX)
        records = [msgspec.json.decode(entry.value, type=IncarnationRecord) for entry in entries]
        present = {record.incarnation for record in records}
        for incarnation in list(self._cases_by_incarnation):
            if incarnation not in present:
                del self._cases_by_incarnation[incarnation]
        for entry, record in zip(entries, records, strict=True):
            others = tuple(other for other in records if other is not record)
            await self._check_one(entry, record, others)

    async def _run(self) -> None:
        """Look again and again, while this router serves and the service answers."""
        while True:
            interval = self._settings.check_interval_seconds
            await self._clock.sleep(interval * self._rng.uniform(0.8, 1.2))
            if self._blackboard.state is not RouterState.SERVING:
                continue
            if not self._blackboard.kv.available:
                # Leases lapse during an outage, so absence is counted anew after it.
                self._cases_by_incarnation.clear()
                continue
            try:
                await self.check()
            except KvError:
                continue

    async def _check_one(
        self, entry: KvEntry, record: IncarnationRecord, others: tuple[IncarnationRecord, ...]
    ) -> None:
        """Recover one incarnation if it has been absent for long enough."""
        incarnation = record.incarnation
        if incarnation in self._blackboard.members_by_incarnation:
            self._cases_by_incarnation.pop(incarnation, None)
            return
        now = self._clock.monotonic()
        case = self._cases_by_incarnation.setdefault(incarnation, _Case(now))
        vm_gone = self._vms.is_gone(record)
        if now - case.absent_since < self._patience(incarnation):
            return
        if not record.closed_by:
            await self._close_record(entry, record)
            return
        journal = await self._close_journal(incarnation)
        if case.closed_at is None:
            case.closed_at = now
        proof = absence_proof(record, others, vm_gone)
        await self._settle_requests(case, journal, incarnation)
        held = await self._held_budgets(incarnation)
        if proof is not None and self._may_retire(case, journal, proof, now):
            await self._retire(case, journal, incarnation, held)
            await self._kv.delete_if(entry.key, entry.version)
            self._vms.forget(record)
            self.counters.retired += 1
            return
        for budget in held:
            await self._close_allotment(case, journal, incarnation, budget)

    def _patience(self, incarnation: IncarnationId) -> float:
        """Return how long an incarnation must be absent, in seconds; routers act in turn."""
        members = sorted(self._blackboard.members_by_incarnation)
        own = self._blackboard.identity.incarnation
        order = rendezvous_order(incarnation, members)
        rank = order.index(own) if own in order else len(order)
        return self._settings.absence_seconds + rank * self._settings.turn_seconds

    def _may_retire(
        self, case: _Case, journal: JournalState, proof: AbsenceProof, now: float
    ) -> bool:
        """Tell whether nobody is expected to account for more of the spending.

        A process that has joined again may still know exactly what it spent, and an upstream that
        failed to answer may do so later. Recovered bills must be durable.
        """
        if any(not committed.done() for committed in case.commits):
            return False
        is_settled = journal.begins_by_request.keys() <= case.settled_by_request.keys()
        if proof is AbsenceProof.VM_GONE and is_settled:
            return True
        closed_at = case.closed_at if case.closed_at is not None else now
        return now - closed_at >= self._settings.wind_up_seconds

    async def _close_record(self, entry: KvEntry, record: IncarnationRecord) -> None:
        """Mark an incarnation as closed; the next check goes on from there."""
        closed = replace(record, closed_by=self._blackboard.identity.incarnation)
        try:
            await self._kv.put_if(entry.key, msgspec.json.encode(closed), entry.version)
        except KvConflictError:
            return
        self.counters.closed += 1

    async def _close_journal(self, incarnation: IncarnationId) -> JournalState:
        """Append the closing slot if it is missing, and return the whole journal."""
        while True:
            journal = await read_journal(self._kv, incarnation)
            if journal.closed_by:
                return journal
            closer = self._blackboard.identity.incarnation
            slot = Slot(f"close/{closer}/{self._rng.getrandbits(64):016x}", (), closer)
            key = slot_key(incarnation, journal.next_slot)
            try:
                await self._kv.put_if(key, msgspec.json.encode(slot), ABSENT_VERSION)
            except KvConflictError:
                continue

    async def _settle_requests(
        self, case: _Case, journal: JournalState, incarnation: IncarnationId
    ) -> None:
        """Bill the requests in progress whose upstreams can tell what they used.

        Each recorded attempt was sent at most once, so a use that the upstream tells is final.
        """
        for key, begins in journal.begins_by_request.items():
            if key in case.settled_by_request:
                continue
            uses = [await self._stop_attempt(incarnation, begin) for begin in begins]
            known = [tokens for tokens in uses if tokens is not None]
            account = self._accounts.current
            if len(known) < len(uses) or account is None:
                continue
            entry = Settle(
                key.workspace,
                key.request,
                known[-1],
                run=True,
                origin=incarnation,
                partial=True,
                lost=sum(known[:-1]),
            )
            case.settled_by_request[key] = entry
            committed = account.journal.append(entry)
            case.commits.append(committed)
            committed.add_done_callback(partial(_forget_uncommitted, case, key))
            self.counters.requests_settled += 1

    async def _stop_attempt(self, incarnation: IncarnationId, begin: Begin) -> int | None:
        """Stop one attempt at its upstream; return its use, or None if nobody can tell."""
        upstream = self._blackboard.configuration.upstreams_by_id.get(begin.upstream)
        if upstream is None:
            return None
        try:
            return await self._upstreams.cancel(
                upstream, begin.request, begin.workspace, incarnation
            )
        except UpstreamError:
            return None

    async def _held_budgets(self, incarnation: IncarnationId) -> list[KvEntry]:
        """Return the budget records in which an incarnation has an allotment."""
        entries = await self._kv.list(BUDGET_PREFIX)
        return [
            entry for entry in entries if incarnation in _decode(entry).allotments_by_incarnation
        ]

    async def _close_allotment(
        self,
        case: _Case,
        journal: JournalState,
        incarnation: IncarnationId,
        entry: KvEntry,
    ) -> None:
        """Free what the closed journal proves unspent, or leave it to the next check."""
        record = _decode(entry)
        held = record.allotments_by_incarnation[incarnation]
        kept = case.spent(journal, record.workspace) + case.unsettled(journal, record.workspace)
        changed = close(record, incarnation, kept + held.outage_tokens)
        if changed == record:
            return
        if await self._swap(entry, changed):
            self.counters.tokens_freed += changed.free - record.free

    async def _retire(
        self,
        case: _Case,
        journal: JournalState,
        incarnation: IncarnationId,
        held: list[KvEntry],
    ) -> None:
        """Replace the allotments of a process that is gone by what it spent and may have spent.

        :raises KvConflictError: a record changed meanwhile; the next check tries again.
        """
        for entry in held:
            record = _decode(entry)
            workspace = record.workspace
            allotment = record.allotments_by_incarnation[incarnation]
            withheld = case.unsettled(journal, workspace) + allotment.outage_tokens
            spent = case.spent(journal, workspace)
            changed = retire(record, incarnation, spent, withheld)
            await self._kv.put_if(entry.key, msgspec.json.encode(changed), entry.version)
            self.counters.tokens_freed += changed.free - record.free
            self.counters.tokens_withheld += changed.withheld - record.withheld

    async def _swap(self, entry: KvEntry, changed: BudgetRecord) -> bool:
        """Write a budget record unless it has changed; return whether it was written."""
        try:
            await self._kv.put_if(entry.key, msgspec.json.encode(changed), entry.version)
        except KvConflictError:
            return False
        return True


def _forget_uncommitted(case: _Case, key: RequestKey, committed: asyncio.Future[None]) -> None:
    """Have a recovered request settled again whose entry did not become durable."""
    if committed.cancelled() or committed.exception() is not None:
        case.settled_by_request.pop(key, None)


def _holds(entry: KvEntry, incarnation: IncarnationId) -> bool:
    """Tell whether an incarnation has an allotment in a budget record."""
    return incarnation in _decode(entry).allotments_by_incarnation


def _decode(entry: KvEntry) -> BudgetRecord:
    """Decode a budget record."""
    return msgspec.json.decode(entry.value, type=BudgetRecord)
