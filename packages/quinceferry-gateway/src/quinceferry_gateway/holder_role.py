"""Which gateways hold tokens, known by computation to all of them.

The load: many gateways start at the same moment, and none knows the others yet. If each that might
be a holder writes the budget record, the attempts grow with the square of the fleet: 83 gateways
made 5,600 writes that were refused in their first 16 s. Whoever is not sure to be a holder writes
nothing.
"""

import random

from quinceferry_core.clocks import Clock
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.rendezvous import rank_candidates
from quinceferry_gateway.settings import BudgetSettings

HOLDERS_KEY = "holders"
STABLE_MEMBERS_SECONDS = 1.0
"""How long the member list must stay unchanged before a gateway counts on knowing the fleet."""
MAX_STABLE_MEMBERS_WAIT_SECONDS = 6.0
"""Longest wait for an unchanged member list; 195 gateways that start together all know each other
within four seconds of the last one's start."""
SMALL_FLEET_STABLE_SECONDS = 0.2
"""Until then, a gateway that knows few others takes the smallest part a holder may have, once the
list has not changed for this time: the gateways of a large fleet meet each other faster."""

FIRST_DRAW_JITTER_SECONDS = 0.5
"""Time over which the few holders of a large fleet spread their first draws, which fall due
together: at once, five of twenty writes were refused."""


def holder_vms(board: Blackboard, settings: BudgetSettings) -> list[str]:
    """Return the vms whose gateways hold tokens: all of a small fleet, few of a large one.

    They are ranked by vm, so that a gateway that starts anew on its vm takes the same part again.
    """
    vms = [member.vm for member in board.usable_members()]
    ranked_vms = rank_candidates(HOLDERS_KEY, vms)
    return (
        ranked_vms
        if len(ranked_vms) <= settings.max_holders
        else ranked_vms[: settings.few_holders]
    )


class HolderRole:
    """Tells whether this gateway holds tokens, and among how many."""

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

    def begin(self) -> None:
        """Note that the gateway starts now."""
        self._started_at = self._clock.monotonic()

    @property
    def is_candidate(self) -> bool:
        """Tell whether this gateway is a holder of the fleet as far as it knows it.

        One that knows few others is none while these become more: they are then a part of many.
        """
        if self._blackboard.members_changed_at is None:
            return False
        is_small_fleet = len(self._blackboard.usable_members()) <= self._settings.max_holders
        if (
            is_small_fleet
            and not self._are_members_stable()
            and not self._are_members_unchanged_for(SMALL_FLEET_STABLE_SECONDS)
        ):
            return False
        return self._own_vm in holder_vms(self._blackboard, self._settings)

    @property
    def is_confirmed_non_holder(self) -> bool:
        """Tell whether this gateway surely is no holder for now."""
        return self._are_members_stable() and not self.is_candidate

    def holder_count(self, record_exists: bool) -> int:
        """Return among how many holders the tokens are divided; zero when this is none of them.

        :param fleet_ran_before: whether a budget record exists; then the registrations of those
            that were here before name their vms.
        """
        if not self.is_candidate:
            return 0
        is_large_fleet = len(self._blackboard.usable_members()) > self._settings.max_holders
        if is_large_fleet:
            is_fleet_known = record_exists or self._are_members_stable()
            return self._settings.few_holders if is_fleet_known and self._is_first_draw_due() else 0
        if self._are_members_stable():
            return len(holder_vms(self._blackboard, self._settings))
        return self._settings.max_holders

    def _is_first_draw_due(self) -> bool:
        """Tell whether the pause before the first draw is over."""
        now = self._clock.monotonic()
        if self._first_draw_at is None:
            self._first_draw_at = now + FIRST_DRAW_JITTER_SECONDS * self._rng.random()
        return now >= self._first_draw_at

    @property
    def _own_vm(self) -> str:
        """Return the vm of this gateway."""
        return self._blackboard.own.vm

    def _are_members_stable(self) -> bool:
        """Tell whether the member list has become good enough to draw by; once so, it stays so."""
        if not self._members_were_stable and self._blackboard.members_changed_at is not None:
            timed_out = self._clock.monotonic() - self._started_at > MAX_STABLE_MEMBERS_WAIT_SECONDS
            self._members_were_stable = timed_out or self._are_members_unchanged_for(
                STABLE_MEMBERS_SECONDS
            )
        return self._members_were_stable

    def _are_members_unchanged_for(self, seconds: float) -> bool:
        """Tell whether the member list has stayed unchanged for so long."""
        return self._clock.monotonic() - self._blackboard.members_changed_at >= seconds
