"""Recovers the tokens and bills of incarnations that have lost their lease."""

from random import Random

import msgspec

from quinceferry_core.adapters import KvEntry, KvStore, PeerClient, UpstreamClient
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvError
from quinceferry_core.journals import JournalState
from quinceferry_core.membership import (
    INCARNATION_PREFIX,
    AbsenceProof,
    IncarnationRecord,
    absence_proof,
)
from quinceferry_core.models import IncarnationId
from quinceferry_core.routing import rendezvous_order
from quinceferryd.accounts import AccountController
from quinceferryd.blackboard import Blackboard, RouterState
from quinceferryd.controllers import TaskGroupController
from quinceferryd.copy_store import CopyStore
from quinceferryd.recovered_budgets import BudgetRecoverer
from quinceferryd.recovery_cases import RecoveryCase, RecoveryCounters
from quinceferryd.recovery_evidence import EvidenceCollector
from quinceferryd.settings import RecoverySettings
from quinceferryd.vms import VmListController

MAX_FLEET_CHECKS_PER_SECOND = 10.0
"""Check rate of all routers together. A check reads all incarnation records; in a larger fleet each
router checks less often, so that its read rate does not grow with the fleet."""


class RecoveryController(TaskGroupController):
    """Closes incarnations without a lease and frees the tokens that they provably did not spend.

    A closed journal proves that its owner sends only recorded attempts, except for attempts paid
    from outage tokens. The outage tokens and the attempts of unknown use stay allotted until the
    owner settles them itself or its process has provably terminated; in the latter case they are
    withheld from the workspace.
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
        self._vms = vms
        self._copies = copies
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._evidence = EvidenceCollector(
            blackboard, kv, upstreams, peers, copies, rng, self.counters
        )
        self._budgets = BudgetRecoverer(kv, self.counters)
        self._cases_by_incarnation: dict[IncarnationId, RecoveryCase] = {}

    async def start(self) -> None:
        """Start checking for incarnations without a lease."""
        self.spawn(self._check_forever(), "recovery")

    async def check(self) -> None:
        """Check all incarnations once.

        :raises KvError: a call to the key-value service failed.
        """
        owners = self._copies.owners()
        entries = await self._kv.list(INCARNATION_PREFIX)
        records = [msgspec.json.decode(entry.value, type=IncarnationRecord) for entry in entries]
        recorded_incarnations = {record.incarnation for record in records}
        for incarnation in self._cases_by_incarnation.keys() - recorded_incarnations:
            del self._cases_by_incarnation[incarnation]
        for owner in owners - recorded_incarnations:
            self._accounts.append_bills(self._copies.remove_owner(owner))
        for entry, record in zip(entries, records, strict=True):
            other_records = tuple(other for other in records if other is not record)
            await self._check_one(entry, record, other_records)

    async def _check_forever(self) -> None:
        """Check periodically while this router serves and the key-value service is available."""
        while True:
            await self._clock.sleep(self._check_interval() * self._rng.uniform(0.8, 1.2))
            if self._blackboard.state is not RouterState.SERVING:
                continue
            if not self._blackboard.kv.available:
                # Leases lapse during an outage, so the absence times start again after it.
                self._cases_by_incarnation.clear()
                continue
            try:
                await self.check()
            except KvError:
                continue

    def _check_interval(self) -> float:
        """Return the mean time between two checks, which grows with the fleet."""
        members = len(self._blackboard.members_by_incarnation)
        return max(self._settings.check_interval_seconds, members / MAX_FLEET_CHECKS_PER_SECOND)

    async def _check_one(
        self,
        entry: KvEntry,
        record: IncarnationRecord,
        other_records: tuple[IncarnationRecord, ...],
    ) -> None:
        """Recover one incarnation if it has been without a lease for long enough."""
        incarnation = record.incarnation
        if incarnation in self._blackboard.members_by_incarnation:
            self._cases_by_incarnation.pop(incarnation, None)
            return
        now = self._clock.monotonic()
        case = self._cases_by_incarnation.setdefault(incarnation, RecoveryCase(now))
        is_vm_terminated = self._vms.is_terminated(record)
        account = self._accounts.current
        if now - case.absent_since < self._required_absence_seconds(incarnation) or account is None:
            return
        if not record.closed_by:
            await self._evidence.close_record(entry, record)
            return
        journal = await self._evidence.close_journal(incarnation)
        if case.closed_at is None:
            case.closed_at = now
        await self._evidence.collect_copies(case, record, other_records)
        case.apply_copies(journal, incarnation, account)
        proof = absence_proof(record, other_records, is_vm_terminated)
        if proof is not None or not await self._evidence.is_process_reachable(record):
            await self._evidence.settle_requests(case, journal, incarnation, account)
        await self._free_tokens(case, journal, entry, record, proof)

    async def _free_tokens(
        self,
        case: RecoveryCase,
        journal: JournalState,
        entry: KvEntry,
        record: IncarnationRecord,
        proof: AbsenceProof | None,
    ) -> None:
        """Close the allotments, or retire them when no more of the spending can become known."""
        allotment_entries = await self._budgets.budgets_held_by(record.incarnation)
        if proof is None or not self._can_retire(case, journal, record, proof):
            for budget in allotment_entries:
                await self._budgets.close(case, journal, record, budget)
            return
        for budget in allotment_entries:
            await self._budgets.retire(case, journal, record, budget)
        await self._kv.delete_if(entry.key, entry.version)
        self._vms.remove_observations(record)
        self.counters.retired += 1

    def _required_absence_seconds(self, incarnation: IncarnationId) -> float:
        """Return how long an incarnation must be absent before this router recovers it, in seconds.

        The time grows with this router's rank for the incarnation, so that routers act in turn.
        """
        members = sorted(self._blackboard.members_by_incarnation)
        own_incarnation = self._blackboard.identity.incarnation
        order = rendezvous_order(incarnation, members)
        rank = order.index(own_incarnation) if own_incarnation in order else len(order)
        return self._settings.absence_seconds + rank * self._settings.turn_seconds

    def _can_retire(
        self,
        case: RecoveryCase,
        journal: JournalState,
        record: IncarnationRecord,
        proof: AbsenceProof,
    ) -> bool:
        """Return whether no further information on the spending is expected.

        A process that has rejoined may still settle its exact spending, and an upstream or a holder
        of copies that did not answer may answer later. Recovered bills must be durable first.
        """
        if any(not committed.done() for committed in case.commits):
            return False
        is_fully_accounted = case.is_fully_settled(journal) and case.has_all_copies(record)
        if proof is AbsenceProof.VM_GONE and is_fully_accounted:
            return True
        now = self._clock.monotonic()
        closed_at = case.closed_at if case.closed_at is not None else now
        return now - closed_at >= self._settings.wind_up_seconds
