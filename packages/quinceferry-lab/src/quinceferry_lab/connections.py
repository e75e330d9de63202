"""One connection of the in-process network, and the errors of connections."""

import asyncio
from dataclasses import dataclass, field

from quinceferry_core.outcomes import AnswerEvent

Item = AnswerEvent | None
"""An event, or None for a sign of life."""

SOCKET_BUFFER_ITEMS = 32
"""Items on their way before the sender has to wait for the reader."""


class NotConnectedError(Exception):
    """No connection came about; nothing was sent."""


class ConnectionBrokenError(Exception):
    """The connection ended before the answer did.

    :param by: ``router`` when the sender ended it, ``network`` when a fault did.
    """

    def __init__(self, by: str) -> None:
        super().__init__(by)
        self.by = by


@dataclass(slots=True, frozen=True)
class End:
    """End of an answer; ``broken`` when the sender broke off."""

    broken: bool


@dataclass(slots=True, eq=False)
class Connection:
    """One connection on which one answer travels; the faults act on it.

    ``label`` names the serving process.
    """

    source: str
    target: str
    label: str
    arrivals: "asyncio.Queue[Item | End]" = field(
        default_factory=lambda: asyncio.Queue(SOCKET_BUFFER_ITEMS)
    )
    silent: bool = False
    ended_by: str = "network"
    broken: asyncio.Event = field(default_factory=asyncio.Event)
    server: asyncio.Task[None] | None = None

    @property
    def breaker(self) -> str:
        """Return who broke the connection: a fault, or the router itself."""
        return self.ended_by if self.broken.is_set() else "router"

    def break_off(self) -> None:
        """Break the connection; both ends learn of it."""
        self.broken.set()
