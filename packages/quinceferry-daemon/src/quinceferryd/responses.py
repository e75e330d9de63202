"""ASGI responses that relay an answer while it is generated.

The relay reads one event at a time and writes it before it reads the next, so a slow reader applies
backpressure to the upstream and nothing accumulates here. When the reader disconnects, the relay is
cancelled, which closes the iterator of events.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from litestar.types import Message, Receive, Scope, Send

Header = tuple[bytes, bytes]
"""Header name in lower case, and its value."""


class ResponseWriter:
    """Writes one HTTP response.

    :param send: ASGI send function.
    :param headers: headers added to every response.
    """

    __slots__ = ("_headers", "_loop", "_send", "finished", "started", "waiting_since")

    def __init__(self, send: Send, headers: tuple[Header, ...] = ()) -> None:
        self._send = send
        self._headers = headers
        self._loop = asyncio.get_running_loop()
        self.started = False
        self.finished = False
        self.waiting_since: float | None = None
        """Loop time at which the pending write began; None if no write is pending."""

    async def start(self, status: int, headers: list[Header]) -> None:
        """Write the status line and headers."""
        self.started = True
        headers = [*self._headers, *headers]
        await self._write({"type": "http.response.start", "status": status, "headers": headers})

    async def write(self, body: bytes) -> None:
        """Write a part of the body."""
        await self._write({"type": "http.response.body", "body": body, "more_body": True})

    async def finish(self, body: bytes = b"") -> None:
        """Write the last part of the body."""
        self.finished = True
        await self._write({"type": "http.response.body", "body": body, "more_body": False})

    async def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write a complete response."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [*headers, length])
        await self.finish(body)

    async def _write(self, message: Message) -> None:
        """Send one ASGI message and track how long the write is pending."""
        self.waiting_since = self._loop.time()
        await self._send(message)
        self.waiting_since = None


Relay = Callable[[ResponseWriter], Coroutine[Any, Any, None]]
"""Writes one response; cancelled when the reader disconnects."""


class RelayResponse:
    """ASGI response written by a coroutine.

    :param relay: writes the response.
    :param write_timeout_seconds: time limit for one write to a slow reader.
    :param headers: headers added to every response.
    """

    __slots__ = ("_headers", "_relay", "_write_timeout_seconds")

    def __init__(
        self, relay: Relay, write_timeout_seconds: float, headers: tuple[Header, ...] = ()
    ) -> None:
        self._relay = relay
        self._write_timeout_seconds = write_timeout_seconds
        self._headers = headers

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the relay until it ends, or the reader disconnects or stalls."""
        writer = ResponseWriter(send, self._headers)
        relay = asyncio.create_task(self._relay(writer))
        disconnect_watcher = asyncio.create_task(_cancel_on_disconnect(receive, writer, relay))
        stall_detector = _StallDetector(writer, relay, self._write_timeout_seconds)
        try:
            await relay
        except asyncio.CancelledError:
            if not (disconnect_watcher.done() or stall_detector.stalled):
                raise
        finally:
            disconnect_watcher.cancel()
            stall_detector.close()


class _StallDetector:
    """Cancels a relay whose reader has stalled.

    Checking periodically costs less than a timer for each write.
    """

    __slots__ = ("_loop", "_relay", "_timeout_seconds", "_timer", "_writer", "stalled")

    def __init__(
        self, writer: ResponseWriter, relay: asyncio.Task[None], timeout_seconds: float
    ) -> None:
        self.stalled = False
        self._writer = writer
        self._relay = relay
        self._timeout_seconds = timeout_seconds
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(timeout_seconds, self._check)

    def close(self) -> None:
        """Stop checking."""
        self._timer.cancel()

    def _check(self) -> None:
        """Cancel the relay if its write timed out, else schedule the next check."""
        waiting_since = self._writer.waiting_since
        waited_seconds = 0.0 if waiting_since is None else self._loop.time() - waiting_since
        if waited_seconds >= self._timeout_seconds:
            self.stalled = True
            self._relay.cancel()
            return
        self._timer = self._loop.call_later(self._timeout_seconds - waited_seconds, self._check)


async def _cancel_on_disconnect(
    receive: Callable[[], Awaitable[Any]], writer: ResponseWriter, relay: asyncio.Task[None]
) -> None:
    """Cancel the relay when the reader disconnects, unless the response is finished."""
    message = await receive()
    while message["type"] != "http.disconnect":
        message = await receive()
    if not writer.finished:
        relay.cancel()
