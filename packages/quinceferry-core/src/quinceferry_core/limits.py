"""Division of each workspace's fleet-wide limits between routers, by claims.

Each router publishes the share of every limited workspace that it claims in its heartbeat record.
The record is written anyway, so that a claim costs no additional write. Four rules keep the sum of
the shares in use at or below the total:

1. A router uses a share only after it has read back its own claim, in the order in which the
   key-value store applied the writes, and only while the sum of all claims read is at most the
   total. Of two concurrent claims, the writer of the later one observes both.
2. A router stops using a share before it publishes a smaller claim.
3. A router that cannot publish keeps the share in use and does not increase it.
4. The last claim of a router whose lease expired counts until its VM has provably terminated.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from quinceferry_core.models import IncarnationId, Limits, WorkspaceId

BURST_SECONDS = 1.0
"""Size of a burst, as the time in which it accrues."""
MIN_REQUESTS_PER_SECOND = 1e-6
"""Request rate below which a workspace counts as idle."""
ROUNDING_TOLERANCE = 1e-9
"""Relative rounding error by which a sum of shares may exceed the total."""
MAX_UNCONFIRMED_CLAIMS = 32
"""Claims not yet read back at which claims stop changing, as in an outage of the store."""


@dataclass(slots=True, frozen=True)
class LimitClaim:
    """Share of one workspace's limits that a router claims, with its demand.

    ``share`` is a fraction of the rate limits, ``streams`` a number of streams, and ``demand`` the
    smoothed request rate in requests per second.
    """

    workspace: WorkspaceId
    share: float = 0.0
    streams: int = 0
    demand: float = 0.0

    @property
    def is_empty(self) -> bool:
        """Return whether the claim can be omitted from the record."""
        return not (self.share or self.streams or self.demand)


def demand_weights(
    demand_by_router: Mapping[IncarnationId, float], homes: Collection[IncarnationId]
) -> dict[IncarnationId, float]:
    """Return the share that each router should hold; the shares add up to one, or to zero.

    Shares are proportional to the demand. Without demand, the home routers hold equal shares, so
    that the first request finds a share.

    :param demand_by_router: smoothed request rate at each router, in requests per second.
    :param homes: routers to which callers of the workspace are directed.
    """
    total = sum(demand_by_router.values())
    if total < MIN_REQUESTS_PER_SECOND:
        return {router: 1.0 / len(homes) for router in homes}
    return {router: demand / total for router, demand in demand_by_router.items()}


def apportion(count: int, weights: Mapping[IncarnationId, float]) -> dict[IncarnationId, int]:
    """Divide whole units in proportion to weights, by the largest remainder method.

    Ties go to the lower identifier.
    """
    exact = {router: count * weight for router, weight in weights.items()}
    parts = {router: int(part) for router, part in exact.items()}
    by_remainder = sorted(exact, key=lambda router: (parts[router] - exact[router], router))
    rest = max(0, count - sum(parts.values())) if exact else 0
    for router in by_remainder[:rest]:
        parts[router] += 1
    return parts


@dataclass(slots=True)
class ClaimedShare:
    """A divisible quantity of which this router claims a share.

    ``unconfirmed`` holds the claims given to the heartbeat, from the one last read back onwards.
    Other routers may observe any of them, so that only their minimum may be used.
    """

    in_use: float = 0.0
    unconfirmed: list[float] = field(default_factory=lambda: [0.0])

    @property
    def next_claim(self) -> float:
        """Return the claim that the next heartbeat publishes."""
        return self.unconfirmed[-1]

    def confirm(self, read_back: float | None, claimed_by_others: float, total: float) -> None:
        """Raise the share in use as far as the claims of all routers allow.

        :param read_back: own claim as read from the store; None when it is missing.
        :param claimed_by_others: sum of all other claims, including those with an expired lease.
        :param total: maximum sum of all claims.
        """
        if read_back is None or read_back not in self.unconfirmed:
            return
        del self.unconfirmed[: self.unconfirmed.index(read_back)]
        if claimed_by_others + read_back <= total * (1.0 + ROUNDING_TOLERANCE):
            self.in_use = max(self.in_use, min(self.unconfirmed))

    def update_claim(
        self, target: float, claimed_by_others: float, total: float, has_precedence: bool
    ) -> None:
        """Choose the next claim: decrease it immediately, increase it only by what is free.

        Of several routers whose claims exceed the total, all but the first withdraw what they do
        not use.

        :param target: share that this router should hold.
        :param has_precedence: whether this router is the first of the claiming routers.
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
    """Token bucket of one rate limit.

    A rate of zero admits nothing. One large request may take ``level`` below zero.
    """

    level: float = 0.0
    updated_at: float = 0.0

    def refill(self, rate: float, now: float) -> None:
        """Add what has accrued since the last call, up to the burst size."""
        burst = max(rate * BURST_SECONDS, 1.0)
        self.level = min(burst, self.level + rate * max(0.0, now - self.updated_at))
        self.updated_at = now

    def seconds_until_fits(self, cost: float, rate: float) -> float:
        """Return the time until a cost can be admitted; one above the burst needs a full bucket."""
        needed = min(cost, max(rate * BURST_SECONDS, 1.0))
        if self.level >= needed:
            return 0.0
        return (needed - self.level) / rate if rate > 0 else float("inf")


@dataclass(slots=True)
class WorkspaceMeter:
    """Usage of one workspace's limits at this router."""

    requests: TokenBucket = field(default_factory=TokenBucket)
    tokens: TokenBucket = field(default_factory=TokenBucket)
    streams: int = 0

    def rate_wait_seconds(self, limits: Limits, share: float, tokens: int, now: float) -> float:
        """Return the seconds until a request fits the rate limits; zero when it fits now."""
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
        """Undo :meth:`admit` for a request that did not run."""
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
