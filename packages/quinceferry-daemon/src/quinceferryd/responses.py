"""ASGI responses that relay an answer while it is produced.

The relay pulls one event at a time and writes it before it pulls the next, so a slow reader slows
the upstream and nothing piles up here. When the reader disconnects, the relay is cancelled, which
closes the iterator of events.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from litestar.types import Message, Receive, Scope, Send

Header = tuple[bytes, bytes]
"""Name in lower case, and value."""


class ReaderStalledError(Exception):
    """The reader took no byte for the whole write timeout."""


class ResponseWriter:
    """Writes one HTTP response.

    :param send: ASGI send function.
    :param write_timeout_seconds: how long one write may wait for the reader.
    :param headers: headers of every response.
    """

    __slots__ = ("_headers", "_send", "_write_timeout_seconds", "finished", "started")

    def __init__(
        self, send: Send, write_timeout_seconds: float, headers: tuple[Header, ...] = ()
    ) -> None:
        self._send = send
        self._write_timeout_seconds = write_timeout_seconds
        self._headers = headers
        self.started = False
        self.finished = False

    async def start(self, status: int, headers: list[Header]) -> None:
        """Write the status line and headers."""
        self.started = True
        headers = [*self._headers, *headers]
        await self._write({"type": "http.response.start", "status": status, "headers": headers})

    async def write(self, body: bytes) -> None:
        """Write a piece of the body.

        :raises ReaderStalledError: the reader is stuck.
        """
        await self._write({"type": "http.response.body", "body": body, "more_body": True})

    async def finish(self, body: bytes = b"") -> None:
        """Write the last piece of the body."""
        self.finished = True
        await self._write({"type": "http.response.body", "body": body, "more_body": False})

    async def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write a whole response."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [*headers, length])
        await self.finish(body)

    async def _write(self, message: Message) -> None:
        """Send one message within the write timeout."""
        try:
            async with asyncio.timeout(self._write_timeout_seconds):
                await self._send(message)
        except TimeoutError as error:
            raise ReaderStalledError from error


Relay = Callable[[ResponseWriter], Coroutine[Any, Any, None]]
"""Writes one response; cancelled when the reader disconnects."""


class RelayResponse:
    """ASGI response written by a coroutine.

    :param relay: writes the response.
    :param write_timeout_seconds: how long one write may wait for the reader.
    :param headers: headers of every response.
    """

    __slots__ = ("_headers", "_relay", "_write_timeout_seconds")

    def __init__(
        self, relay: Relay, write_timeout_seconds: float, headers: tuple[Header, ...] = ()
    ) -> None:
        self._relay = relay
        self._write_timeout_seconds = write_timeout_seconds
        self._headers = headers

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the relay until it ends or the reader disconnects."""
        writer = ResponseWriter(send, self._write_timeout_seconds, self._headers)
        relay = asyncio.create_task(self._relay(writer))
        watcher = asyncio.create_task(_cancel_on_disconnect(receive, writer, relay))
        try:
            await relay
        except ReaderStalledError:
            return
        except asyncio.CancelledError:
            if not watcher.done():
                raise
        finally:
            watcher.cancel()


async def _cancel_on_disconnect(
    receive: Callable[[], Awaitable[Any]], writer: ResponseWriter, relay: asyncio.Task[None]
) -> None:
    """Wait until the reader disconnects, and cancel the relay if it still has bytes to write."""
    message = await receive()
    while message["type"] != "http.disconnect":
        message = await receive()
    if not writer.finished:
        relay.cancel()
