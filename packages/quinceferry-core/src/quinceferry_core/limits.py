"""Limits of each workspace over the whole fleet, divided between routers by claims.

Each router publishes in its heartbeat record the share of every limited workspace that it claims.
The record is written anyway, so a claim costs no write. Four rules keep the sum of the shares in use
at or below one:

1. A router uses a share only once it has read its own claim back, in the order in which the
   key-value service took the writes, together with the claims written before it, and only while the
   sum of all claims read is at most one. Of two concurrent claims the later writer sees the earlier.
2. A router stops using a share before it publishes a smaller claim.
3. A router that cannot publish keeps the share in use and does not raise it.
4. The last claim of a router whose lease lapsed counts until its VM is proven gone.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from quinceferry_core.models import IncarnationId, Limits, WorkspaceId

BURST_SECONDS = 1.0
"""Tokens and requests of this many seconds may be used at once."""
MIN_DEMAND = 1e-6
"""Requests a second below which a workspace counts as idle."""
ROUNDING = 1e-9
"""Relative error of a sum of shares that is not counted as above the whole."""


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
    if total < MIN_DEMAND:
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


def next_claim(current: float, target: float, claimed_by_others: float, whole: float) -> float:
    """Return the claim to publish next: a fall at once, a rise only into what is free.

    :param current: own claim published last.
    :param target: what this router should hold.
    :param claimed_by_others: sum of all other claims, lapsed routers' included.
    :param whole: the sum that all claims together may reach.
    """
    if target <= current:
        return target
    free = max(0.0, whole - claimed_by_others)
    return min(target, max(current, free))


def usable_claim(
    in_use: float, wanted: float, read_back: float | None, claimed_by_others: float, whole: float
) -> float:
    """Return how much of a claim may be used, by the rules of this module.

    :param in_use: what was used until now.
    :param wanted: the claim last handed to the heartbeat.
    :param read_back: own claim in the view, or None when the view does not hold it.
    :param claimed_by_others: sum of all other claims in the same view, lapsed routers' included.
    :param whole: the sum that all claims together may reach.
    """
    if wanted <= in_use:
        return wanted
    if read_back is None or claimed_by_others + read_back > whole * (1.0 + ROUNDING):
        return in_use
    return max(in_use, min(wanted, read_back))


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

    def seconds_until(self, cost: float, rate: float) -> float:
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

    def rate_wait(self, limits: Limits, share: float, tokens: int, now: float) -> float:
        """Return seconds until a request fits the rate limits; zero when it fits now."""
        return max(
            _wait(self.requests, limits.requests_per_second, share, 1, now),
            _wait(self.tokens, limits.tokens_per_second, share, tokens, now),
        )

    def take(self, limits: Limits, tokens: int) -> None:
        """Count one admitted request."""
        if limits.requests_per_second:
            self.requests.level -= 1
        if limits.tokens_per_second:
            self.tokens.level -= tokens
        self.streams += 1

    def leave(self) -> None:
        """Count the end of one stream."""
        self.streams -= 1


def _wait(bucket: TokenBucket, limit: float, share: float, cost: float, now: float) -> float:
    if not limit:
        return 0.0
    rate = limit * share
    bucket.refill(rate, now)
    return bucket.seconds_until(cost, rate)
