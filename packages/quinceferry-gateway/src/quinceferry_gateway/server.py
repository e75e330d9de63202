"""Serves ASGI applications with uvicorn, each on an address of its own."""

import asyncio
import math
import socket
from collections.abc import Callable
from typing import Any

import uvicorn

from quinceferry_gateway.addresses import host_and_port
from quinceferry_http import ClientLimits, ConnectionMemory, Connections

BACKLOG_CONNECTIONS = 512
"""Maximum number of connections that wait to be accepted."""


class HttpListener:
    """Serves one ASGI application on one address.

    :param app: the ASGI application.
    :param address: ``host:port``.
    :param idle_timeout_seconds: how long a connection may stay idle.
    :param max_connections: as for :class:`Connections`.
    :param on_limit: as for :class:`Connections`.
    :param memory: as for :class:`Connections`.
    """

    def __init__(
        self,
        app: Any,
        address: str,
        idle_timeout_seconds: float,
        max_connections: float = math.inf,
        on_limit: Callable[[str], None] = lambda effect: None,
        memory: ConnectionMemory | None = None,
    ) -> None:
        self._address = address
        self._connections = Connections(ClientLimits(), max_connections, on_limit, memory)
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
        self._server: asyncio.Server | None = None

    @property
    def open_requests(self) -> int:
        """Return the number of requests in progress, including those not yet seen by the app."""
        return self._connections.open_requests

    @property
    def open_connections(self) -> int:
        """Return the number of connections, including those that still send buffered bytes."""
        return len(self._connections)

    async def start(self) -> None:
        """Start to listen and serve.

        :raises OSError: the address can't be bound.
        """
        self._config.load()
        self._server = await asyncio.get_running_loop().create_server(
            lambda: self._connections.create_protocol(self._config),
            sock=_create_listening_socket(self._address),
        )

    def stop_listening(self) -> None:
        """Accept no more connections; requests on open ones are still served."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Accept no more connections, close the idle ones, and the others after their answers."""
        self.stop_listening()
        self._connections.shutdown()

    def set_client_limits(self, limits: ClientLimits) -> None:
        """Change what clients may send, on open connections too."""
        self._connections.limits = limits

    def set_idle_timeout_seconds(self, seconds: float) -> None:
        """Change the idle timeout of connections that are accepted from now on."""
        self._config.timeout_keep_alive = seconds


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
