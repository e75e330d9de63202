"""Tokens set aside for requests of this gateway, at whichever holder has them."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass

from quinceferry_core.clocks import Clock
from quinceferry_gateway.blackboard import Blackboard, Member
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.holder import TokenHolder
from quinceferry_gateway.logs import log
from quinceferry_gateway.peers import (
    PeerClient,
    PeerError,
    ReserveReply,
    ReserveRequest,
    Settlement,
    SettleRequest,
)

RESERVE_TIMEOUT_SECONDS = 0.35
"""Longest wait for one holder: a lost packet takes 200 ms, and another holder may have tokens."""
MAX_ASKED = 12
"""Most holders asked for one request, as many as hold tokens; each costs a round trip of about a
millisecond, and the largest requests need the tokens of all when few are left."""
SETTLE_SECONDS = 0.25
"""How long settlements are collected before they are sent."""
SETTLE_TIMEOUT_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class Part:
    """Tokens that one holder has set aside, under an identifier of their own."""

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

    :param id: identifier of its parts.
    """

    __slots__ = ("_least_left", "_parts", "asked", "id", "missing", "tokens", "workspace")

    def __init__(self, id: str, workspace: str, tokens: int) -> None:
        self.id = id
        self.workspace = workspace
        self.tokens = tokens
        self.missing = tokens
        self.asked: list[str] = []
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
        if reply.reserved:
            self._parts.append(Part(holder, reservation_id, reply.reserved))
            self.missing -= reply.reserved

    def found(self) -> Reservation:
        """Return what was set aside so far."""
        return Reservation(self.workspace, tuple(self._parts))


class Reservations(Controller):
    """Reserves at the holders and settles afterwards.

    :param holder: the tokens that this gateway holds itself.
    """

    def __init__(
        self, blackboard: Blackboard, holder: TokenHolder, peers: PeerClient, clock: Clock
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._holder = holder
        self._peers = peers
        self._clock = clock
        self._unsent_by_holder: dict[str, list[Settlement]] = defaultdict(list)

    async def start(self) -> None:
        """Begin to send settlements."""
        self.spawn(self._send_forever(), "settlements")

    async def reserve(self, request_id: str, workspace: str, tokens: int) -> Reservation | Shortage:
        """Set tokens aside: here if possible, else also at others, else newly drawn ones."""
        search = _Search(f"{self._blackboard.own.incarnation}/{request_id}", workspace, tokens)
        for incarnation in self._holders(workspace):
            await self._try(search, incarnation, search.id)
            if not search.missing:
                return search.found()
        if not search.exhausted:
            # Also a draw that brought too little may show that the workspace is used up.
            await self._holder.draw_for(workspace, search.missing)
            await self._try(search, self._blackboard.own.incarnation, f"{search.id}/drawn")
            if not search.missing:
                return search.found()
        self.settle(search.found(), 0)
        return Shortage(search.exhausted, tuple(search.asked))

    async def _try(self, search: "_Search", incarnation: str, reservation_id: str) -> None:
        """Ask one holder for what is missing, and note what came of it."""
        request = ReserveRequest(reservation_id, search.workspace, search.missing)
        try:
            reply = await self._ask(incarnation, request)
        except PeerError as error:
            search.asked.append(f"{incarnation}: {error}")
            if error.sent:
                self._later(incarnation, Settlement(reservation_id, search.workspace, 0))
            return
        search.take(incarnation, reservation_id, reply)

    def settle(self, reservation: Reservation, tokens: int) -> None:
        """Tell the holders what a request really used."""
        for part in reservation.parts:
            used = min(tokens, part.tokens)
            tokens -= used
            settlement = Settlement(part.reservation, reservation.workspace, used)
            if part.holder == self._blackboard.own.incarnation:
                self._holder.settle(settlement)
            else:
                self._later(part.holder, settlement)

    async def flush(self) -> None:
        """Send all settlements that wait."""
        await asyncio.gather(*(self._send(holder) for holder in list(self._unsent_by_holder)))

    def _holders(self, workspace: str) -> list[str]:
        """Return the holders to ask: this gateway, then those that have most."""
        board = self._blackboard
        available_by_holder = {
            incarnation: available.get(workspace, 0)
            for incarnation, available in board.available_by_incarnation.items()
            if incarnation not in board.unreachable
        }
        others = sorted(
            (key for key, available in available_by_holder.items() if available > 0),
            key=lambda key: available_by_holder[key],
            reverse=True,
        )
        return [board.own.incarnation, *others[: MAX_ASKED - 1]]

    async def _ask(self, incarnation: str, request: ReserveRequest) -> ReserveReply:
        """Ask one holder."""
        board = self._blackboard
        if incarnation == board.own.incarnation:
            return self._holder.reserve(request.reservation, request.workspace, request.tokens)
        peer = board.members_by_incarnation.get(incarnation)
        if peer is None:
            raise PeerError("no longer a member", step="reserve", peer=incarnation, sent=False)
        reply = await self._peers.reserve(peer, request, RESERVE_TIMEOUT_SECONDS)
        available = board.available_by_incarnation.get(incarnation)
        if available is not None:
            available[request.workspace] = available.get(request.workspace, 0) - reply.reserved
        return reply

    def _later(self, holder: str, settlement: Settlement) -> None:
        """Send a settlement with the next batch."""
        self._unsent_by_holder[holder].append(settlement)

    async def _send_forever(self) -> None:
        """Send batches again and again."""
        while True:
            await self._clock.sleep(SETTLE_SECONDS)
            await self.flush()

    async def _send(self, holder: str) -> None:
        """Send one holder's batch; keep it when the holder does not answer."""
        batch = self._unsent_by_holder.pop(holder, [])
        peer: Member | None = self._blackboard.members_by_incarnation.get(holder)
        if not batch or peer is None:
            if batch:
                # The holder is gone, and with it all that it held; nothing can be settled there.
                log.change("settlements.dropped", holder=holder, count=len(batch))
            return
        try:
            await self._peers.settle(peer, SettleRequest(batch), SETTLE_TIMEOUT_SECONDS)
        except PeerError as error:
            self._unsent_by_holder[holder] = batch + self._unsent_by_holder.get(holder, [])
            log.failure("settlements.unsent", holder=holder, count=len(batch), error=str(error))
