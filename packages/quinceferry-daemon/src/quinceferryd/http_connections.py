"""HTTP/1.1 connections that hand over all body bytes of a read at once.

One call of the parser library serves each read from the socket, so that a streamed token costs
little CPU.
"""

import asyncio

import httptools
import httpx

MAX_BUFFERED_BYTES = 256 * 1024
"""Body bytes held for a slow reader before the socket is no longer read."""

# Shared by all connections: the parser copies what it needs before the next read.
_READ_BUFFER = memoryview(bytearray(64 * 1024))
_FIRST_FINAL_STATUS = 200


class HttpConnection(asyncio.BufferedProtocol):
    """One connection; carries one exchange at a time."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.idle_since = 0.0
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._has_no_body = False
        self._head_complete = False
        self._complete = True
        self._ends_at_close = False
        self._keeps_alive = True
        self._error: Exception | None = None
        self._body_parts: list[bytes] = []
        self._buffered_bytes = 0
        self._waiter: asyncio.Future[None] | None = None

    @property
    def reusable(self) -> bool:
        """Return whether another exchange may follow."""
        return self._complete and self._keeps_alive and self._error is None

    def send(self, head: bytes, body: bytes, has_no_body: bool) -> None:
        """Begin an exchange.

        :param head: request line and headers, with the empty line.
        :param head_only: the answer has no body whatever its headers say.
        """
        assert self._transport is not None
        self.status = 0
        self.headers = []
        self._parser = httptools.HttpResponseParser(self)
        self._has_no_body = has_no_body
        self._head_complete = False
        self._complete = False
        self._transport.write(head + body)

    async def read_head(self) -> None:
        """Wait for the status and the headers.

        :raises httpx.TransportError: the connection broke or the answer is malformed.
        """
        while not self._head_complete:
            await self._wait()

    async def read_body(self) -> bytes:
        """Wait for body bytes; return all that have arrived, or nothing at the end.

        :raises httpx.TransportError: the connection broke or the answer is malformed.
        """
        while not self._body_parts:
            if self._complete:
                return b""
            await self._wait()
        data = self._body_parts[0] if len(self._body_parts) == 1 else b"".join(self._body_parts)
        self._body_parts.clear()
        if self._buffered_bytes > MAX_BUFFERED_BYTES and self._error is None:
            self._transport.resume_reading()
        self._buffered_bytes = 0
        return data

    def abort(self) -> None:
        """Drop the connection at once."""
        self._keeps_alive = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read to."""
        return _READ_BUFFER

    def buffer_updated(self, size: int) -> None:
        """Parse what was read; bytes outside an exchange break the connection."""
        if self._complete:
            self._break_connection(httpx.RemoteProtocolError("bytes outside an exchange"))
            return
        try:
            self._parser.feed_data(_READ_BUFFER[:size])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._break_connection(httpx.RemoteProtocolError(repr(error)))
        if self._buffered_bytes > MAX_BUFFERED_BYTES and not self._transport.is_closing():
            self._transport.pause_reading()
        self._notify_reader()

    def connection_lost(self, error: Exception | None) -> None:
        """Note the end; an answer without a length is whole, any other is broken."""
        if self._ends_at_close and self._head_complete and error is None:
            self._complete = True
        if self._error is None:
            self._error = httpx.ReadError(repr(error) if error else "connection closed")
        self._notify_reader()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note how the answer ends; an interim answer is dropped."""
        self.status = self._parser.get_status_code()
        if self.status < _FIRST_FINAL_STATUS:
            self.headers.clear()
            return
        self._head_complete = True
        self._keeps_alive = self._parser.should_keep_alive() and not self._has_no_body
        names = {name for name, _ in self.headers}
        self._ends_at_close = not names & {b"content-length", b"transfer-encoding"}
        self._complete = self._has_no_body

    def on_body(self, data: bytes) -> None:
        """Collect body bytes."""
        self._body_parts.append(data)
        self._buffered_bytes += len(data)

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        if self._head_complete:
            self._complete = True

    async def _wait(self) -> None:
        """Wait for something to arrive, or raise what broke the connection."""
        if self._error is not None:
            raise self._error
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _notify_reader(self) -> None:
        """Wake the reader."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _break_connection(self, error: Exception) -> None:
        """Break the connection for a fault of the peer."""
        self._error = error
        self.abort()
