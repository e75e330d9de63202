"""Draws, reserves, settles and returns the tokens that this gateway holds for the fleet."""

import asyncio
import math
import random
from collections.abc import Callable

import msgspec

from quinceferry_core.adapters import KvStore
from quinceferry_core.clocks import Clock, MachineTime
from quinceferry_core.exceptions import KvConflictError, KvError
from quinceferry_gateway.allotment_targets import AllotmentTargets
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.budgets import (
    WRITE_INTERVAL_SECONDS,
    Account,
    HolderAllotment,
    HolderWrite,
    return_allotment,
)
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.decisions.last_tokens import LastTokens, WaitingRequest
from quinceferry_gateway.decisions.outages import OutageHistory
from quinceferry_gateway.decisions.spending_limits import LimitPeriod
from quinceferry_gateway.holder_accounts import HolderAccounts
from quinceferry_gateway.holder_role import HolderRole
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.peers import (
    InheritRequest,
    ReserveReply,
    ReserveRequest,
    Settlement,
)
from quinceferry_gateway.predecessors import Predecessors
from quinceferry_gateway.settings import BudgetSettings
from quinceferry_gateway.shared_budgets import SharedBudgets
from quinceferry_gateway.shared_draws import SharedDraw
from quinceferry_gateway.store_health import record_store_answer, record_store_failure
from quinceferry_gateway.write_offs import WriteOffs

DRAW_CHECK_SECONDS = 0.25
"""Interval at which a holder checks whether to write the budget record."""
DRAW_CHECK_JITTER_SHARE = 0.2
"""Width of the jitter of the check interval, as a share of it; it keeps holders from writing at the
same time."""
NON_HOLDER_CHECK_SECONDS = 0.5
"""Check interval of a gateway that is not a holder."""
MIN_WRITE_INTERVAL_SECONDS = 0.75
"""Minimum time between two regular writes; nine holders then make about ten writes per second."""
MAX_DRAW_WAIT_SECONDS = 0.25
"""Longest time that a request waits for a draw. The store normally answers within milliseconds, and
a refusal that takes longer than this uses up more than a third of the shortest answer time that
callers expect."""
MIN_REQUESTED_DRAW_INTERVAL_SECONDS = 0.1
"""Minimum time between a write and the next draw that requests start, so that many small requests
share one write."""
REREAD_INTERVAL_SECONDS = 2.0
"""Interval at which a holder without tokens rereads the record to find tokens that others
returned."""
MAX_WRITE_ATTEMPTS = 10
"""Conflicts in a row after which a write is left to the next check. Holders that start together all
draw at once, and one of them succeeds in each round."""
MAX_RECORD_AGE_SECONDS = 0.1
"""Maximum age of the record in memory for a write without rereading it. Other holders write in
between, so nearly every write based on an older record conflicts: 66 of 68 did."""
MAX_CONFLICT_BACKOFF_SECONDS = 0.01
"""Upper bound of the random delay before a conflicting write is retried, a few round trips."""
MAX_RETURN_ATTEMPTS = 3


class TokenHolder(Controller):
    """Holds token allotments of workspaces and reserves tokens for requests of all gateways.

    :param settings: how many gateways hold tokens, and how many tokens they hold.
    :param rng: adds jitter to the times of draws.
    :param machine_time: returns the time on the clocks of this machine.
    :param metrics: counts the tokens of predecessors.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        store: KvStore,
        clock: Clock,
        settings: BudgetSettings,
        rng: random.Random,
        machine_time: Callable[[], MachineTime],
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._clock = clock
        self._shared_budgets = SharedBudgets(store, clock)
        self._outages = OutageHistory()
        self._targets = AllotmentTargets(blackboard, self._shared_budgets, settings, self._outages)
        self._closed = False
        self._rng = rng
        self._role = HolderRole(blackboard, clock, settings, self._rng)
        self._draw_lock = asyncio.Lock()
        self._shared_draw = SharedDraw(
            lambda: self.spawn(self._draw_for_requests(), "draw for requests")
        )
        self._last_write_at = float("-inf")
        self._last_draw_seconds = 0.0
        self._write_offs = WriteOffs(blackboard, metrics)
        self._machine_time = machine_time
        self._limit_period = LimitPeriod(settings.limit_seconds)
        self._accounts = HolderAccounts(clock, machine_time, self._limit_period)
        self._predecessors = Predecessors(blackboard, metrics)

    async def start(self) -> None:
        """Start drawing; this gateway listens on its addresses already."""
        self._role.record_start()
        self._predecessors.record_start(self._machine_time())
        self.supervise(self._keep_allotments, "allotments")

    def available_by_workspace(self) -> dict[str, int]:
        """Return the tokens of each workspace that can be reserved at this holder now."""
        return {} if self._closed else self._accounts.available_by_workspace()

    def held_by_workspace(self) -> dict[str, int]:
        """Return the tokens of each workspace that this holder has drawn and not used."""
        return {} if self._closed else self._accounts.held_by_workspace()

    def tokens_by_workspace_and_state(self) -> dict[tuple[str, str], int]:
        """Return the tokens of each workspace: left at most, undrawn, and held here."""
        held_by_workspace = self.held_by_workspace()
        tokens = {}
        for name, drawable in self._targets.drawable_by_workspace().items():
            tokens[name, "left"] = self._targets.max_remaining(name)
            tokens[name, "undrawn"] = self._shared_budgets.budget(name).undrawn(drawable)
            tokens[name, "held"] = held_by_workspace.get(name, 0)
        return tokens

    def spent_by_workspace(self) -> dict[str, int]:
        """Return the tokens spent here by workspace, without those of running requests."""
        return self._accounts.spent_by_workspace()

    def reserve(self, reservation: str, workspace: str, tokens: int) -> ReserveReply:
        """Reserve tokens, or as many of them as are available."""
        if self._closed:
            return self._reply(workspace, 0, 0, can_draw=False)
        reserved = self._accounts.reserve(reservation, workspace, tokens)
        # Only a request that still lacks tokens needs to know whether this holder could draw.
        # Computing that for every request raises a reservation from 0.003 ms to 0.08 ms with 195
        # gateways and 40 workspaces.
        can_draw = reserved < tokens and self._can_draw(workspace)
        return self._reply(workspace, reserved, self._accounts.available(workspace), can_draw)

    def _reply(self, workspace: str, reserved: int, available: int, can_draw: bool) -> ReserveReply:
        """Return the reply to a reservation."""
        configuration = self._blackboard.configuration
        return ReserveReply(
            reserved,
            self._targets.max_remaining(workspace),
            available,
            can_draw,
            configuration.version if configuration else 0,
        )

    async def reserve_for_request(self, request: ReserveRequest) -> ReserveReply:
        """Reserve tokens for a request of any gateway; draw missing ones if it allows that."""
        workspace = request.workspace
        if request.allow_draw and self._lacks_tokens(workspace, request.tokens):
            await self.draw_missing(workspace, request.tokens, request.request_tokens)
        reply = self.reserve(request.reservation, workspace, request.tokens)
        if not request.allow_draw or reply.reserved == request.tokens:
            return reply
        waiting = WaitingRequest(request.tokens - reply.reserved, request.request_tokens)
        is_too_large = self._last_tokens(workspace).is_too_large(waiting)
        return msgspec.structs.replace(reply, is_too_large=is_too_large)

    async def draw_missing(self, workspace: str, tokens: int, request_tokens: int = 0) -> bool:
        """Draw the tokens that a request lacks, if it may draw them and the store answers.

        :param request_tokens: what the request needs in all, if that is more.
        :return: whether all of them are available now.
        """
        request = WaitingRequest(tokens, max(tokens, request_tokens))
        try:
            async with asyncio.timeout(MAX_DRAW_WAIT_SECONDS):
                while self._should_draw(workspace, request):
                    await self._shared_draw.join(workspace, request)
        except TimeoutError:
            log.failure("allotments.not_in_time", workspace=workspace, tokens=request.missing)
        return not self._lacks_tokens(workspace, request.missing)

    def _should_draw(self, workspace: str, request: WaitingRequest) -> bool:
        """Return whether a draw can be expected to bring the tokens that a request lacks."""
        if not self._lacks_tokens(workspace, request.missing) or not self._can_draw(workspace):
            return False
        return not self._shared_budgets.is_current or self._last_tokens(workspace).may_draw(request)

    def _last_tokens(self, workspace: str) -> LastTokens:
        """Return what decides which requests may draw tokens, as far as the record is known."""
        return self._targets.last_tokens(workspace, self._accounts.account(workspace).held)

    async def _draw_for_requests(self) -> None:
        """Draw the tokens that requests wait for, even beyond this holder's allowance."""
        pause_seconds = (
            self._last_write_at + MIN_REQUESTED_DRAW_INTERVAL_SECONDS - self._clock.monotonic()
        )
        await self._clock.sleep(max(0.0, pause_seconds))
        async with self._draw_lock:
            if not self._closed:
                await self._draw()

    def _lacks_tokens(self, workspace: str, tokens: int) -> bool:
        """Return whether fewer tokens than these are available at this holder."""
        return self._accounts.available(workspace) < tokens

    def _can_draw(self, workspace: str) -> bool:
        """Return whether a draw can be expected to bring tokens in time."""
        if self._closed or not self._blackboard.store_reachable or not self._holder_count():
            return False
        if self._last_draw_seconds > MAX_DRAW_WAIT_SECONDS:
            return False
        if not self._shared_budgets.is_current or self._accounts.has_tokens_beyond_limit(workspace):
            return True
        drawable = self._targets.drawable_tokens(workspace)
        return self._shared_budgets.budget(workspace).undrawn(drawable) > 0

    def settle(self, settlement: Settlement) -> None:
        """End a reservation; one that has not arrived yet is rejected when it does."""
        self._accounts.settle(settlement)

    async def return_tokens(self) -> bool:
        """Return all unspent tokens to the store; nothing can be reserved afterwards.

        :return: False if the store confirmed no write. The tokens in :meth:`inherit_request` may
            then be passed on to a peer.
        """
        self._closed = True
        await self.stop()
        # Wait for a draw that a request has just started: it would change the record in between.
        async with self._draw_lock:
            for _ in range(MAX_RETURN_ATTEMPTS):
                try:
                    await self._shared_budgets.read()
                    self._return_all()
                    await self._shared_budgets.write()
                    log.change("allotments.returned", version=self._shared_budgets.version)
                    return True
                except KvConflictError:
                    continue
                except KvError as error:
                    log.failure("allotments.not_returned", error=str(error))
                    if not self._blackboard.store_reachable:
                        break
        return False

    async def wait_for_end_of_limits(self) -> None:
        """Wait until the spending limits of this closed holder are binding no more.

        Until then its successor could prove that the tokens beyond them are unspent.
        """
        await self._clock.sleep(self._limit_period.remaining_seconds(self._machine_time()))

    def inherit_request(self) -> InheritRequest:
        """Return the message that passes this holder's tokens on to a peer once it is closed.

        Tokens whose return to the store was tried are left out, since that write may have taken
        effect.
        """
        return InheritRequest(self._own_incarnation, self._accounts.inheritances())

    def inherit(self, request: InheritRequest) -> bool:
        """Take over the tokens of a stopping holder; a repeated call changes nothing.

        :return: False if they are not taken, since this holder returns its own.
        """
        if request.holder in self._accounts.inherited_holders:
            return True
        if self._closed:
            return False
        self._accounts.inherit(request)
        log.change("allotments.inherited", holder=request.holder)
        return True

    def _return_all(self) -> None:
        """Remove this holder's allotments from the record in memory."""
        for workspace, account in self._accounts.by_workspace.items():
            budget = self._shared_budgets.budget(workspace)
            return_allotment(budget, self._own_incarnation, account)
        self._shared_budgets.forget_write(self._own_incarnation)

    @property
    def _own_incarnation(self) -> str:
        """Return the incarnation under which the record lists this holder."""
        return self._blackboard.own.incarnation

    async def _keep_allotments(self) -> None:
        """Keep the allotments close to their targets until cancelled."""
        while True:
            if self._is_write_due():
                async with self._draw_lock:
                    await self._draw()
            elif self._should_reread():
                await self._reread()
            self._accounts.forget_early_settlements()
            await self._clock.sleep(self._next_check_seconds())

    def _next_check_seconds(self) -> float:
        """Return the time until the next check, longer for a gateway that holds nothing."""
        holds_nothing = self._role.is_confirmed_non_holder and not self._accounts.by_workspace
        seconds = NON_HOLDER_CHECK_SECONDS if holds_nothing else DRAW_CHECK_SECONDS
        return seconds * (1 + DRAW_CHECK_JITTER_SHARE * (self._rng.random() - 0.5))

    def _holder_count(self) -> int:
        """Return the number of holders, zero if this gateway is not one of them."""
        return self._role.holder_count(self._shared_budgets.version > 0)

    def _should_reread(self) -> bool:
        """Return whether to read the record without writing it.

        A holder that has just started must find out whether a record exists. Later, other holders
        may have returned tokens that this one lacks, or spent so many that it should return some.
        """
        if (
            self._shared_budgets.age_seconds < REREAD_INTERVAL_SECONDS
            or not self._blackboard.store_reachable
        ):
            return False
        if not self._role.is_candidate:
            return self._role.is_confirmed_non_holder and not self._was_read
        return not self._shared_budgets.version or any(
            self._has_tokens(name) or not self._targets.has_unkept_tokens(name)
            for name in self._targets.drawable_by_workspace()
        )

    @property
    def _was_read(self) -> bool:
        """Return whether the record has been read; a predecessor may have been a holder."""
        return self._shared_budgets.age_seconds < math.inf

    def _has_tokens(self, workspace: str) -> bool:
        """Return whether any tokens are available at this holder."""
        return not self._lacks_tokens(workspace, 1)

    async def _reread(self) -> None:
        """Read the record without writing it."""
        async with self._draw_lock:
            try:
                await self._read()
            except KvError as error:
                log.failure("allotments.not_read", error=str(error))

    async def _read(self) -> None:
        """Read the record and update the spending rates from it.

        :raises KvError: the store did not answer, or the record cannot be decoded.
        """
        await self._shared_budgets.read()
        self._targets.update_spending_rates(self._clock.monotonic())

    def _is_write_due(self) -> bool:
        """Return whether to write the record now."""
        if self._blackboard.configuration is None:
            return False
        if self._clock.monotonic() - self._last_write_at < MIN_WRITE_INTERVAL_SECONDS:
            return False
        holder_count = self._holder_count()
        # A holder decides on its predecessors with its first draw, which another write would delay.
        may_decide = holder_count or not self._role.is_candidate
        if may_decide and self._predecessors.are_undecided(self._shared_budgets):
            return True
        if not holder_count and not self._accounts.by_workspace:
            return False
        if not self._shared_budgets.is_current:
            return True
        if self._is_limit_ending():
            return True
        return any(
            self._targets.is_write_due(name, self._accounts.account(name), holder_count)
            for name in self._targets.drawable_by_workspace()
        )

    def _is_limit_ending(self) -> bool:
        """Return whether to write so that the limits stay binding for what is held beyond them."""
        if self._limit_period.age_seconds(self._machine_time()) < WRITE_INTERVAL_SECONDS:
            return False
        return any(map(self._accounts.has_tokens_beyond_limit, self._accounts.by_workspace))

    async def _draw(self) -> None:
        """Report spent tokens and draw new ones, by compare-and-swap on the record."""
        self._last_write_at = self._clock.monotonic()
        try:
            await self._write_record()
            record_store_answer(self._blackboard)
            self._outages.record_answer(self._clock.monotonic())
        except KvError as error:
            record_store_failure(self._blackboard, error)
            self._outages.record_failure()
            log.failure("allotments.not_drawn", error=str(error))
        finally:
            self._last_draw_seconds = self._clock.monotonic() - self._last_write_at

    async def _write_record(self) -> None:
        """Update and write the record; retry after a conflict, up to MAX_WRITE_ATTEMPTS times."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                if (
                    not self._shared_budgets.is_current
                    or self._shared_budgets.age_seconds > MAX_RECORD_AGE_SECONDS
                ):
                    await self._read()
                allotments_by_workspace = self._update_record()
                inherited_holders = set(self._accounts.inherited_holders)
                await self._shared_budgets.write()
            except KvConflictError:
                await self._clock.sleep(self._rng.random() * MAX_CONFLICT_BACKOFF_SECONDS)
            else:
                self._limit_period.confirm()
                self._apply_confirmed_draw(allotments_by_workspace, inherited_holders)
                return
        log.failure("allotments.not_drawn", error=f"{MAX_WRITE_ATTEMPTS} conflicts in a row")

    def _apply_confirmed_draw(
        self, allotments_by_workspace: dict[str, HolderAllotment], inherited_holders: set[str]
    ) -> None:
        """Update the accounts to what a successful write of the record confirms."""
        for workspace, allotment in allotments_by_workspace.items():
            account = self._accounts.by_workspace[workspace]
            account.drawn = allotment.drawn
            account.limit = allotment.limit or 0
            for holder in inherited_holders & account.inherited_by_holder.keys():
                del account.inherited_by_holder[holder]
        self._predecessors.confirm()
        self._write_offs.log_new(self._shared_budgets)
        drawable_by_workspace = self._targets.drawable_by_workspace()
        log.success(
            "allotments.drawn",
            version=self._shared_budgets.version,
            left_by_workspace={
                name: self._targets.max_remaining(name) for name in allotments_by_workspace
            },
            undrawn_by_workspace={
                name: self._shared_budgets.budget(name).undrawn(drawable)
                for name, drawable in drawable_by_workspace.items()
            },
            held_by_workspace=self.held_by_workspace(),
            available_by_workspace=self.available_by_workspace(),
        )

    def _update_record(self) -> dict[str, HolderAllotment]:
        """Update the record in memory for all workspaces.

        :return: the own allotment in each workspace once the record is written.
        """
        self._predecessors.close(self._shared_budgets)
        allotments_by_workspace: dict[str, HolderAllotment] = {}
        holder_count = self._holder_count()
        for name in self._targets.drawable_by_workspace():
            account = self._accounts.by_workspace.setdefault(name, Account())
            allotments_by_workspace[name] = self._targets.update(
                name, account, holder_count, self._shared_draw.waiting(name)
            )
        self._shared_budgets.remove_limits(self._own_incarnation, allotments_by_workspace)
        self._record_write()
        return allotments_by_workspace

    def _record_write(self) -> None:
        """Add the time of this write to the record in memory; limits are binding from now on."""
        begun_at = self._limit_period.begin_write(self._machine_time())
        self._shared_budgets.set_last_write(
            self._own_incarnation,
            HolderWrite(
                begun_at.boot_id,
                begun_at.boot_seconds,
                begun_at.wall_seconds,
                self._limit_period.seconds,
            ),
        )
        self._shared_budgets.forget_writes_without_allotment()
