"""Decides which requests may draw the last tokens of a workspace.

Requests of a workspace may differ in size by a factor of a hundred. First come, first served, the
largest ones take most of the last tokens, and from then on all callers are refused alike. So a
small share of each budget is kept for small requests and spent slowly. No holder draws it ahead of
demand, so that it outlasts a loss of all holders. The share is small because callers are refused
for it while the balance would cover their requests.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

SPENDING_SECONDS = 10.0
"""Time for which the kept tokens should last, whatever callers ask for."""
MIN_PARTS = 4
"""Least number of requests for which the kept tokens must suffice."""
MIN_PARTS_AT_RATE = 8
"""The same while they are spent as fast as they should be."""


@dataclass(slots=True, frozen=True)
class WaitingRequest:
    """A request that waits for ``missing`` of the ``tokens`` that it needs."""

    missing: int
    tokens: int


@dataclass(slots=True, frozen=True)
class LastTokens:
    """Tokens that requests may draw, and how many of them are kept for small ones.

    ``drawable`` counts the undrawn tokens of a workspace, and those that the holder has already.
    ``drawn_per_second`` is the rate at which tokens of the workspace are drawn.
    """

    drawable: int
    kept: int
    drawn_per_second: float

    @property
    def max_request_tokens(self) -> float:
        """Return the size of the largest request that may draw kept tokens.

        It shrinks when they are spent too fast and grows when they are spent too slowly, so that
        whatever sizes are asked for, some are granted.
        """
        left = max(0, min(self.drawable, self.kept))
        intended_per_second = left / SPENDING_SECONDS
        part_at_rate = left / MIN_PARTS_AT_RATE
        part = part_at_rate * intended_per_second / max(1.0, self.drawn_per_second)
        return min(left / MIN_PARTS, part)

    def may_draw(self, request: WaitingRequest) -> bool:
        """Return whether a request may draw what it is missing."""
        if self.drawable - request.missing >= self.kept:
            return True
        return request.tokens <= self.max_request_tokens

    def is_too_large(self, request: WaitingRequest) -> bool:
        """Return whether a request may not draw although there are enough tokens for it."""
        return self.drawable >= request.missing and not self.may_draw(request)

    def granted_tokens(self, requests: Iterable[WaitingRequest]) -> int:
        """Return the missing tokens of those requests that may draw, one after the other."""
        rest = self
        for request in requests:
            if rest.may_draw(request):
                rest = replace(rest, drawable=rest.drawable - request.missing)
        return self.drawable - rest.drawable
