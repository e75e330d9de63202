"""Prepaid budgets: the shared record, and the accounts of one holder.

A holder draws an allotment by compare-and-swap and spends only what it has drawn, so that no lease
or connection is needed to stay within the budget. Tokens drawn by a holder that disappeared count
as spent, except those beyond its spending limit, which its successor returns if it can prove that
the limit was binding.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

import msgspec

from quinceferry_core.clocks import MachineTime
from quinceferry_gateway.decoding import decode_json


class HolderAllotment(msgspec.Struct, omit_defaults=True):
    """Tokens drawn by one holder over its lifetime, and how many of them it reported as spent.

    ``reserved`` counts the tokens that running requests had reserved when it last reported. The
    holder spends and reserves no more than ``limit`` over its lifetime while that is binding; None
    if only ``drawn`` limits it.
    """

    drawn: int = 0
    reported: int = 0
    reserved: int = 0
    limit: int | None = None

    @property
    def outstanding(self) -> int:
        """Return the tokens that are unspent or whose spending is not reported yet."""
        return self.drawn - self.reported

    @property
    def idle(self) -> int:
        """Return the tokens that were neither spent nor reserved when the holder last reported."""
        return max(0, self.outstanding - self.reserved)


class WorkspaceBudget(msgspec.Struct, omit_defaults=True):
    """Budget of one workspace.

    ``spent`` counts the tokens that holders reported as spent, and those that were still reserved
    when their holder stopped. ``tokens_per_second`` is the spending rate that the last writer
    observed.
    """

    spent: int = 0
    allotments_by_holder: dict[str, HolderAllotment] = msgspec.field(default_factory=dict)
    tokens_per_second: int = 0

    @property
    def outstanding(self) -> int:
        """Return the tokens that holders have drawn and not reported as spent."""
        return sum(item.outstanding for item in self.allotments_by_holder.values())

    def undrawn(self, drawable: int) -> int:
        """Return how many of the drawable tokens no holder has drawn."""
        return drawable - self.spent - self.outstanding


class HolderWrite(msgspec.Struct):
    """When a holder began its last write, and for how many seconds its limits bind it from then on.

    The times are those of :class:`~quinceferry_core.clocks.MachineTime`.
    """

    boot_id: str
    boot_seconds: float
    wall_seconds: float
    limit_seconds: float

    @property
    def begun_at(self) -> MachineTime:
        """Return when the write was begun."""
        return MachineTime(self.boot_id, self.boot_seconds, self.wall_seconds)


class BudgetRecord(msgspec.Struct, omit_defaults=True):
    """Value of a budget key in the store: the budgets of one shard of workspaces.

    ``writes_by_holder`` contains the last write of each holder whose limits may still be binding.
    """

    budgets_by_workspace: dict[str, WorkspaceBudget] = msgspec.field(default_factory=dict)
    writes_by_holder: dict[str, HolderWrite] = msgspec.field(default_factory=dict)

    @classmethod
    def decode(cls, value: bytes | None) -> "BudgetRecord":
        """Return the record that a store value contains, an empty one for None.

        :raises msgspec.DecodeError: the value cannot be decoded.
        """
        return decode_json(value, cls) if value is not None else cls()

    def encode(self) -> bytes:
        """Return the record as a store value."""
        return msgspec.json.encode(self)


@dataclass(slots=True, frozen=True)
class InheritedTokens:
    """Tokens that a stopping holder passed on.

    ``unspent`` counts those that it had left, ``spent`` all that it spent over its lifetime.
    """

    unspent: int
    spent: int


@dataclass(slots=True)
class Account:
    """State of a holder's own allotment in one workspace.

    ``drawn`` and ``limit`` count only what the store has confirmed. ``inherited_by_holder``
    contains tokens that stopping holders passed on and that the record still lists under those
    holders.
    """

    drawn: int = 0
    limit: int = 0
    spent: int = 0
    reserved_by_id: dict[str, int] = field(default_factory=dict)
    inherited_by_holder: dict[str, InheritedTokens] = field(default_factory=dict)

    @property
    def reserved(self) -> int:
        """Return the tokens that running requests have reserved."""
        return sum(self.reserved_by_id.values())

    @property
    def held(self) -> int:
        """Return the tokens that are neither spent nor reserved."""
        return self.drawn + self.inherited - self.spent - self.reserved

    def available(self, is_limited: bool) -> int:
        """Return the tokens that new requests can reserve.

        :param is_limited: whether the limit is binding.
        """
        if not is_limited:
            return self.held
        return max(0, min(self.held, self.limit - self.spent - self.reserved))

    @property
    def inherited(self) -> int:
        """Return the inherited tokens that the record does not list as drawn by this holder yet."""
        return sum(item.unspent for item in self.inherited_by_holder.values())

    def reserve(self, reservation: str, tokens: int, is_limited: bool) -> int:
        """Reserve tokens, or as many as are available; a repeated call changes nothing.

        :param is_limited: whether the limit is binding.
        :return: the number of tokens reserved.
        """
        if reservation in self.reserved_by_id:
            return self.reserved_by_id[reservation]
        granted = max(0, min(tokens, self.available(is_limited)))
        if granted:
            self.reserved_by_id[reservation] = granted
        return granted

    def settle(self, reservation: str, tokens: int) -> None:
        """End a reservation with the tokens actually used; a repeated call changes nothing."""
        reserved = self.reserved_by_id.pop(reservation, None)
        if reserved is not None:
            self.spent += min(tokens, reserved)


@dataclass(slots=True, frozen=True)
class Allowance:
    """Limits of the tokens that one holder may have available in a workspace.

    ``equal_share`` is the target for all holders divided by their number, ``headroom`` that target
    less the idle tokens of the others. These may exceed their shares, because they drew when the
    fleet had another size, or because they are partitioned and cannot return tokens. So a holder
    draws no more than the headroom, and returns only what exceeds its equal share. ``spendable`` is
    how many tokens the spending limit allows beyond those that are spent or reserved.
    """

    equal_share: int
    headroom: int
    spendable: int = 0

    @property
    def target(self) -> int:
        """Return the number of available tokens up to which the holder draws."""
        return max(0, min(self.equal_share, self.headroom))


SPENDABLE_MARGIN = 1.5
"""How many times the tokens that the first seconds of an outage take on average may be spent in
them; large requests come unevenly."""
IDLE_SPENDABLE_SHARE = 0.1
"""Share of the target that the holders of a workspace without spending may spend before they write
again. A request that needs more draws while the store answers."""
WRITE_INTERVAL_SECONDS = 1.0
"""Time after which a holder writes the record again, so that its spending limits stay binding."""


@dataclass(slots=True, frozen=True)
class DrawPolicy:
    """Determines how many tokens the holders draw in total and when they write the record.

    The total is a share of a workspace's remaining tokens. A larger share lasts longer in an outage
    of the store, but strands more tokens when holders are killed. A workspace with many tokens left
    can do without the stranded ones. For one that is nearly exhausted, stranded tokens mean
    rejected requests, whereas tokens that are not spent during an outage can be spent after it. So
    the share shrinks with the time for which the remaining tokens last: it is ``held_share`` if
    they last ``ample_seconds`` or longer, and never less than ``min_seconds`` of spending. Once the
    store has had outages, the holders keep as much as the longest one takes, and
    ``outage_margin_share`` more, since spending rises and holders are not always full. That is
    never more than ``held_share``, which bounds what a death of all holders strands.

    A holder draws when it has less than ``refill_share`` of its target, reports when it has spent
    more than the rest of its equal share, and returns tokens when it has more than
    ``surplus_share`` times its equal share.

    Spending limits are binding for ``limit_seconds`` after a write, and let all holders together
    spend up to ``spendable_share`` of the target while the workspace is used, as far as it may need
    that until they end.
    """

    held_share: float
    ample_seconds: float
    min_seconds: float = 2.0
    outage_margin_share: float = 0.25
    refill_share: float = 0.75
    surplus_share: float = 1.6
    limit_seconds: float = 0.0
    spendable_share: float = 1.0

    def target_tokens(
        self, remaining: int, tokens_per_second: int, longest_outage_seconds: float = 0.0
    ) -> int:
        """Return the tokens that all holders together should have available.

        :param remaining: undrawn tokens and those that live holders hold.
        :param tokens_per_second: rate at which the workspace spends.
        :param longest_outage_seconds: longest recent outage of the store.
        """
        full_share = self.held_share * max(0, remaining)
        if not tokens_per_second:
            return int(full_share)
        lasting_seconds = max(0, remaining) / tokens_per_second
        reduced_share = full_share * lasting_seconds / self.ample_seconds
        outage_seconds = (1 + self.outage_margin_share) * longest_outage_seconds
        min_tokens = max(self.min_seconds, outage_seconds) * tokens_per_second
        return int(min(full_share, max(reduced_share, min_tokens)))

    def spendable_tokens(self, remaining: int, tokens_per_second: int, target_tokens: int) -> int:
        """Return the tokens that all holders together may spend before they write again.

        They serve the first seconds of an outage, until the limits are no longer binding. A
        workspace that is not used needs few; a kill of all holders loses them.

        :param remaining: undrawn tokens and those that live holders hold.
        :param tokens_per_second: rate at which the workspace spends.
        :param target_tokens: tokens that all holders together should have available.
        """
        if not tokens_per_second:
            return int(IDLE_SPENDABLE_SHARE * target_tokens)
        lasting_seconds = max(0, remaining) / tokens_per_second
        bridged_seconds = self.limit_seconds + WRITE_INTERVAL_SECONDS
        bridged_tokens = bridged_seconds * tokens_per_second
        most_tokens = min(self.spendable_share * target_tokens, SPENDABLE_MARGIN * bridged_tokens)
        least_tokens = min(1.0, lasting_seconds / self.ample_seconds) * bridged_tokens
        return int(min(target_tokens, max(most_tokens, least_tokens)))

    def allowance(
        self, target_tokens: int, spendable_tokens: int, holders: int, idle_elsewhere: int
    ) -> Allowance:
        """Return the limits for one holder.

        :param target_tokens: tokens that all holders together should have available.
        :param spendable_tokens: tokens that all holders together may spend before they write again.
        :param holders: number of holders.
        :param idle_elsewhere: idle tokens of all other live holders.
        """
        count = max(1, holders)
        headroom = target_tokens - idle_elsewhere
        return Allowance(target_tokens // count, headroom, spendable_tokens // count)

    def is_write_due(
        self, account: Account, unreported: int, allowance: Allowance, undrawn: int
    ) -> bool:
        """Return whether an allotment is far enough from its target to write the record.

        :param unreported: tokens spent since the last write. Other holders count them as idle,
            which reduces the headroom for their own draws.
        """
        if account.held > self.surplus_share * allowance.equal_share:
            return True
        if unreported > (1 - self.refill_share) * allowance.equal_share:
            return True
        spendable = min(account.held, allowance.spendable)
        if account.available(is_limited=True) < self.refill_share * spendable:
            return True
        return undrawn > 0 and account.held < self.refill_share * allowance.target


def remaining_tokens(budget: WorkspaceBudget, drawable: int, holders: Collection[str]) -> int:
    """Return the undrawn tokens and those that the given holders hold."""
    held_tokens = sum(
        entry.outstanding
        for holder, entry in budget.allotments_by_holder.items()
        if holder in holders
    )
    return max(0, budget.undrawn(drawable)) + held_tokens


def idle_tokens(budget: WorkspaceBudget, holders: Collection[str]) -> int:
    """Return the tokens that the given holders have drawn and neither spent nor reserved."""
    entries = budget.allotments_by_holder.items()
    return sum(entry.idle for holder, entry in entries if holder in holders)


def update_allotment(
    budget: WorkspaceBudget,
    holder: str,
    account: Account,
    undrawn: int,
    allowance: Allowance,
    requested_tokens: int = 0,
    kept_tokens: int = 0,
) -> HolderAllotment:
    """Report a holder's spending in the record; draw up to its target or return its surplus.

    Returned tokens, and those of a lowered limit, leave the account immediately, before the record
    is written.

    :param undrawn: tokens that no holder has drawn.
    :param requested_tokens: tokens that waiting requests need, which may exceed the allowance.
    :param kept_tokens: undrawn tokens that are drawn for waiting requests only.
    :return: the holder's allotment once the record is written.
    """
    entry = budget.allotments_by_holder.setdefault(holder, HolderAllotment())
    _merge_inherited(budget, entry, account)
    account.drawn = min(account.drawn, entry.drawn - account.inherited)
    budget.spent += account.spent - entry.reported
    entry.reported = account.spent
    entry.reserved = account.reserved
    available = entry.drawn - account.spent - account.reserved
    drawn_for_target = min(undrawn - kept_tokens, allowance.target - available)
    drawn_for_requests = min(undrawn, requested_tokens - available)
    surplus = available - max(allowance.equal_share, requested_tokens)
    entry.drawn += max(0, drawn_for_target, drawn_for_requests) - max(0, surplus)
    account.drawn = min(account.drawn, entry.drawn - account.inherited)
    spendable = max(allowance.spendable, requested_tokens)
    entry.limit = min(entry.drawn, account.spent + account.reserved + spendable)
    account.limit = min(account.limit, entry.limit)
    return entry


def _merge_inherited(budget: WorkspaceBudget, entry: HolderAllotment, account: Account) -> None:
    """Move inherited tokens to this holder's entry in the record.

    A predecessor without an entry was moved by an earlier write whose answer was lost, and this
    holder's entry already includes its tokens.
    """
    for predecessor, inherited in account.inherited_by_holder.items():
        predecessor_entry = budget.allotments_by_holder.pop(predecessor, None)
        if predecessor_entry is not None:
            budget.spent += inherited.spent - predecessor_entry.reported
            entry.drawn += inherited.unspent


def return_allotment(budget: WorkspaceBudget, holder: str, account: Account) -> None:
    """Remove a holder from the record; its reserved tokens count as spent.

    The holder must not spend any more tokens before the record is written.
    """
    if holder not in budget.allotments_by_holder and not account.inherited_by_holder:
        return
    entry = budget.allotments_by_holder.pop(holder, HolderAllotment())
    _merge_inherited(budget, entry, account)
    account.inherited_by_holder.clear()
    account.drawn = min(account.drawn, account.spent + account.reserved)
    budget.spent += account.spent + account.reserved - entry.reported


@dataclass(slots=True, frozen=True)
class ClosedAllotment:
    """What became of the unreported tokens of a terminated holder.

    ``reclaimed`` counts those that it cannot have spent, ``lost`` those that count as spent. Of
    the latter, requests that ran at its last write had reserved ``reserved``.
    """

    reclaimed: int
    lost: int
    reserved: int


def close_allotment(budget: WorkspaceBudget, holder: str) -> ClosedAllotment:
    """Remove a terminated holder whose limit was binding to the end.

    What the limit allows counts as spent.
    """
    entry = budget.allotments_by_holder.pop(holder)
    max_spent = entry.drawn if entry.limit is None else min(entry.drawn, entry.limit)
    lost = max(0, max_spent - entry.reported)
    budget.spent += lost
    return ClosedAllotment(entry.outstanding - lost, lost, min(lost, entry.reserved))
