"""Connection pool for httpx that streams responses at low CPU cost."""

import asyncio
from collections import defaultdict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpx

from quinceferryd.http_connections import HttpConnection

FRESH_CONNECTION = "fresh_connection"
"""Request extension that opens a new connection, since an idle one may be closed undetected."""

DEFAULT_IDLE_SECONDS = 15.0
DEFAULT_MAX_IDLE_CONNECTIONS = 8
DEFAULT_PORT = 80

_Peer = tuple[str, int]


class StreamingTransport(httpx.AsyncBaseTransport):
    """Pool of plain HTTP/1.1 connections.

    A connection error before the request was written is :class:`httpx.ConnectError` or
    :class:`httpx.ConnectTimeout`; after any other error, bytes may have been sent.

    :param idle_seconds: how long an idle connection is kept.
    :param max_idle_connections: maximum number of idle connections per peer.
    """

    def __init__(
        self,
        idle_seconds: float = DEFAULT_IDLE_SECONDS,
        max_idle_connections: int = DEFAULT_MAX_IDLE_CONNECTIONS,
    ) -> None:
        self._idle_seconds = idle_seconds
        self._max_idle_connections = max_idle_connections
        self._idle_by_peer: defaultdict[_Peer, list[HttpConnection]] = defaultdict(list)
        self._last_sweep_at = 0.0

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return its response, whose body is read as a stream."""
        head = _request_head(request)
        body = await request.aread()
        timeouts = request.extensions.get("timeout", {})
        peer = (request.url.host, request.url.port or DEFAULT_PORT)
        connection = None if request.extensions.get(FRESH_CONNECTION) else self._pop_idle(peer)
        if connection is None:
            connection = await _connect(peer, timeouts.get("connect"))
        try:
            connection.send(head, body, request.method == "HEAD")
            async with _read_timeout(timeouts.get("read")):
                await connection.read_head()
        except BaseException:
            connection.abort()
            raise
        stream = _ResponseBody(self, peer, connection, timeouts.get("read"))
        return httpx.Response(connection.status, headers=connection.headers, stream=stream)

    async def aclose(self) -> None:
        """Close all idle connections."""
        for connections in self._idle_by_peer.values():
            for connection in connections:
                connection.abort()
        self._idle_by_peer.clear()

    def release(self, peer: _Peer, connection: HttpConnection) -> None:
        """Keep a connection for another exchange, or close it."""
        idle = self._idle_by_peer[peer]
        if not connection.is_reusable or len(idle) >= self._max_idle_connections:
            connection.abort()
            return
        now = asyncio.get_running_loop().time()
        connection.idle_since = now
        idle.append(connection)
        if now - self._last_sweep_at > self._idle_seconds:
            self._drop_expired(now)

    def _drop_expired(self, now: float) -> None:
        """Close the connections of all peers that have been idle too long."""
        self._last_sweep_at = now
        for peer, connections in list(self._idle_by_peer.items()):
            unexpired = [
                connection
                for connection in connections
                if connection.idle_since >= now - self._idle_seconds
            ]
            for connection in connections:
                if connection not in unexpired:
                    connection.abort()
            if unexpired:
                self._idle_by_peer[peer] = unexpired
            else:
                del self._idle_by_peer[peer]

    def _pop_idle(self, peer: _Peer) -> HttpConnection | None:
        """Return the most recently used idle connection, or None if all are expired."""
        idle = self._idle_by_peer[peer]
        min_idle_since = asyncio.get_running_loop().time() - self._idle_seconds
        while idle:
            connection = idle.pop()
            if connection.is_reusable and connection.idle_since >= min_idle_since:
                return connection
            connection.abort()
        return None


class _ResponseBody(httpx.AsyncByteStream):
    """Body stream of one response; closing it early closes the connection."""

    def __init__(
        self,
        pool: StreamingTransport,
        peer: _Peer,
        connection: HttpConnection,
        read_timeout_seconds: float | None,
    ) -> None:
        self._pool = pool
        self._peer = peer
        self._connection = connection
        self._read_timeout_seconds = read_timeout_seconds
        self._closed = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield body bytes as they arrive."""
        while True:
            if self._read_timeout_seconds is None:
                data = await self._connection.read_body()
            else:
                async with _read_timeout(self._read_timeout_seconds):
                    data = await self._connection.read_body()
            if not data:
                return
            yield data

    async def aclose(self) -> None:
        """Return the connection to the pool. Idempotent."""
        if not self._closed:
            self._closed = True
            self._pool.release(self._peer, self._connection)


@asynccontextmanager
async def _read_timeout(seconds: float | None) -> AsyncIterator[None]:
    """Limit the duration of a read.

    :raises httpx.ReadTimeout: the read timed out.
    """
    try:
        async with asyncio.timeout(seconds):
            yield
    except TimeoutError as error:
        raise httpx.ReadTimeout(f"nothing within {seconds} s") from error


async def _connect(peer: _Peer, seconds: float | None) -> HttpConnection:
    """Open a connection.

    :raises httpx.ConnectError: the peer refused it.
    :raises httpx.ConnectTimeout: the connection attempt timed out.
    """
    host, port = peer
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(seconds):
            _, connection = await loop.create_connection(HttpConnection, host, port)
    except TimeoutError as error:
        raise httpx.ConnectTimeout(f"no connection within {seconds} s") from error
    except OSError as error:
        raise httpx.ConnectError(repr(error)) from error
    return connection


def _request_head(request: httpx.Request) -> bytes:
    """Return the encoded request line and headers.

    :raises httpx.UnsupportedProtocol: the scheme of the URL is not ``http``.
    :raises httpx.LocalProtocolError: the request line or a header contains a line break.
    """
    if request.url.scheme != "http":
        raise httpx.UnsupportedProtocol(f"unsupported scheme {request.url.scheme!r}")
    lines = [b"%s %s HTTP/1.1" % (request.method.encode("ascii"), request.url.raw_path)]
    lines += [b"%s: %s" % header for header in request.headers.raw]
    if any(b"\r" in line or b"\n" in line for line in lines):
        raise httpx.LocalProtocolError("line break in a header")
    return b"\r\n".join(lines) + b"\r\n\r\n"
