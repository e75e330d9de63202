"""A router's local account of its allotment for one workspace."""

from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from quinceferry_core.models import RequestId

DEMAND_HALF_LIFE_SECONDS = 60.0


@dataclass(slots=True, frozen=True)
class LedgerShortfall:
    """The allotment has too few available tokens."""

    wanted: int
    available: int


@dataclass(slots=True)
class UnrecordedUse:
    """Tokens of one attempt that may be used and are not yet recorded in the journal."""

    tokens: int


@dataclass(slots=True)
class Ledger:
    """Tokens drawn, reserved and spent by one incarnation for one workspace.

    ``unrecorded`` counts the tokens reserved or spent whose journal entry is not committed yet; it
    never exceeds ``outage_tokens``.
    """

    drawn: int = 0
    spent: int = 0
    outage_tokens: int = 0
    unrecorded: int = 0
    reserved_by_request: dict[RequestId, int] = field(default_factory=dict)
    reserved: int = 0
    demand_tokens_per_second: float = 0.0
    demand_updated_at: float = 0.0

    @property
    def available(self) -> int:
        """Return the tokens that are neither spent nor reserved."""
        return self.drawn - self.spent - self.reserved

    def reserve(self, request: RequestId, tokens: int) -> Result[int, LedgerShortfall]:
        """Reserve tokens for a request before it is dispatched.

        :return: the tokens reserved.
        """
        if tokens > self.available:
            return Failure(LedgerShortfall(tokens, self.available))
        self.reserved_by_request[request] = self.reserved_by_request.get(request, 0) + tokens
        self.reserved += tokens
        return Success(tokens)

    def settle(self, request: RequestId, used: int) -> int:
        """Replace a reservation by the tokens used.

        :param used: tokens used; no more than the reservation is charged.
        :return: the tokens charged.
        """
        reserved = self.reserved_by_request.pop(request, 0)
        charged = min(used, reserved)
        self.reserved -= reserved
        self.spent += charged
        return charged

    def add_unrecorded(self, tokens: int) -> UnrecordedUse | None:
        """Count tokens as used before their journal entry is committed.

        :return: the use, or None when it would exceed ``outage_tokens``.
        """
        if self.unrecorded + tokens > self.outage_tokens:
            return None
        self.unrecorded += tokens
        return UnrecordedUse(tokens)

    def lower_unrecorded(self, use: UnrecordedUse, tokens: int) -> None:
        """Lower an unrecorded use to the tokens known to be used, or to zero once recorded."""
        lowered = min(use.tokens, tokens)
        self.unrecorded -= use.tokens - lowered
        use.tokens = lowered

    def update_demand(self, tokens: int, now: float) -> None:
        """Update the moving average of demand.

        :param now: time of the monotonic clock, in seconds.
        """
        elapsed = max(0.0, now - self.demand_updated_at)
        self.demand_updated_at = now
        decay = 0.5 ** (elapsed / DEMAND_HALF_LIFE_SECONDS)
        self.demand_tokens_per_second *= decay
        self.demand_tokens_per_second += tokens * 0.693 / DEMAND_HALF_LIFE_SECONDS
