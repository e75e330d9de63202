"""Recovers the tokens and bills of incarnations that are gone."""

from dataclasses import dataclass, replace
from random import Random

import msgspec

from quinceferry_core.adapters import (
    ABSENT_VERSION,
    KvEntry,
    KvStore,
    PeerClient,
    UpstreamClient,
)
from quinceferry_core.budgets import BUDGET_PREFIX, BudgetRecord, close, retire
from quinceferry_core.clocks import Clock
from quinceferry_core.copies import CollectReply, CollectRequest
from quinceferry_core.exceptions import (
    KvConflictError,
    KvError,
    PeerUnavailableError,
    UpstreamError,
)
from quinceferry_core.journals import Begin, JournalState, Settle, Slot, slot_key
from quinceferry_core.membership import (
    INCARNATION_PREFIX,
    AbsenceProof,
    IncarnationRecord,
    absence_proof,
)
from quinceferry_core.models import IncarnationId
from quinceferry_core.routing import rendezvous_order
from quinceferryd.accounts import Account, AccountController
from quinceferryd.blackboard import Blackboard, RouterState
from quinceferryd.controllers import TaskGroupController
from quinceferryd.copy_store import CopyStore
from quinceferryd.recovery_cases import RecoveryCase
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
        peers: PeerClient,
        copies: CopyStore,
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
        self._peers = peers
        self._copies = copies
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._cases_by_incarnation: dict[IncarnationId, RecoveryCase] = {}

    async def start(self) -> None:
        """Start looking for incarnations that are gone."""
        self.spawn(self._run(), "recovery")

    async def check(self) -> None:
        """Look at all incarnations once.

        :raises KvError: the key-value service did not answer.
        """
        owners = self._copies.owners()
        entries = await self._kv.list(INCARNATION_PREFIX)
        records = [msgspec.json.decode(entry.value, type=IncarnationRecord) for entry in entries]
        present = {record.incarnation for record in records}
        for incarnation in self._cases_by_incarnation.keys() - present:
            del self._cases_by_incarnation[incarnation]
        for owner in owners - present:
            self._copies.forget(owner)
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
        case = self._cases_by_incarnation.setdefault(incarnation, RecoveryCase(now))
        vm_gone = self._vms.is_gone(record)
        account = self._accounts.current
        if now - case.absent_since < self._patience(incarnation) or account is None:
            return
        if not record.closed_by:
            await self._close_record(entry, record)
            return
        journal = await self._close_journal(incarnation)
        if case.closed_at is None:
            case.closed_at = now
        await self._collect_copies(case, record)
        case.complete(journal, incarnation, account)
        await self._settle_requests(case, journal, incarnation, account)
        proof = absence_proof(record, others, vm_gone)
        await self._free_tokens(case, journal, entry, record, proof)

    async def _free_tokens(
        self,
        case: RecoveryCase,
        journal: JournalState,
        entry: KvEntry,
        record: IncarnationRecord,
        proof: AbsenceProof | None,
    ) -> None:
        """Close the allotments, or retire them once nobody can tell more."""
        held = await self._held_budgets(record.incarnation)
        if proof is None or not self._may_retire(case, journal, record, proof):
            for budget in held:
                await self._close_allotment(case, journal, record, budget)
            return
        for budget in held:
            await self._retire(case, journal, record, budget)
        await self._kv.delete_if(entry.key, entry.version)
        self._vms.forget(record)
        self.counters.retired += 1

    def _patience(self, incarnation: IncarnationId) -> float:
        """Return how long an incarnation must be absent, in seconds; routers act in turn."""
        members = sorted(self._blackboard.members_by_incarnation)
        own = self._blackboard.identity.incarnation
        order = rendezvous_order(incarnation, members)
        rank = order.index(own) if own in order else len(order)
        return self._settings.absence_seconds + rank * self._settings.turn_seconds

    def _may_retire(
        self,
        case: RecoveryCase,
        journal: JournalState,
        record: IncarnationRecord,
        proof: AbsenceProof,
    ) -> bool:
        """Tell whether nobody is expected to account for more of the spending.

        A process that has joined again may still know exactly what it spent, and an upstream or a
        holder of copies that failed to answer may do so later. Recovered bills must be durable.
        """
        if any(not committed.done() for committed in case.commits):
            return False
        is_known = case.is_settled(journal) and case.knows_all(record)
        if proof is AbsenceProof.VM_GONE and is_known:
            return True
        now = self._clock.monotonic()
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

    async def _collect_copies(self, case: RecoveryCase, record: IncarnationRecord) -> None:
        """Ask the registered holders for copies of entries that did not become durable."""
        own = self._blackboard.identity.incarnation
        for holder in record.copy_holders:
            if holder in case.answered:
                continue
            if holder == own:
                reply = self._copies.collect(CollectRequest(holder, record.incarnation))
            else:
                reply = await self._ask_holder(holder, record.incarnation)
            if reply.is_holder:
                case.add_copies(holder, reply.copies)

    async def _ask_holder(self, holder: IncarnationId, owner: IncarnationId) -> CollectReply:
        """Ask another router for its copies; one that is gone cannot answer for them."""
        member = self._blackboard.members_by_incarnation.get(holder)
        if member is None:
            return CollectReply(False)
        try:
            return await self._peers.collect(member.address, CollectRequest(holder, owner))
        except PeerUnavailableError:
            return CollectReply(False)

    async def _settle_requests(
        self,
        case: RecoveryCase,
        journal: JournalState,
        incarnation: IncarnationId,
        account: Account,
    ) -> None:
        """Bill the requests in progress whose upstreams can tell what they used.

        Each recorded attempt was sent at most once, so a use that the upstream tells is final.
        """
        for key, begins in journal.begins_by_request.items():
            if key in case.settled_by_request:
                continue
            uses = [await self._stop_attempt(incarnation, begin) for begin in begins]
            known = [tokens for tokens in uses if tokens is not None]
            if len(known) < len(uses):
                continue
            entry = Settle(
                key.workspace,
                key.request,
                known[-1],
                run=any(known),
                origin=incarnation,
                partial=True,
                lost=sum(known[:-1]),
            )
            case.settle(key, entry, account)
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
        case: RecoveryCase,
        journal: JournalState,
        incarnation: IncarnationRecord,
        entry: KvEntry,
    ) -> None:
        """Free what is proven unspent, or leave it to the next check after a conflict."""
        record = _decode(entry)
        workspace = record.workspace
        held = record.allotments_by_incarnation[incarnation.incarnation]
        unknown = case.unknown(journal, incarnation, workspace, held)
        kept = case.spent(journal, workspace) + unknown
        changed = close(record, incarnation.incarnation, kept)
        if changed == record:
            return
        try:
            await self._kv.put_if(entry.key, msgspec.json.encode(changed), entry.version)
        except KvConflictError:
            return
        self.counters.tokens_freed += changed.free - record.free

    async def _retire(
        self,
        case: RecoveryCase,
        journal: JournalState,
        incarnation: IncarnationRecord,
        entry: KvEntry,
    ) -> None:
        """Replace an allotment by what was spent and what may have been spent of it.

        :raises KvConflictError: the record changed meanwhile; the next check tries again.
        """
        record = _decode(entry)
        workspace = record.workspace
        held = record.allotments_by_incarnation[incarnation.incarnation]
        unknown = case.unknown(journal, incarnation, workspace, held)
        spent = case.spent(journal, workspace)
        changed = retire(record, incarnation.incarnation, spent, unknown)
        await self._kv.put_if(entry.key, msgspec.json.encode(changed), entry.version)
        self.counters.tokens_freed += changed.free - record.free
        self.counters.tokens_withheld += changed.withheld - record.withheld


def _holds(entry: KvEntry, incarnation: IncarnationId) -> bool:
    """Tell whether an incarnation has an allotment in a budget record."""
    return incarnation in _decode(entry).allotments_by_incarnation


def _decode(entry: KvEntry) -> BudgetRecord:
    """Decode a budget record."""
    return msgspec.json.decode(entry.value, type=BudgetRecord)
