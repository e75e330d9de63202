"""Serves ASGI applications with uvicorn, each on an address of its own."""

import asyncio
import math
import socket
from collections.abc import Callable
from typing import Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from quinceferry_gateway.addresses import host_and_port

BACKLOG_CONNECTIONS = 512
"""Maximum number of connections that wait to be accepted."""
MIN_IDLE_SECONDS = 0.5
"""How long a connection must have been idle to be closed for another one; the request of a new one
may be on its way."""
REFUSED_SHARE = 0.05
"""Connections above the limit, as a share of it, that are accepted to refuse their requests."""
EXCESS_STATE = "excess"
"""Key of the ASGI state of connections that were accepted above the limit."""


class _BoundedProtocol(HttpToolsProtocol):
    """Connection that knows since when it has been idle.

    ``idle_since`` is the event loop time of its last answer or of its start, infinite while a
    request is in progress.
    """

    def __init__(self, listener: "HttpListener", config: uvicorn.Config, state: ServerState):
        super().__init__(config, state, {})
        self._listener = listener
        self.idle_since = self.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register a new connection."""
        super().connection_made(transport)
        self._listener.admit(self)

    def data_received(self, data: bytes) -> None:
        """Pass received bytes on to the parser."""
        self.idle_since = math.inf
        super().data_received(data)

    def on_response_complete(self) -> None:
        """Begin the next request, or become idle."""
        super().on_response_complete()
        if not self.pipeline:
            self.idle_since = self.loop.time()

    def mark_as_excess(self) -> None:
        """Tell the application that the connection exceeds the limit."""
        self.app_state[EXCESS_STATE] = True


class HttpListener:
    """Serves one ASGI application on one address.

    :param app: the ASGI application.
    :param address: ``host:port``.
    :param idle_timeout_seconds: how long a connection may stay idle.
    :param max_connections: above that, a new connection replaces the one that has been idle for
        longest; if none is idle, its requests are to be refused.
    :param on_limit: called with ``idle``, ``refused`` or ``aborted`` for each connection that the
        limit affects.
    """

    def __init__(
        self,
        app: Any,
        address: str,
        idle_timeout_seconds: float,
        max_connections: float = math.inf,
        on_limit: Callable[[str], None] = lambda effect: None,
    ) -> None:
        self._address = address
        self._max_connections = max_connections
        self._on_limit = on_limit
        self._config = uvicorn.Config(
            app,
            log_config=None,
            log_level="critical",
            access_log=False,
            lifespan="off",
            http="httptools",
            ws="none",
            interface="asgi3",
            server_header=False,
            date_header=False,
            timeout_keep_alive=idle_timeout_seconds,
        )
        self._state = ServerState()
        self._server: asyncio.Server | None = None

    @property
    def open_requests(self) -> int:
        """Return the number of requests in progress, including those not yet seen by the app."""
        return len(self._state.tasks)

    @property
    def open_connections(self) -> int:
        """Return the number of connections, including those that still send buffered bytes."""
        return len(self._state.connections)

    async def start(self) -> None:
        """Start to listen and serve.

        :raises OSError: the address can't be bound.
        """
        self._config.load()
        self._server = await asyncio.get_running_loop().create_server(
            self._create_protocol, sock=_create_listening_socket(self._address)
        )

    def stop_listening(self) -> None:
        """Accept no more connections; requests on open ones are still served."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Accept no more connections, close the idle ones, and the others after their answers."""
        self.stop_listening()
        for connection in list(self._state.connections):
            connection.shutdown()

    def admit(self, connection: _BoundedProtocol) -> None:
        """Keep the number of connections within the limit after one was accepted."""
        if self.open_connections <= self._max_connections:
            return
        longest_idle = min(
            self._state.connections - {connection},
            key=lambda item: item.idle_since,
            default=connection,
        )
        if connection.idle_since - longest_idle.idle_since >= MIN_IDLE_SECONDS:
            self._close(longest_idle, "idle")
        elif self.open_connections <= (1 + REFUSED_SHARE) * self._max_connections:
            connection.mark_as_excess()
            self._on_limit("refused")
        else:
            self._close(connection, "aborted")

    def _close(self, connection: _BoundedProtocol, effect: str) -> None:
        """Close a connection, which does not count any more."""
        self._state.connections.discard(connection)
        connection.transport.close()
        self._on_limit(effect)

    def set_idle_timeout_seconds(self, seconds: float) -> None:
        """Change the idle timeout of connections that are accepted from now on."""
        self._config.timeout_keep_alive = seconds

    def _create_protocol(self) -> HttpToolsProtocol:
        """Return the protocol instance for a new connection."""
        return _BoundedProtocol(self, self._config, self._state)


def _create_listening_socket(address: str) -> socket.socket:
    """Return a listening socket.

    The protocol is set explicitly, because the event loop sends small writes without delay only on
    sockets that are created with it.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(host_and_port(address))
    listener.listen(BACKLOG_CONNECTIONS)
    listener.setblocking(False)
    return listener
