"""Combines the draws of waiting requests into one."""

import asyncio
from collections import defaultdict
from collections.abc import Callable

from quinceferry_gateway.decisions.last_tokens import WaitingRequest

StartDraw = Callable[[], asyncio.Task[None]]
"""Starts a draw of all tokens that are requested by the time it runs."""


class SharedDraw:
    """Draw shared by all requests that are waiting when it runs.

    One draw per request would be too slow: of five simultaneous requests for 1,700 tokens each, in
    a workspace with 9,000, the last one got only 1,418 in time.

    :param start_draw: starts the draw.
    """

    __slots__ = ("_next_draw", "_start_draw", "_waiting_by_workspace")

    def __init__(self, start_draw: StartDraw) -> None:
        self._start_draw = start_draw
        self._next_draw: asyncio.Task[None] | None = None
        self._waiting_by_workspace: defaultdict[str, list[WaitingRequest]] = defaultdict(list)

    def waiting(self, workspace: str) -> list[WaitingRequest]:
        """Return the requests that wait for tokens of a workspace, in order of arrival."""
        return self._waiting_by_workspace[workspace]

    async def join(self, workspace: str, request: WaitingRequest) -> None:
        """Add a request to the next draw and wait until it is done."""
        self._waiting_by_workspace[workspace].append(request)
        try:
            if self._next_draw is None or self._next_draw.done():
                self._next_draw = self._start_draw()
            await asyncio.wait((self._next_draw,))
        finally:
            self._waiting_by_workspace[workspace].remove(request)
