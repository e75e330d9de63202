"""Who is turned away when a workspace is short of tokens.

The load: a workspace's tokens run out, or the store is away and only what the gateways hold can be
spent. Served in the order of arrival, many requests of little urgency use up what the urgent ones
need some seconds later, and these are refused until the end. Tokens are therefore kept for more
urgent requests, as many as they will likely ask for in the next seconds.
"""

import math
from collections import defaultdict

KEPT_SECONDS_FOR_EACH_RANK = 5.0
"""How many seconds' demand of more urgent requests is kept from a request, for each rank between
them. Outages of the store last for five to ten seconds, and two ranks are the usual distance."""
MEMORY_SECONDS = 20.0
"""Time over which demand is averaged; a gateway sees a workspace about once a second."""


class _Average:
    """Amount a second, averaged with exponential decay."""

    __slots__ = ("_at", "_sum")

    def __init__(self) -> None:
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self._sum = self._decayed(now) + amount
        self._at = now

    def per_second(self, now: float) -> float:
        """Return the average."""
        return self._decayed(now) / MEMORY_SECONDS

    def _decayed(self, now: float) -> float:
        """Return what is left of the sum."""
        return self._sum * math.exp((self._at - now) / MEMORY_SECONDS)


class TokenDemand:
    """The tokens that callers of this gateway ask for, by workspace and by rank of urgency.

    The ranks are averaged over all workspaces: one gateway sees too few requests of a single one.
    """

    __slots__ = ("_by_rank", "_by_workspace")

    def __init__(self) -> None:
        self._by_workspace: defaultdict[str, _Average] = defaultdict(_Average)
        self._by_rank: defaultdict[int, _Average] = defaultdict(_Average)

    def asked(self, workspace: str, rank: int, tokens: int, now: float) -> None:
        """Note a request.

        :param rank: urgency as configured, zero for the most urgent.
        """
        self._by_workspace[workspace].add(tokens, now)
        self._by_rank[rank].add(tokens, now)

    def kept_tokens(self, workspace: str, rank: int, gateways: int, now: float) -> float:
        """Return how many tokens of a workspace a request of this rank must leave to others.

        :param gateways: how many share the callers of the workspace.
        """
        by_rank = {key: item.per_second(now) for key, item in self._by_rank.items()}
        total = sum(by_rank.values())
        if not total:
            return 0.0
        weighted = sum((rank - other) * amount for other, amount in by_rank.items() if other < rank)
        demand = self._by_workspace[workspace].per_second(now) * gateways
        return KEPT_SECONDS_FOR_EACH_RANK * demand * weighted / total
