"""All open connections of one server, and their limits."""

import math
from collections.abc import Callable, Collection
from operator import attrgetter
from typing import Any

import uvicorn
from uvicorn.server import ServerState

from quinceferry_http.limits import ClientLimits
from quinceferry_http.memory import ConnectionMemory
from quinceferry_http.protocol import BoundedProtocol

MIN_IDLE_SECONDS = 0.5
"""How long a connection must have been idle to be closed for another one; the request of a new one
may be on its way."""
MIN_UNFINISHED_SECONDS = 1.0
"""How long a request must have been arriving for its connection to be closed for another one."""
MIN_UNREAD_SECONDS = 1.0
"""How long an answer must have waited for its client to be given up for want of memory."""
REFUSED_SHARE = 0.05
"""Connections above the limit, as a share of it, that are accepted to refuse their requests."""


class Connections:
    """Open connections of one server.

    ``limits`` may be replaced, which has an effect on open connections too.

    :param limits: what a client may send.
    :param max_connections: above that, a new connection replaces the one that has been idle for
        longest, or else the one whose request has been arriving for longest; if there is none, its
        requests are to be refused.
    :param on_limit: called with ``idle``, ``unfinished``, ``refused`` or ``aborted`` for each
        connection that the limit of connections affects, and with ``oversized``, ``malformed``,
        ``late``, ``unread`` or ``memory`` for each client that is cut off for what it sends.
    :param memory: what all connections of the process share, by default nothing with others.
    :param state: uvicorn's state of the server, a new one by default.
    """

    def __init__(
        self,
        limits: ClientLimits,
        max_connections: float = math.inf,
        on_limit: Callable[[str], None] = lambda effect: None,
        memory: ConnectionMemory | None = None,
        state: ServerState | None = None,
    ) -> None:
        self.limits = limits
        self.record_limit = on_limit
        self._max_connections = max_connections
        self.memory = memory or ConnectionMemory()
        self.memory.add_eviction(self._evict_unfinished)
        self.memory.add_eviction(self._evict_unread)
        self._state = state or ServerState()

    def __len__(self) -> int:
        """Return the number of connections, including those that still send buffered bytes."""
        return len(self._state.connections)

    @property
    def open_requests(self) -> int:
        """Return the number of requests in progress, including those not yet seen by the app."""
        return len(self._state.tasks)

    def create_protocol(
        self,
        config: uvicorn.Config,
        server_state: ServerState | None = None,
        app_state: dict[str, Any] | None = None,
        _loop: Any = None,
    ) -> BoundedProtocol:
        """Return the protocol instance for a new connection; has the signature uvicorn expects."""
        return BoundedProtocol(self, config, self._state, app_state or {})

    def shutdown(self) -> None:
        """Close the idle connections, and the others after their answers."""
        for connection in list(self._state.connections):
            connection.shutdown()

    def admit(self, connection: BoundedProtocol) -> None:
        """Keep the number of connections within the limit after one was accepted."""
        if len(self) <= self._max_connections:
            return
        others = self._state.connections - {connection}
        if (idle := _longest(others, "idle_since", MIN_IDLE_SECONDS)) is not None:
            self._close(idle, "idle")
        elif (late := _longest(others, "unfinished_since", MIN_UNFINISHED_SECONDS)) is not None:
            self._state.connections.discard(late)
            late.refuse_unfinished("unfinished")
            late.close_now()
        elif len(self) <= (1 + REFUSED_SHARE) * self._max_connections:
            connection.mark_as_excess()
            self.record_limit("refused")
        else:
            self._close(connection, "aborted")

    def _evict_unfinished(self) -> bool:
        """Refuse the request that has been arriving for longest, if that is long."""
        holding = [item for item in self._state.connections if not item.is_refused]
        unfinished = _longest(holding, "unfinished_since", MIN_UNFINISHED_SECONDS)
        if unfinished is not None:
            unfinished.refuse_unfinished("memory")
        return unfinished is not None

    def _evict_unread(self) -> bool:
        """Close the connection whose client has not read for longest, if that is long."""
        unread = _longest(self._state.connections, "unread_since", MIN_UNREAD_SECONDS)
        if unread is not None:
            self._close(unread, "memory")
        return unread is not None

    def _close(self, connection: BoundedProtocol, effect: str) -> None:
        """Close a connection, which does not count any more."""
        self._state.connections.discard(connection)
        connection.close_now()
        self.record_limit(effect)


def _longest(
    connections: Collection[BoundedProtocol], since: str, least_seconds: float
) -> BoundedProtocol | None:
    """Return the connection that has been in a state for longest, None if none has for long.

    :param since: name of the attribute with the event loop time since which it is in that state.
    """
    longest = min(connections, key=attrgetter(since), default=None)
    if longest is None or longest.loop.time() - getattr(longest, since) < least_seconds:
        return None
    return longest
