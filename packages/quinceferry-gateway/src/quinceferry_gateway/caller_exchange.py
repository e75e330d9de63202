"""Reads a request from a caller's connection and writes the answer."""

from collections.abc import Callable

from quinceferry_gateway.asgi import Receive, Scope, Send
from quinceferry_gateway.catalog import AnswerHead, CallerLimits
from quinceferry_gateway.exceptions import BadCallError, CallerGoneError
from quinceferry_gateway.interfaces import Headers
from quinceferry_http import EXCESS_STATE

OVERSIZED_BODY_STATUS = 413


class CallerExchange:
    """One request on a caller's connection, and its answer.

    ``forwarded_attempts`` is the number of attempts that a peer grants to a request that it has
    forwarded, None for a request of a caller.

    :param is_closing: returns whether to close the connection after the answer.
    """

    def __init__(
        self, scope: Scope, receive: Receive, send: Send, is_closing: Callable[[], bool]
    ) -> None:
        self.scope = scope
        self._receive = receive
        self._send = send
        self._is_closing = is_closing
        self.forwarded_attempts: int | None = None

    @property
    def is_forwarded(self) -> bool:
        """Return whether a peer has forwarded the request."""
        return self.forwarded_attempts is not None

    @property
    def is_excess(self) -> bool:
        """Return whether the connection was accepted above the limit of connections."""
        return EXCESS_STATE in self.scope.get("state", {})

    async def read_body(self, limits: CallerLimits) -> bytes:
        """Read and return the whole body.

        :raises BadCallError: the body is too large.
        :raises CallerGoneError: the caller closed the connection.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerGoneError("the caller closed the connection", step="read")
            part = message.get("body", b"")
            size += len(part)
            if size > limits.max_body_bytes:
                raise BadCallError(
                    "the body is too large", status=OVERSIZED_BODY_STATUS, step="read"
                )
            parts.append(part)
            if not message.get("more_body"):
                return b"".join(parts)

    async def wait_disconnected(self) -> None:
        """Wait until the caller has closed the connection or received the whole answer."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        length = (b"content-length", str(len(body)).encode())
        await self._start(status, [*headers, length])
        await self._send({"type": "http.response.body", "body": body})

    async def send_head(self, head: AnswerHead) -> None:
        """Send the status line and headers of an answer of unknown length."""
        await self._start(head.status, head.headers)

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body; wait while the caller reads too slowly."""
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def finish(self) -> None:
        """End the body."""
        await self._send({"type": "http.response.body", "body": b""})

    async def _start(self, status: int, headers: Headers) -> None:
        """Send a status line and headers, and announce the close of the connection if it is due."""
        is_closing = self._is_closing() or self.is_excess
        connection_headers = [(b"connection", b"close")] if is_closing else []
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [*headers, *connection_headers],
            }
        )
