"""HTTP/1.1 client connections that return all body bytes of a socket read at once.

Each read from the socket needs a single call of the parser library, which keeps the CPU cost per
streamed token low.
"""

import asyncio

import httptools
import httpx

MAX_BUFFERED_BYTES = 256 * 1024
"""Body bytes buffered for a slow reader before reading from the socket is paused."""

# Shared by all connections, since the parser copies the data before the next read.
_READ_BUFFER = memoryview(bytearray(64 * 1024))
_FIRST_FINAL_STATUS = 200


class HttpConnection(asyncio.BufferedProtocol):
    """One client connection, which carries one exchange at a time."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.idle_since = 0.0
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._has_no_body = False
        self._is_head_complete = False
        self._is_complete = True
        self._ends_at_close = False
        self._keeps_alive = True
        self._error: Exception | None = None
        self._body_parts: list[bytes] = []
        self._buffered_bytes = 0
        self._waiter: asyncio.Future[None] | None = None

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection can carry another exchange."""
        return self._is_complete and self._keeps_alive and self._error is None

    def send(self, head: bytes, body: bytes, has_no_body: bool) -> None:
        """Start an exchange.

        :param head: request line and headers, including the final empty line.
        :param body: body of the request.
        :param has_no_body: whether the response has no body regardless of its headers.
        """
        assert self._transport is not None
        self.status = 0
        self.headers = []
        self._parser = httptools.HttpResponseParser(self)
        self._has_no_body = has_no_body
        self._is_head_complete = False
        self._is_complete = False
        self._transport.write(head + body)

    async def read_head(self) -> None:
        """Wait for the status and the headers.

        :raises httpx.TransportError: the connection was interrupted or the response is malformed.
        """
        while not self._is_head_complete:
            await self._wait()

    async def read_body(self) -> bytes:
        """Wait for body bytes and return all that have arrived, or ``b""`` at the end of the body.

        :raises httpx.TransportError: the connection was interrupted or the response is malformed.
        """
        while not self._body_parts:
            if self._is_complete:
                return b""
            await self._wait()
        data = self._body_parts[0] if len(self._body_parts) == 1 else b"".join(self._body_parts)
        self._body_parts.clear()
        if self._buffered_bytes > MAX_BUFFERED_BYTES and self._error is None:
            self._transport.resume_reading()
        self._buffered_bytes = 0
        return data

    def abort(self) -> None:
        """Close the connection immediately."""
        self._keeps_alive = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport; called by the event loop."""
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next socket read."""
        return _READ_BUFFER

    def buffer_updated(self, size: int) -> None:
        """Parse the bytes read; bytes outside an exchange are a protocol error."""
        if self._is_complete:
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
        """Handle the end of the connection.

        It completes a response without a length; any other open response is incomplete.
        """
        if self._ends_at_close and self._is_head_complete and error is None:
            self._is_complete = True
        if self._error is None:
            self._error = httpx.ReadError(repr(error) if error else "connection closed")
        self._notify_reader()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one response header; called by the parser."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determine how the response ends; interim responses are ignored."""
        self.status = self._parser.get_status_code()
        if self.status < _FIRST_FINAL_STATUS:
            self.headers.clear()
            return
        self._is_head_complete = True
        self._keeps_alive = self._parser.should_keep_alive() and not self._has_no_body
        names = {name for name, _ in self.headers}
        self._ends_at_close = not names & {b"content-length", b"transfer-encoding"}
        self._is_complete = self._has_no_body

    def on_body(self, data: bytes) -> None:
        """Buffer body bytes; called by the parser."""
        self._body_parts.append(data)
        self._buffered_bytes += len(data)

    def on_message_complete(self) -> None:
        """Mark the response as complete; called by the parser."""
        if self._is_head_complete:
            self._is_complete = True

    async def _wait(self) -> None:
        """Wait for new data, or raise the error of the connection."""
        if self._error is not None:
            raise self._error
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _notify_reader(self) -> None:
        """Wake the waiting reader, if there is one."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _break_connection(self, error: Exception) -> None:
        """Close the connection after a protocol error of the peer."""
        self._error = error
        self.abort()
