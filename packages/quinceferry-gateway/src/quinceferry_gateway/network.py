"""Connections that take no more than so many bytes before the head of an answer has arrived."""

from collections.abc import Iterable
from typing import Any

import httpcore

MAX_HEAD_BYTES = 65_536
"""Most bytes until the head has arrived, interim answers included. A limit for one head alone would
not end a sequence of interim answers."""
HEAD_READ_BYTES = 4_096
"""Most bytes of a head that are parsed before the event loop runs what else is due."""


class HeadLimitedStream(httpcore.AsyncNetworkStream):
    """Connection whose reads are limited until ``head_received`` is set.

    :param stream: the connection.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self.head_received = False
        self._stream = stream
        self._head_bytes = 0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read some bytes.

        :raises httpcore.ReadError: too many have arrived without a head.
        """
        if self.head_received:
            return await self._stream.read(max_bytes, timeout)
        received = await self._stream.read(min(max_bytes, HEAD_READ_BYTES), timeout)
        self._head_bytes += len(received)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise httpcore.ReadError(f"no head within {MAX_HEAD_BYTES} bytes")
        return received

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all bytes."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return what the connection tells of itself."""
        return self._stream.get_extra_info(info)


class HeadLimitedBackend(httpcore.AsyncNetworkBackend):
    """Opens one connection with limited reads, which ``stream`` then holds."""

    def __init__(self) -> None:
        self.stream: HeadLimitedStream | None = None
        self._backend = httpcore.AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> HeadLimitedStream:
        """Connect to a server."""
        stream = await self._backend.connect_tcp(host, port, timeout, local_address, socket_options)
        self.stream = HeadLimitedStream(stream)
        return self.stream
