"""Limits of each workspace over the whole fleet, divided between routers by claims.

Each router publishes in its heartbeat record the part of every limited workspace that it claims.
The record is written anyway, so a claim costs no write. Four rules keep the sum of the parts in use
at or below the whole:

1. A router uses a part only once it has read its own claim back, in the order in which the
   key-value service took the writes, and only while the sum of all claims read is at most the
   total. Of two concurrent claims, the writer of the later one sees both.
2. A router stops using a part before it publishes a smaller claim.
3. A router that cannot publish keeps the part in use and does not raise it.
4. The last claim of a router whose lease lapsed counts until its VM is proven gone.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from quinceferry_core.models import IncarnationId, Limits, WorkspaceId

BURST_SECONDS = 1.0
"""Tokens and requests of this many seconds may be used at once."""
MIN_REQUESTS_PER_SECOND = 1e-6
"""Requests a second below which a workspace counts as idle."""
ROUNDING_TOLERANCE = 1e-9
"""Relative error of a sum of shares that is not counted as above the total."""
MAX_UNCONFIRMED_CLAIMS = 32
"""Claims not read back after which none is changed, as in an outage of the key-value service."""


@dataclass(slots=True, frozen=True)
class LimitClaim:
    """Part of one workspace's limits that a router claims, with the demand it sees.

    ``share`` of the rates lies between zero and one, ``streams`` counts whole streams, ``demand``
    is in requests a second, smoothed.
    """

    workspace: WorkspaceId
    share: float = 0.0
    streams: int = 0
    demand: float = 0.0

    @property
    def is_empty(self) -> bool:
        """Return whether the claim may be left out of the record."""
        return not (self.share or self.streams or self.demand)


def demand_weights(
    demand_by_router: Mapping[IncarnationId, float], homes: Collection[IncarnationId]
) -> dict[IncarnationId, float]:
    """Return the share each router should hold; the shares add up to one, or to zero.

    Without any demand the home routers, to which callers are sent, hold equal parts, so that the
    first request finds a share. With demand, shares follow it.

    :param demand_by_router: smoothed requests a second at each router.
    :param homes: routers to which callers of the workspace are sent.
    """
    total = sum(demand_by_router.values())
    if total < MIN_REQUESTS_PER_SECOND:
        return {router: 1.0 / len(homes) for router in homes}
    return {router: demand / total for router, demand in demand_by_router.items()}


def apportion(count: int, weights: Mapping[IncarnationId, float]) -> dict[IncarnationId, int]:
    """Divide whole units by weights, by largest remainder; ties go to the lower identifier."""
    exact = {router: count * weight for router, weight in weights.items()}
    parts = {router: int(part) for router, part in exact.items()}
    by_remainder = sorted(exact, key=lambda router: (parts[router] - exact[router], router))
    rest = max(0, count - sum(parts.values())) if exact else 0
    for router in by_remainder[:rest]:
        parts[router] += 1
    return parts


@dataclass(slots=True)
class ClaimedShare:
    """One divisible quantity, of which this router claims a part.

    ``unconfirmed`` holds the claims handed to the heartbeat from the one last read back onwards,
    any of which the others may see; only their minimum may be used.
    """

    in_use: float = 0.0
    unconfirmed: list[float] = field(default_factory=lambda: [0.0])

    @property
    def next_claim(self) -> float:
        """Return the claim that the next heartbeat publishes."""
        return self.unconfirmed[-1]

    def confirm(self, read_back: float | None, claimed_by_others: float, total: float) -> None:
        """Raise the part in use as far as the view allows.

        :param read_back: own claim in the view, or None when the view does not hold it.
        :param claimed_by_others: sum of all other claims in the view, lapsed included.
        :param total: the sum that all claims together may reach.
        """
        if read_back is None or read_back not in self.unconfirmed:
            return
        del self.unconfirmed[: self.unconfirmed.index(read_back)]
        if claimed_by_others + read_back <= total * (1.0 + ROUNDING_TOLERANCE):
            self.in_use = max(self.in_use, min(self.unconfirmed))

    def update_claim(
        self, target: float, claimed_by_others: float, total: float, has_precedence: bool
    ) -> None:
        """Choose the next claim: a fall at once, a rise only into what is free.

        Of several routers whose claims collide, all but the first withdraw what they do not use.

        :param target: what this router should hold.
        :param has_precedence: whether this router is the first of those that claim.
        """
        if len(self.unconfirmed) >= MAX_UNCONFIRMED_CLAIMS:
            return
        free = max(0.0, total - claimed_by_others)
        retained = self.next_claim
        if claimed_by_others + retained > total * (1.0 + ROUNDING_TOLERANCE) and not has_precedence:
            retained = self.in_use
        claim = min(target, max(retained, free))
        self.in_use = min(self.in_use, claim)
        if claim != self.next_claim:
            self.unconfirmed.append(claim)


@dataclass(slots=True)
class TokenBucket:
    """Rate limiter; zero rate admits nothing, ``level`` may go below zero by one large request."""

    level: float = 0.0
    updated_at: float = 0.0

    def refill(self, rate: float, now: float) -> None:
        """Add what has accrued since the last call, up to the burst."""
        burst = max(rate * BURST_SECONDS, 1.0)
        self.level = min(burst, self.level + rate * max(0.0, now - self.updated_at))
        self.updated_at = now

    def seconds_until_fits(self, cost: float, rate: float) -> float:
        """Return how long until a cost fits; a cost above the burst needs a full bucket."""
        needed = min(cost, max(rate * BURST_SECONDS, 1.0))
        if self.level >= needed:
            return 0.0
        return (needed - self.level) / rate if rate > 0 else float("inf")


@dataclass(slots=True)
class WorkspaceMeter:
    """Use of one workspace's limits at this router."""

    requests: TokenBucket = field(default_factory=TokenBucket)
    tokens: TokenBucket = field(default_factory=TokenBucket)
    streams: int = 0

    def rate_wait_seconds(self, limits: Limits, share: float, tokens: int, now: float) -> float:
        """Return seconds until a request fits the rate limits; zero when it fits now."""
        return max(
            _rate_limit_wait_seconds(self.requests, limits.requests_per_second, share, 1, now),
            _rate_limit_wait_seconds(self.tokens, limits.tokens_per_second, share, tokens, now),
        )

    def admit(self, limits: Limits, tokens: int) -> None:
        """Count one admitted request."""
        if limits.requests_per_second:
            self.requests.level -= 1
        if limits.tokens_per_second:
            self.tokens.level -= tokens
        self.streams += 1

    def refund(self, limits: Limits, tokens: int) -> None:
        """Take back the count of a request that did not run."""
        if limits.requests_per_second:
            self.requests.level += 1
        if limits.tokens_per_second:
            self.tokens.level += tokens
        self.end_stream()

    def end_stream(self) -> None:
        """Count the end of one stream."""
        self.streams = max(0, self.streams - 1)


def _rate_limit_wait_seconds(
    bucket: TokenBucket, limit: float, share: float, cost: float, now: float
) -> float:
    if not limit:
        return 0.0
    rate = limit * share
    bucket.refill(rate, now)
    return bucket.seconds_until_fits(cost, rate)
