"""Chooses the gateways that hold tokens; each gateway computes the same choice by itself.

Many gateways may start at the same moment, when none knows the others yet. If every possible holder
wrote the budget record, the attempts would grow with the square of the fleet size: 83 gateways made
5,600 rejected writes in their first 16 s. So a gateway writes nothing until it is certain to be a
holder.
"""

import random

from quinceferry_core.clocks import Clock
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.rendezvous import rank_candidates
from quinceferry_gateway.settings import BudgetSettings

HOLDERS_KEY = "holders"
STABLE_MEMBERS_SECONDS = 1.0
"""How long the member list must stay unchanged before a gateway considers it complete."""
MAX_STABLE_MEMBERS_WAIT_SECONDS = 6.0
"""Longest wait for an unchanged member list. 195 gateways that start together all know each other
within four seconds of the last one's start."""
SMALL_FLEET_STABLE_SECONDS = 0.2
"""Before the list is considered complete, a gateway that knows few others draws the smallest share
that a holder may have once the list has been unchanged for this time. Gateways of a large fleet
discover each other faster than that."""

FIRST_DRAW_JITTER_SECONDS = 0.5
"""Time over which the holders of a large fleet spread their first draws, which become due at the
same moment. Without it, five of twenty writes conflict."""


def is_large_fleet(board: Blackboard, settings: BudgetSettings) -> bool:
    """Return whether only a few of the gateways hold tokens."""
    return len(board.usable_members()) > settings.max_holders


def holder_vms(board: Blackboard, settings: BudgetSettings) -> list[str]:
    """Return the vms whose gateways hold tokens: all of a small fleet, a few of a large one.

    They are ranked by vm, so that a gateway that restarts on its vm gets the same role again.
    """
    vms = [member.vm for member in board.usable_members()]
    ranked_vms = rank_candidates(HOLDERS_KEY, vms)
    return (
        ranked_vms
        if len(ranked_vms) <= settings.max_holders
        else ranked_vms[: settings.few_holders]
    )


class HolderRole:
    """Determines whether this gateway holds tokens, and how many holders share them."""

    def __init__(
        self, blackboard: Blackboard, clock: Clock, settings: BudgetSettings, rng: random.Random
    ) -> None:
        self._rng = rng
        self._first_draw_at: float | None = None
        self._blackboard = blackboard
        self._clock = clock
        self._settings = settings
        self._started_at = clock.monotonic()
        self._members_were_stable = False

    def record_start(self) -> None:
        """Record that the gateway starts now."""
        self._started_at = self._clock.monotonic()

    @property
    def is_candidate(self) -> bool:
        """Return whether this gateway is a holder among the members that it knows.

        A gateway that knows few others is not one while their number still grows: they may be the
        first of a large fleet.
        """
        if self._blackboard.members_changed_at is None:
            return False
        if (
            not is_large_fleet(self._blackboard, self._settings)
            and not self._are_members_stable()
            and not self._are_members_unchanged_for(SMALL_FLEET_STABLE_SECONDS)
        ):
            return False
        return self._own_vm in holder_vms(self._blackboard, self._settings)

    @property
    def is_confirmed_non_holder(self) -> bool:
        """Return whether the member list is complete and this gateway is not a holder."""
        return self._are_members_stable() and not self.is_candidate

    def holder_count(self, record_exists: bool) -> int:
        """Return the number of holders, zero if this gateway is not one of them.

        :param record_exists: whether the store has a budget record. The members that wrote it are
            then registered already, and their vms are known.
        """
        if not self.is_candidate:
            return 0
        if is_large_fleet(self._blackboard, self._settings):
            is_fleet_known = record_exists or self._are_members_stable()
            return self._settings.few_holders if is_fleet_known and self._is_first_draw_due() else 0
        if self._are_members_stable():
            return len(holder_vms(self._blackboard, self._settings))
        return self._settings.max_holders

    def _is_first_draw_due(self) -> bool:
        """Return whether the random delay before the first draw is over."""
        now = self._clock.monotonic()
        if self._first_draw_at is None:
            self._first_draw_at = now + FIRST_DRAW_JITTER_SECONDS * self._rng.random()
        return now >= self._first_draw_at

    @property
    def _own_vm(self) -> str:
        """Return the vm of this gateway."""
        return self._blackboard.own.vm

    def _are_members_stable(self) -> bool:
        """Return whether the member list has ever been complete enough to draw by."""
        if not self._members_were_stable and self._blackboard.members_changed_at is not None:
            timed_out = self._clock.monotonic() - self._started_at > MAX_STABLE_MEMBERS_WAIT_SECONDS
            self._members_were_stable = timed_out or self._are_members_unchanged_for(
                STABLE_MEMBERS_SECONDS
            )
        return self._members_were_stable

    def _are_members_unchanged_for(self, seconds: float) -> bool:
        """Return whether the member list has been unchanged for a time."""
        return self._clock.monotonic() - self._blackboard.members_changed_at >= seconds
