"""Reserves tokens for the requests of this gateway at the holders that have them."""

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
"""Longest wait for one holder. A lost packet delays its answer by 200 ms; after that, another
holder may have tokens."""
MAX_HOLDERS_PER_REQUEST = 12
"""Maximum number of holders called for one request, enough for all holders. Each call takes a round
trip of about a millisecond, and the largest requests need the tokens of all holders when few are
left."""
FAILED_HOLDER_BACKOFF_SECONDS = 1.5
"""How long a holder that did not answer is tried last. Some seconds later all members know that it
is unreachable."""
AVAILABILITY_TTL_SECONDS = 1.0
"""How long the availability in a holder's answer is considered current; holders draw about once a
second."""
SETTLEMENT_DELAY_SECONDS = 0.25
"""How long settlements are collected before they are sent as a batch."""
MAX_SETTLEMENTS_PER_CALL = 16
"""Maximum number of settlements in one datagram; each has about 70 bytes."""
SETTLE_TIMEOUT_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class ReservationPart:
    """Tokens reserved at one holder under their own identifier; ``holder`` is its vm."""

    holder: str
    reservation: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Reservation:
    """Tokens reserved for a request at one or several holders."""

    workspace: str
    parts: tuple[ReservationPart, ...]


@dataclass(slots=True, frozen=True)
class Shortage:
    """The holders together could not reserve enough tokens.

    ``exhausted`` is True if the whole workspace has too few tokens left, ``is_too_large`` if the
    request needs more than its share of the last ones. ``holder_results`` lists the result of each
    holder for the log.
    """

    exhausted: bool
    is_too_large: bool
    holder_results: tuple[str, ...]


class _PendingReservation:
    """Reservation that is being collected from the holders.

    ``drawing_holders`` are the called holders that could draw tokens now.

    :param id: identifier of its parts.
    :param configuration_version: version that the calling gateway knows. A holder with an older one
        may not know the workspace, or its last top-up, and cannot tell that it is exhausted.
    """

    __slots__ = (
        "_configuration_version",
        "_min_remaining",
        "_parts",
        "holder_results",
        "drawing_holders",
        "id",
        "is_too_large",
        "missing",
        "tokens",
        "workspace",
    )

    def __init__(self, id: str, workspace: str, tokens: int, configuration_version: int) -> None:
        self._configuration_version = configuration_version
        self.id = id
        self.workspace = workspace
        self.tokens = tokens
        self.missing = tokens
        self.is_too_large = False
        self.holder_results: list[str] = []
        self.drawing_holders: list[str] = []
        self._parts: list[ReservationPart] = []
        self._min_remaining: float = math.inf

    @property
    def exhausted(self) -> bool:
        """Return whether some holder knows that the workspace has fewer tokens left."""
        return self._min_remaining < self.tokens

    def add_reply(self, holder: str, reservation_id: str, reply: ReserveReply) -> None:
        """Add the tokens that a holder reserved, and record its result."""
        self.holder_results.append(
            f"{holder}: {reply.reserved} of {self.missing}, left at most {reply.max_remaining} in "
            f"version {reply.configuration_version}"
        )
        if reply.configuration_version >= self._configuration_version:
            self._min_remaining = min(reply.max_remaining, self._min_remaining)
        self.is_too_large |= reply.is_too_large
        if reply.can_draw:
            self.drawing_holders.append(holder)
        if reply.reserved:
            self._parts.append(ReservationPart(holder, reservation_id, reply.reserved))
            self.missing -= reply.reserved

    def next_request(self, allow_draw: bool = False) -> ReserveRequest:
        """Return the message that asks the next holder for the missing tokens.

        A holder that is asked twice for one request gets another identifier with ``allow_draw``.
        """
        return ReserveRequest(
            f"{self.id}/drawn" if allow_draw else self.id,
            self.workspace,
            self.missing,
            allow_draw,
            self.tokens,
        )

    def reservation(self) -> Reservation:
        """Return the tokens reserved so far."""
        return Reservation(self.workspace, tuple(self._parts))


class Reservations(Controller):
    """Reserves tokens at holders and settles them afterwards.

    :param holder: the holder of this gateway.
    :param settings: how many gateways hold tokens.
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

    async def reserve(
        self, request_id: str, workspace: str, tokens: int, deadline_at: float = math.inf
    ) -> Reservation | Shortage:
        """Reserve tokens at this holder, then at other holders, then newly drawn ones.

        :param deadline_at: when to ask no further holder, on the monotonic clock in seconds.
        """
        board = self._blackboard
        pending = _PendingReservation(
            f"{board.own.incarnation}/{request_id}",
            workspace,
            tokens,
            board.configuration.version if board.configuration else 0,
        )
        try:
            await self._collect(pending, deadline_at)
        except asyncio.CancelledError:
            # The caller has left.
            self.settle(pending.reservation(), 0)
            raise
        if not pending.missing:
            return pending.reservation()
        self.settle(pending.reservation(), 0)
        return Shortage(pending.exhausted, pending.is_too_large, tuple(pending.holder_results))

    async def _collect(self, pending: "_PendingReservation", deadline_at: float) -> None:
        """Reserve tokens at one holder after another until none are missing."""
        for vm in self._holders_to_call(pending.workspace):
            if self._clock.monotonic() >= deadline_at:
                break
            await self._reserve_at(pending, vm, pending.next_request())
            if not pending.missing:
                return
        is_in_time = self._clock.monotonic() < deadline_at
        if is_in_time and not pending.exhausted and pending.drawing_holders:
            # The reply to an insufficient draw may still show that the workspace is exhausted.
            await self._reserve_at(
                pending, pending.drawing_holders[0], pending.next_request(allow_draw=True)
            )

    async def _reserve_at(
        self, pending: "_PendingReservation", vm: str, request: ReserveRequest
    ) -> None:
        """Reserve missing tokens at one holder and record the result."""
        try:
            reply = await self._send_reserve(vm, request)
        except PeerError as error:
            pending.holder_results.append(f"{vm}: {error}")
            self._failed_at_by_vm[vm] = self._clock.monotonic()
            if error.sent:
                self._release(vm, request)
            return
        except asyncio.CancelledError:
            self._release(vm, request)
            raise
        self._failed_at_by_vm.pop(vm, None)
        now = self._clock.monotonic()
        self._available_by_holder[vm, pending.workspace] = (reply.available, now)
        pending.add_reply(vm, request.reservation, reply)

    def _release(self, vm: str, request: ReserveRequest) -> None:
        """Release what a holder may have reserved, or may still reserve when the call arrives."""
        self._settle_at(vm, Settlement(request.reservation, request.workspace, 0))

    def settle(self, reservation: Reservation, tokens: int) -> None:
        """Settle a reservation at its holders with the tokens actually used."""
        for part in reservation.parts:
            used = min(tokens, part.tokens)
            tokens -= used
            self._settle_at(part.holder, Settlement(part.reservation, reservation.workspace, used))

    def _settle_at(self, vm: str, settlement: Settlement) -> None:
        """Settle a reservation at this holder at once, at another one with the next batch."""
        if vm == self._blackboard.own.vm:
            self._holder.settle(settlement)
        else:
            self._queue_settlement(vm, settlement)

    async def flush(self) -> None:
        """Send all queued settlements."""
        await asyncio.gather(
            *(self._send_settlements(holder) for holder in list(self._unsent_settlements_by_holder))
        )

    async def finish(self) -> None:
        """Send all queued settlements, and wait for those that are being sent."""
        await asyncio.gather(self.flush(), *self._tasks, return_exceptions=True)

    def _holders_to_call(self, workspace: str) -> list[str]:
        """Return the vms of the holders to call, in order.

        This gateway comes first if it is a holder, then those with most available tokens; holders
        that failed recently come last.
        """
        board, now = self._blackboard, self._clock.monotonic()
        holders = holder_vms(board, self._settings)
        others = [vm for vm in rank_candidates(workspace, holders) if vm != board.own.vm]
        others.sort(key=lambda vm: self._estimated_available(vm, workspace, now), reverse=True)
        own = [board.own.vm] if board.own.vm in holders else []
        return [*own, *others][:MAX_HOLDERS_PER_REQUEST]

    def _estimated_available(self, vm: str, workspace: str, now: float) -> float:
        """Return the estimated tokens of a holder, for ordering.

        The estimate is infinite if it is unknown, and negative if the holder failed recently.
        """
        if now - self._failed_at_by_vm.get(vm, -math.inf) < FAILED_HOLDER_BACKOFF_SECONDS:
            return -1.0
        available, answered_at = self._available_by_holder.get((vm, workspace), (0, -math.inf))
        return available if now - answered_at < AVAILABILITY_TTL_SECONDS else math.inf

    async def _send_reserve(self, vm: str, request: ReserveRequest) -> ReserveReply:
        """Send a reserve request to one holder.

        :raises PeerError: the holder is not a member any more or did not answer as expected.
        """
        board = self._blackboard
        if vm == board.own.vm:
            return await self._holder.reserve_for_request(request)
        peer = board.members_by_vm.get(vm)
        if peer is None:
            raise PeerError("no longer a member", step="reserve", peer=vm, sent=False)
        return await self._peers.reserve(peer, request, RESERVE_TIMEOUT_SECONDS)

    def _queue_settlement(self, holder: str, settlement: Settlement) -> None:
        """Queue a settlement for the next batch to its holder."""
        self._unsent_settlements_by_holder[holder].append(settlement)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        """Schedule a flush unless one is scheduled already."""
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self.spawn(self._flush_after_delay(), "settlements")

    async def _flush_after_delay(self) -> None:
        """Wait for further settlements, then send all of them."""
        await self._clock.sleep(SETTLEMENT_DELAY_SECONDS)
        self._is_flush_scheduled = False
        await self.flush()

    async def _send_settlements(self, holder: str) -> None:
        """Send the queued settlements of one holder; keep those that it does not acknowledge."""
        peer: Member | None = self._blackboard.members_by_vm.get(holder)
        while batch := self._unsent_settlements_by_holder.pop(holder, []):
            if peer is None:
                # The holder is no longer a member: its whole allotment counts as spent, and there
                # is nothing left to settle.
                log.change("settlements.dropped", holder=holder, count=len(batch))
                return
            settlements = batch[:MAX_SETTLEMENTS_PER_CALL]
            try:
                await self._peers.settle(peer, SettleRequest(settlements), SETTLE_TIMEOUT_SECONDS)
            except PeerError as error:
                self._unsent_settlements_by_holder[holder] = (
                    batch + self._unsent_settlements_by_holder.get(holder, [])
                )
                log.failure("settlements.unsent", holder=holder, count=len(batch), error=str(error))
                self._schedule_flush()
                return
            if len(batch) > MAX_SETTLEMENTS_PER_CALL:
                remaining_batch = batch[
                    MAX_SETTLEMENTS_PER_CALL:
                ] + self._unsent_settlements_by_holder.get(holder, [])
                self._unsent_settlements_by_holder[holder] = remaining_batch
