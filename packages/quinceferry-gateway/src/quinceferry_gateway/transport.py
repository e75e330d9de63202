"""HTTP client for upstreams, peers and the store: one connection for each exchange.

A new connection costs one round trip and avoids the faults of reused ones: idle connections that
are dead, answers to earlier requests, and addresses that now belong to another process.
"""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import httpcore

from quinceferry_core.exceptions import QuinceferryError
from quinceferry_gateway.addresses import host_and_port
from quinceferry_gateway.decisions.chunk_pacing import ChunkPacer
from quinceferry_gateway.exceptions import (
    ConnectionBrokenError,
    NotListeningError,
    NotSentError,
    PeerClosedError,
)
from quinceferry_gateway.interfaces import Headers
from quinceferry_gateway.network import HeadLimitedBackend

CONNECT_TIMEOUT_SECONDS = 0.7
"""Longest wait for a connection. It normally takes a few milliseconds within a region, a lost
packet adds about 200 ms, and callers allow one second for a new connection."""
MAX_TRANSFER_SECONDS = 10.0
"""Longest time for the body of a whole answer; one megabyte takes 8.4 s at 1 Mbit/s."""
MAX_UNACKNOWLEDGED_MILLISECONDS = 2_500
"""How long sent bytes may stay unacknowledged, which tolerates two lost packets in a row."""

_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MILLISECONDS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
]

_NOT_SENT_ERRORS = (httpcore.ConnectTimeout, httpcore.UnsupportedProtocol)
_BROKEN_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


@dataclass(slots=True, frozen=True)
class Reply:
    """Answer with its whole body."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class OpenReply:
    """Answer whose body is still being received.

    :param response: the response object of the HTTP library.
    :param peer: address of the server, for error messages.
    """

    def __init__(self, response: httpcore.Response, peer: str) -> None:
        self.status = response.status
        self.headers = tuple(response.headers)
        self._response = response
        self._peer = peer

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive.

        :raises ConnectionBrokenError: the body ended early.
        """
        loop = asyncio.get_running_loop()
        pacer = ChunkPacer(loop.time())
        try:
            async for chunk in self._response.aiter_stream():
                yield chunk
                if pacer.chunk_received(len(chunk)):
                    await asyncio.sleep(pacer.pause_seconds(loop.time()))
        except _BROKEN_ERRORS as error:
            raise _connection_error(error, "body", self._peer) from error


class HttpClient:
    """Sends each request on a connection of its own."""

    @asynccontextmanager
    async def open(
        self,
        address: str,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes = b"",
        *,
        connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
    ) -> AsyncIterator[OpenReply]:
        """Send a request and yield its answer once the headers have arrived.

        Leaving the context closes the connection. There is no timeout except that for connecting.

        :raises NotListeningError: the connection was refused.
        :raises NotSentError: the connection could not be established for another reason.
        :raises ConnectionBrokenError: the connection failed after bytes may have been sent.
        """
        host, port = host_and_port(address)
        request = httpcore.Request(
            method,
            httpcore.URL(scheme=b"http", host=host.encode(), port=port, target=target),
            headers=list(headers),
            content=body,
            extensions={"timeout": {"connect": connect_timeout_seconds}},
        )
        backend = HeadLimitedBackend()
        connection = httpcore.AsyncHTTPConnection(
            httpcore.Origin(b"http", host.encode(), port),
            network_backend=backend,
            socket_options=_SOCKET_OPTIONS,
        )
        try:
            try:
                response = await connection.handle_async_request(request)
            except httpcore.ConnectError as error:
                raise NotListeningError(repr(error), step="connect", peer=address) from error
            except _NOT_SENT_ERRORS as error:
                raise NotSentError(repr(error), step="connect", peer=address) from error
            except _BROKEN_ERRORS as error:
                raise _connection_error(error, "exchange", address) from error
            if backend.stream is not None:
                backend.stream.head_received = True
            yield OpenReply(response, address)
        finally:
            await connection.aclose()

    async def listens(self, address: str, timeout_seconds: float) -> bool:
        """Return whether a server accepts connections at an address; nothing is sent to it."""
        host, port = host_and_port(address)
        try:
            async with asyncio.timeout(timeout_seconds):
                _, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    async def fetch(
        self,
        address: str,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes = b"",
        *,
        timeout_seconds: float,
    ) -> Reply:
        """Send a request and return its whole answer.

        The timeout does not limit the whole transfer, whose duration grows with its size: a
        transfer that is aborted only because it is long would be retried and fail again.

        :param timeout_seconds: longest wait for the head of the answer, and then for each chunk of
            its body.
        :raises NotSentError: the connection could not be established.
        :raises ConnectionBrokenError: the exchange failed or timed out after bytes may have been
            sent.
        """
        received = bytearray()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds + MAX_TRANSFER_SECONDS
        try:
            async with asyncio.timeout(timeout_seconds) as timeout:
                async with self.open(address, method, target, headers, body) as reply:
                    async for chunk in reply.chunks():
                        received += chunk
                        timeout.reschedule(min(deadline, loop.time() + timeout_seconds))
                    return Reply(reply.status, reply.headers, bytes(received))
        except TimeoutError as error:
            detail = f"timeout after {len(received)} bytes"
            raise ConnectionBrokenError(detail, step="exchange", peer=address) from error


def _connection_error(error: Exception, step: str, peer: str) -> QuinceferryError:
    """Return the error for a connection that failed after it was established."""
    if isinstance(error, httpcore.TimeoutException):
        return ConnectionBrokenError(repr(error), step=step, peer=peer)
    return PeerClosedError(repr(error), step=step, peer=peer)
