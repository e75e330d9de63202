"""Tokens set aside for requests of this gateway, at whichever holder has them."""

import asyncio
import math
from collections import defaultdict
from dataclasses import dataclass

from quinceferry_core.clocks import Clock
from quinceferry_gateway.blackboard import Blackboard, Member
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.holder import TokenHolder
from quinceferry_gateway.holding import holder_vms
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
MAX_ASKED = 12
"""Most holders asked for one request, as many as hold tokens; each costs a round trip of about a
millisecond, and the largest requests need the tokens of all when few are left."""
AVOIDED_SECONDS = 1.5
"""How long a holder that did not answer is asked last; all know of its silence some seconds
later."""
AVAILABLE_SECONDS = 1.0
"""How long a holder's answer tells what it has left; holders draw about once a second."""
SETTLE_SECONDS = 0.25
"""How long settlements are collected before they are sent."""
MAX_SETTLED = 16
"""Settlements in one datagram, each of some 70 bytes."""
SETTLE_TIMEOUT_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class Part:
    """Tokens that the holder on a vm has set aside, under an identifier of their own."""

    holder: str
    reservation: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Reservation:
    """Tokens set aside for a request, by one holder or several."""

    workspace: str
    parts: tuple[Part, ...]


@dataclass(slots=True, frozen=True)
class Shortage:
    """The holders together did not set enough tokens aside.

    ``exhausted`` tells that the workspace as a whole has too few left; ``asked`` lists the holders
    with what came of each, for the log.
    """

    exhausted: bool
    asked: tuple[str, ...]


class _Search:
    """A reservation in the making.

    ``drawers`` are the holders asked that could draw now.

    :param id: identifier of its parts.
    """

    __slots__ = (
        "_least_left",
        "_parts",
        "asked",
        "drawers",
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
        self.asked: list[str] = []
        self.drawers: list[str] = []
        self._parts: list[Part] = []
        self._least_left: int | None = None

    @property
    def exhausted(self) -> bool:
        """Tell whether some holder knows that the workspace has fewer tokens left."""
        return self._least_left is not None and self._least_left < self.tokens

    def take(self, holder: str, reservation_id: str, reply: ReserveReply) -> None:
        """Note what a holder answered."""
        left = reply.left_at_most
        self.asked.append(
            f"{holder}: {reply.reserved} of {self.missing}, left at most {reply.left_at_most}"
        )
        self._least_left = left if self._least_left is None else min(self._least_left, left)
        if reply.draws:
            self.drawers.append(holder)
        if reply.reserved:
            self._parts.append(Part(holder, reservation_id, reply.reserved))
            self.missing -= reply.reserved

    def found(self) -> Reservation:
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
        self._unsent_by_holder: dict[str, list[Settlement]] = defaultdict(list)
        self._sending_soon = False

    async def reserve(self, request_id: str, workspace: str, tokens: int) -> Reservation | Shortage:
        """Set tokens aside: here if possible, else also at others, else newly drawn ones."""
        search = _Search(f"{self._blackboard.own.incarnation}/{request_id}", workspace, tokens)
        holders = self._holders(workspace)
        for vm in holders:
            await self._try(search, vm, ReserveRequest(search.id, workspace, search.missing))
            if not search.missing:
                return search.found()
        if not search.exhausted and search.drawers:
            # Also a draw that brought too little may show that the workspace is used up.
            drawn = ReserveRequest(f"{search.id}/drawn", workspace, search.missing, draws=True)
            await self._try(search, search.drawers[0], drawn)
            if not search.missing:
                return search.found()
        self.settle(search.found(), 0)
        return Shortage(search.exhausted, tuple(search.asked))

    async def _try(self, search: "_Search", vm: str, request: ReserveRequest) -> None:
        """Ask one holder for what is missing, and note what came of it."""
        try:
            reply = await self._ask(vm, request)
        except PeerError as error:
            search.asked.append(f"{vm}: {error}")
            self._failed_at_by_vm[vm] = self._clock.monotonic()
            if error.sent:
                self._later(vm, Settlement(request.reservation, search.workspace, 0))
            return
        self._failed_at_by_vm.pop(vm, None)
        now = self._clock.monotonic()
        self._available_by_holder[vm, search.workspace] = (reply.available, now)
        search.take(vm, request.reservation, reply)

    def settle(self, reservation: Reservation, tokens: int) -> None:
        """Tell the holders what a request really used."""
        for part in reservation.parts:
            used = min(tokens, part.tokens)
            tokens -= used
            settlement = Settlement(part.reservation, reservation.workspace, used)
            if part.holder == self._blackboard.own.vm:
                self._holder.settle(settlement)
            else:
                self._later(part.holder, settlement)

    async def flush(self) -> None:
        """Send all settlements that wait."""
        await asyncio.gather(*(self._send_all(holder) for holder in list(self._unsent_by_holder)))

    def _holders(self, workspace: str) -> list[str]:
        """Return the vms to ask: this one if it holds, then those with most, failed ones last."""
        board, now = self._blackboard, self._clock.monotonic()
        holders = holder_vms(board, self._settings)
        others = [vm for vm in rank_candidates(workspace, holders) if vm != board.own.vm]
        others.sort(key=lambda vm: self._expected(vm, workspace, now), reverse=True)
        own = [board.own.vm] if board.own.vm in holders else []
        return [*own, *others][:MAX_ASKED]

    def _expected(self, vm: str, workspace: str, now: float) -> float:
        """Return the tokens that a holder likely has, infinite if that is not known."""
        if now - self._failed_at_by_vm.get(vm, -math.inf) < AVOIDED_SECONDS:
            return -1.0
        available, at = self._available_by_holder.get((vm, workspace), (0, -math.inf))
        return available if now - at < AVAILABLE_SECONDS else math.inf

    async def _ask(self, vm: str, request: ReserveRequest) -> ReserveReply:
        """Ask one holder."""
        board = self._blackboard
        if vm == board.own.vm:
            return await self._holder.serve(request)
        peer = board.members_by_vm.get(vm)
        if peer is None:
            raise PeerError("no longer a member", step="reserve", peer=vm, sent=False)
        return await self._peers.reserve(peer, request, RESERVE_TIMEOUT_SECONDS)

    def _later(self, holder: str, settlement: Settlement) -> None:
        """Send a settlement with the next batch."""
        self._unsent_by_holder[holder].append(settlement)
        self._send_soon()

    def _send_soon(self) -> None:
        """Send what waits after a while, together with what comes until then."""
        if not self._sending_soon:
            self._sending_soon = True
            self.spawn(self._send_later(), "settlements")

    async def _send_later(self) -> None:
        """Collect settlements for a while and send them."""
        await self._clock.sleep(SETTLE_SECONDS)
        self._sending_soon = False
        await self.flush()

    async def _send_all(self, holder: str) -> None:
        """Send all that waits for one holder; keep what it does not answer to."""
        peer: Member | None = self._blackboard.members_by_vm.get(holder)
        while batch := self._unsent_by_holder.pop(holder, []):
            if peer is None:
                # The holder is gone, and with it all that it held; nothing can be settled there.
                log.change("settlements.dropped", holder=holder, count=len(batch))
                return
            sent = batch[:MAX_SETTLED]
            try:
                await self._peers.settle(peer, SettleRequest(sent), SETTLE_TIMEOUT_SECONDS)
            except PeerError as error:
                self._unsent_by_holder[holder] = batch + self._unsent_by_holder.get(holder, [])
                log.failure("settlements.unsent", holder=holder, count=len(batch), error=str(error))
                self._send_soon()
                return
            if len(batch) > MAX_SETTLED:
                later = batch[MAX_SETTLED:] + self._unsent_by_holder.get(holder, [])
                self._unsent_by_holder[holder] = later
