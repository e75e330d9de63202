"""Runs a stand-in's HTTP application on a socket whose port may be chosen by the system."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import uvicorn

_GRACE_SECONDS = 1
"""How long requests in progress may go on after a stop; then they are cut."""

_KEEP_ALIVE_SECONDS = 75
"""How long an idle connection stays open; longer than clients keep one, so that they never send on
a connection that is being closed."""


def listen(host: str, port: int) -> socket.socket:
    """Return a listening socket.

    :param host: IP number to bind.
    :param port: port to bind; zero lets the system choose.
    :return: the socket, which queues connections from now on.
    """
    listener = socket.create_server((host, port))
    # Connections inherit it. Without it, the head and the body of an answer are two packets, of
    # which the second waits some 40 ms for the other end's acknowledgement.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def url_of(listener: socket.socket) -> str:
    """Return the HTTP address of a listening socket, with its actual port."""
    host, port = listener.getsockname()[:2]
    return f"http://{host}:{port}"


def make_server(app: Any) -> uvicorn.Server:
    """Return a server for an ASGI application."""
    config = uvicorn.Config(
        app,
        log_level="warning",
        access_log=False,
        timeout_keep_alive=_KEEP_ALIVE_SECONDS,
        timeout_graceful_shutdown=_GRACE_SECONDS,
    )
    return uvicorn.Server(config)


async def serve(app: Any, listener: socket.socket) -> None:
    """Serve until the process is told to stop."""
    await make_server(app).serve(sockets=[listener])


@asynccontextmanager
async def running(app: Any, host: str = "127.0.0.1") -> AsyncIterator[str]:
    """Serve an application beside the calling task, and stop it at the end.

    :param app: the ASGI application.
    :param host: IP number to bind; the system chooses the port.
    :return: the HTTP address.
    """
    listener = listen(host, 0)
    server = make_server(app)
    task = asyncio.create_task(server.serve(sockets=[listener]))
    try:
        yield url_of(listener)
    finally:
        server.should_exit = True
        await task
