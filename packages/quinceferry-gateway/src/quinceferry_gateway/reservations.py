"""Tokens set aside for requests of this gateway, at whichever holder has them."""

import asyncio
import math
from collections import defaultdict
from dataclasses import dataclass

from quinceferry_core.clocks import Clock
from quinceferry_gateway.blackboard import Blackboard, Member
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.holder import TokenHolder
from quinceferry_gateway.holder_role import holder_vms
from quinceferry_gateway.logs import log
from quinceferry_gateway.peers import (
    PeerClient,
    PeerError,
    ReserveReply,
    ReserveRequest,
    Settlement,
    SettleRequest,
)
from quinceferry_gateway.rendezvous import rank_candidates
from quinceferry_gateway.settings import BudgetSettings

RESERVE_TIMEOUT_SECONDS = 0.35
"""Longest wait for one holder: a lost packet takes 200 ms, and another holder may have tokens."""
MAX_HOLDERS_PER_REQUEST = 12
"""Most holders asked for one request, as many as hold tokens; each costs a round trip of about a
millisecond, and the largest requests need the tokens of all when few are left."""
FAILED_HOLDER_BACKOFF_SECONDS = 1.5
"""How long a holder that did not answer is asked last; all know of its silence some seconds
later."""
AVAILABILITY_TTL_SECONDS = 1.0
"""How long a holder's answer tells what it has left; holders draw about once a second."""
SETTLEMENT_DELAY_SECONDS = 0.25
"""How long settlements are collected before they are sent."""
MAX_SETTLEMENTS_PER_CALL = 16
"""Settlements in one datagram, each of some 70 bytes."""
SETTLE_TIMEOUT_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class ReservationPart:
    """Tokens that the holder on a vm has set aside, under an identifier of their own."""

    holder: str
    reservation: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Reservation:
    """Tokens set aside for a request, by one holder or several."""

    workspace: str
    parts: tuple[ReservationPart, ...]


@dataclass(slots=True, frozen=True)
class Shortage:
    """The holders together did not set enough tokens aside.

    ``exhausted`` tells that the workspace as a whole has too few left; ``holder_results`` lists
    the holders with what came of each, for the log.
    """

    exhausted: bool
    holder_results: tuple[str, ...]


class _PendingReservation:
    """A reservation in the making.

    ``drawing_holders`` are the holders asked that could draw now.

    :param id: identifier of its parts.
    """

    __slots__ = (
        "_min_remaining",
        "_parts",
        "holder_results",
        "drawing_holders",
        "id",
        "missing",
        "tokens",
        "workspace",
    )

    def __init__(self, id: str, workspace: str, tokens: int) -> None:
        self.id = id
        self.workspace = workspace
        self.tokens = tokens
        self.missing = tokens
        self.holder_results: list[str] = []
        self.drawing_holders: list[str] = []
        self._parts: list[ReservationPart] = []
        self._min_remaining: int | None = None

    @property
    def exhausted(self) -> bool:
        """Tell whether some holder knows that the workspace has fewer tokens left."""
        return self._min_remaining is not None and self._min_remaining < self.tokens

    def add_reply(self, holder: str, reservation_id: str, reply: ReserveReply) -> None:
        """Note what a holder answered."""
        remaining = reply.max_remaining
        self.holder_results.append(
            f"{holder}: {reply.reserved} of {self.missing}, left at most {reply.max_remaining}"
        )
        self._min_remaining = (
            remaining if self._min_remaining is None else min(self._min_remaining, remaining)
        )
        if reply.can_draw:
            self.drawing_holders.append(holder)
        if reply.reserved:
            self._parts.append(ReservationPart(holder, reservation_id, reply.reserved))
            self.missing -= reply.reserved

    def reservation(self) -> Reservation:
        """Return what was set aside so far."""
        return Reservation(self.workspace, tuple(self._parts))


class Reservations(Controller):
    """Reserves at the holders and settles afterwards.

    :param holder: the tokens that this gateway holds itself.
    :param settings: who holds tokens.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        holder: TokenHolder,
        peers: PeerClient,
        clock: Clock,
        settings: BudgetSettings,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._failed_at_by_vm: dict[str, float] = {}
        self._available_by_holder: dict[tuple[str, str], tuple[int, float]] = {}
        self._blackboard = blackboard
        self._holder = holder
        self._peers = peers
        self._clock = clock
        self._unsent_settlements_by_holder: dict[str, list[Settlement]] = defaultdict(list)
        self._is_flush_scheduled = False

    async def reserve(self, request_id: str, workspace: str, tokens: int) -> Reservation | Shortage:
        """Set tokens aside: here if possible, else also at others, else newly drawn ones."""
        pending = _PendingReservation(
            f"{self._blackboard.own.incarnation}/{request_id}", workspace, tokens
        )
        holders = self._holders(workspace)
        for vm in holders:
            await self._reserve_at(
                pending, vm, ReserveRequest(pending.id, workspace, pending.missing)
            )
            if not pending.missing:
                return pending.reservation()
        if not pending.exhausted and pending.drawing_holders:
            # Also a draw that brought too little may show that the workspace is used up.
            drawn = ReserveRequest(
                f"{pending.id}/drawn", workspace, pending.missing, allow_draw=True
            )
            await self._reserve_at(pending, pending.drawing_holders[0], drawn)
            if not pending.missing:
                return pending.reservation()
        self.settle(pending.reservation(), 0)
        return Shortage(pending.exhausted, tuple(pending.holder_results))

    async def _reserve_at(
        self, pending: "_PendingReservation", vm: str, request: ReserveRequest
    ) -> None:
        """Ask one holder for what is missing, and note what came of it."""
        try:
            reply = await self._send_reserve(vm, request)
        except PeerError as error:
            pending.holder_results.append(f"{vm}: {error}")
            self._failed_at_by_vm[vm] = self._clock.monotonic()
            if error.sent:
                self._queue_settlement(vm, Settlement(request.reservation, pending.workspace, 0))
            return
        self._failed_at_by_vm.pop(vm, None)
        now = self._clock.monotonic()
        self._available_by_holder[vm, pending.workspace] = (reply.available, now)
        pending.add_reply(vm, request.reservation, reply)

    def settle(self, reservation: Reservation, tokens: int) -> None:
        """Tell the holders what a request really used."""
        for part in reservation.parts:
            used = min(tokens, part.tokens)
            tokens -= used
            settlement = Settlement(part.reservation, reservation.workspace, used)
            if part.holder == self._blackboard.own.vm:
                self._holder.settle(settlement)
            else:
                self._queue_settlement(part.holder, settlement)

    async def flush(self) -> None:
        """Send all settlements that wait."""
        await asyncio.gather(
            *(self._send_settlements(holder) for holder in list(self._unsent_settlements_by_holder))
        )

    def _holders(self, workspace: str) -> list[str]:
        """Return the vms to ask: this one if it holds, then those with most, failed ones last."""
        board, now = self._blackboard, self._clock.monotonic()
        holders = holder_vms(board, self._settings)
        others = [vm for vm in rank_candidates(workspace, holders) if vm != board.own.vm]
        others.sort(key=lambda vm: self._estimated_available(vm, workspace, now), reverse=True)
        own = [board.own.vm] if board.own.vm in holders else []
        return [*own, *others][:MAX_HOLDERS_PER_REQUEST]

    def _estimated_available(self, vm: str, workspace: str, now: float) -> float:
        """Return the tokens that a holder likely has, infinite if that is not known."""
        if now - self._failed_at_by_vm.get(vm, -math.inf) < FAILED_HOLDER_BACKOFF_SECONDS:
            return -1.0
        available, answered_at = self._available_by_holder.get((vm, workspace), (0, -math.inf))
        return available if now - answered_at < AVAILABILITY_TTL_SECONDS else math.inf

    async def _send_reserve(self, vm: str, request: ReserveRequest) -> ReserveReply:
        """Ask one holder."""
        board = self._blackboard
        if vm == board.own.vm:
            return await self._holder.reserve_for_request(request)
        peer = board.members_by_vm.get(vm)
        if peer is None:
            raise PeerError("no longer a member", step="reserve", peer=vm, sent=False)
        return await self._peers.reserve(peer, request, RESERVE_TIMEOUT_SECONDS)

    def _queue_settlement(self, holder: str, settlement: Settlement) -> None:
        """Send a settlement with the next batch."""
        self._unsent_settlements_by_holder[holder].append(settlement)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        """Send what waits after a while, together with what comes until then."""
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self.spawn(self._flush_after_delay(), "settlements")

    async def _flush_after_delay(self) -> None:
        """Collect settlements for a while and send them."""
        await self._clock.sleep(SETTLEMENT_DELAY_SECONDS)
        self._is_flush_scheduled = False
        await self.flush()

    async def _send_settlements(self, holder: str) -> None:
        """Send all that waits for one holder; keep what it does not answer to."""
        peer: Member | None = self._blackboard.members_by_vm.get(holder)
        while batch := self._unsent_settlements_by_holder.pop(holder, []):
            if peer is None:
                # The holder is gone, and with it all that it held; nothing can be settled there.
                log.change("settlements.dropped", holder=holder, count=len(batch))
                return
            sent_batch = batch[:MAX_SETTLEMENTS_PER_CALL]
            try:
                await self._peers.settle(peer, SettleRequest(sent_batch), SETTLE_TIMEOUT_SECONDS)
            except PeerError as error:
                self._unsent_settlements_by_holder[holder] = (
                    batch + self._unsent_settlements_by_holder.get(holder, [])
                )
                log.failure("settlements.unsent", holder=holder, count=len(batch), error=str(error))
                self._schedule_flush()
                return
            if len(batch) > MAX_SETTLEMENTS_PER_CALL:
                later = batch[MAX_SETTLEMENTS_PER_CALL:] + self._unsent_settlements_by_holder.get(
                    holder, []
                )
                self._unsent_settlements_by_holder[holder] = later
