"""Closes an incarnation and collects evidence of what it ran."""

from dataclasses import replace
from random import Random

import msgspec

from quinceferry_core.adapters import (
    ABSENT_VERSION,
    KvEntry,
    KvStore,
    PeerClient,
    UpstreamClient,
)
from quinceferry_core.copies import CollectReply, CollectRequest
from quinceferry_core.exceptions import (
    KvConflictError,
    PeerNotBegunError,
    PeerUnavailableError,
    UpstreamError,
)
from quinceferry_core.journals import Begin, JournalState, Settle, Slot, slot_key
from quinceferry_core.membership import IncarnationRecord, member_key
from quinceferry_core.models import IncarnationId, RequestId, WorkspaceId
from quinceferryd.accounts import Account
from quinceferryd.blackboard import Blackboard
from quinceferryd.copy_store import CopyStore
from quinceferryd.proofs import read_journal
from quinceferryd.recovery_cases import RecoveryCase, RecoveryCounters

_PROBE_WORKSPACE = WorkspaceId("")
_PROBE_REQUEST = RequestId("")


class EvidenceCollector:
    """Collects evidence from the journal, the holders of copies and the upstreams."""

    def __init__(
        self,
        blackboard: Blackboard,
        kv: KvStore,
        upstreams: UpstreamClient,
        peers: PeerClient,
        copies: CopyStore,
        rng: Random,
        counters: RecoveryCounters,
    ) -> None:
        self._blackboard = blackboard
        self._kv = kv
        self._upstreams = upstreams
        self._peers = peers
        self._copies = copies
        self._rng = rng
        self._counters = counters

    async def close_record(self, entry: KvEntry, record: IncarnationRecord) -> None:
        """Mark an incarnation as closed; the next check continues the recovery.

        The heartbeat record is read after the incarnation record. A router that acquires a new
        lease writes the two in the opposite order, so either its heartbeat is found here or its
        write makes the compare-and-swap fail.
        """
        if await self._kv.get(member_key(record.incarnation)) is not None:
            return
        closed = replace(record, closed_by=self._blackboard.identity.incarnation)
        try:
            await self._kv.put_if(entry.key, msgspec.json.encode(closed), entry.version)
        except KvConflictError:
            return
        self._counters.closed += 1

    async def close_journal(self, incarnation: IncarnationId) -> JournalState:
        """Append the closing slot if it is missing, and return the state of the whole journal."""
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

    async def collect_copies(
        self,
        case: RecoveryCase,
        record: IncarnationRecord,
        other_records: tuple[IncarnationRecord, ...],
    ) -> None:
        """Collect the copies of entries that did not become durable from the registered holders.

        A holder that was closed itself may have rejoined; its process still has the copies.

        :param other_records: records of other incarnations, which contain the holders' addresses.
        """
        address_by_incarnation = {other.incarnation: other.address for other in other_records}
        for holder in record.copy_holders:
            if holder in case.answered_holders:
                continue
            request = CollectRequest(holder, record.incarnation)
            reply = self._copies.collect(request)
            if not reply.is_holder:
                reply = await self._request_copies(address_by_incarnation.get(holder, ""), request)
            if reply.is_holder:
                case.add_copies(holder, reply.copies)

    async def _request_copies(self, address: str, request: CollectRequest) -> CollectReply:
        """Request the copies of the router at an address."""
        if not address:
            return CollectReply(False)
        try:
            return await self._peers.collect(address, request)
        except PeerUnavailableError:
            return CollectReply(False)

    async def settle_requests(
        self,
        case: RecoveryCase,
        journal: JournalState,
        incarnation: IncarnationId,
        account: Account,
    ) -> None:
        """Bill the unsettled requests whose upstreams report how many tokens they used.

        Each recorded attempt was sent at most once, so the use that an upstream reports is final.
        """
        for key, begins in journal.begins_by_request.items():
            if key in case.settled_by_request:
                continue
            uses = [await self._cancel_attempt(incarnation, begin) for begin in begins]
            known_uses = [tokens for tokens in uses if tokens is not None]
            if len(known_uses) < len(uses):
                continue
            entry = Settle(
                key.workspace,
                key.request,
                known_uses[-1],
                run=any(known_uses),
                origin=incarnation,
                partial=True,
                lost=sum(known_uses[:-1]),
            )
            case.settle(key, entry, account)
            self._counters.requests_settled += 1

    async def _cancel_attempt(self, incarnation: IncarnationId, begin: Begin) -> int | None:
        """Cancel an attempt at its upstream; return its used tokens, or None if unknown."""
        upstream = self._blackboard.configuration.upstreams_by_id.get(begin.upstream)
        if upstream is None:
            return None
        try:
            return await self._upstreams.cancel(
                upstream, begin.request, begin.workspace, incarnation, begin.attempt
            )
        except UpstreamError:
            return None

    async def is_process_reachable(self, record: IncarnationRecord) -> bool:
        """Return whether the process still answers, in which case callers may have open streams.

        It may only be partitioned from the key-value service. Its attempts are then not cancelled,
        and their reserved tokens remain counted.
        """
        try:
            await self._peers.ask_outcome(record.address, _PROBE_WORKSPACE, _PROBE_REQUEST)
        except PeerNotBegunError as error:
            return error.detail.startswith("status")
        except PeerUnavailableError:
            return False
        return True
