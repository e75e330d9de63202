"""Clients outside the limits, and what they do to one process: a gateway or a daemon."""

import asyncio
import contextlib
import os
from dataclasses import dataclass, field
from pathlib import Path

from features.fixtures_gateway import HOST, KEY, PATIENCE_SECONDS, until
from quinceferry_gateway.addresses import host_and_port

MEBIBYTE = 1024 * 1024
CHUNK_BYTES = 64 * 1024
STALL_SECONDS = 5.0
"""A client that can't send for so long stops sending and keeps its connection."""
SEND_SECONDS = 60.0
"""Longest time that a client goes on sending."""
SPARE_DESCRIPTORS = 8
"""Descriptors above those at rest that a process may have open for its own work."""

HEAD_START = f"POST /explain/a HTTP/1.1\r\nhost: {HOST}\r\n".encode()
CALLER_HEADERS = (
    f"x-quinceferry-request-id: unruly\r\nx-quinceferry-credential: {KEY}\r\n"
    "x-quinceferry-deadline-ms: 20000\r\n"
).encode()
CHUNKED_REQUEST = (
    HEAD_START + CALLER_HEADERS + b"transfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"
)


@dataclass(slots=True, frozen=True)
class Input:
    """Bytes that a client sends: ``start`` once, then ``piece`` until ``size`` bytes are sent."""

    start: bytes
    piece: bytes
    size: int

    def chunks(self):
        """Yield the bytes in chunks."""
        yield self.start
        if not self.piece:
            return
        repeated = self.piece * max(1, CHUNK_BYTES // len(self.piece))
        for _ in range(self.size // len(repeated)):
            yield repeated


ENDLESS_INPUTS = {
    "header lines": Input(HEAD_START, b"a: b\r\n", 2 * MEBIBYTE),
    "one header value": Input(HEAD_START + b"a: ", b"b" * 1024, 16 * MEBIBYTE),
    "one header name": Input(HEAD_START, b"a" * 1024, 16 * MEBIBYTE),
    "one target": Input(b"GET /", b"a" * 1024, 16 * MEBIBYTE),
    "empty lines": Input(b"", b"\r\n", 16 * MEBIBYTE),
    "empty lines after a request": Input(
        b"GET / HTTP/1.1\r\nhost: a\r\n\r\n", b"\r\n", 16 * MEBIBYTE
    ),
    "trailer lines": Input(CHUNKED_REQUEST, b"a: b\r\n", 2 * MEBIBYTE),
    "one trailer value": Input(CHUNKED_REQUEST + b"a: ", b"b" * 1024, 16 * MEBIBYTE),
    "one chunk extension": Input(
        HEAD_START + CALLER_HEADERS + b"transfer-encoding: chunked\r\n\r\n2;",
        b"a" * 1024,
        16 * MEBIBYTE,
    ),
    "a body in small chunks": Input(
        HEAD_START + b"transfer-encoding: chunked\r\n\r\n", b"8\r\nabcdefgh\r\n", 16 * MEBIBYTE
    ),
}
"""What has no end unless the process ends it."""

_BODY_BYTES = 4 * MEBIBYTE

HELD_INPUTS = {
    "requests without headers": Input(b"", b"GET / HTTP/1.1\r\n\r\n", MEBIBYTE // 4),
    "requests with headers": Input(
        b"",
        HEAD_START + CALLER_HEADERS + b"content-length: 2\r\n\r\n{}",
        MEBIBYTE,
    ),
    "requests for metrics": Input(b"", b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n", MEBIBYTE // 4),
    "half a head": Input(HEAD_START + b"a: b", b"", 0),
    "half a body": Input(HEAD_START + CALLER_HEADERS + b"content-length: 100\r\n\r\n{", b"", 0),
    "a body that lacks its last byte": Input(
        HEAD_START + CALLER_HEADERS + f"content-length: {_BODY_BYTES + 1}\r\n\r\n".encode(),
        b"b" * 1024,
        _BODY_BYTES,
    ),
    "nothing": Input(b"", b"", 0),
    "one request": Input(HEAD_START + CALLER_HEADERS + b"content-length: 2\r\n\r\n{}", b"", 0),
}
"""What ends by itself and leaves the client waiting."""


@dataclass(slots=True)
class UnrulyClient:
    """One client outside the limits.

    ``cut_off`` tells whether the process has closed its connection, as far as it can tell: one that
    does not read sees that only when it sends.
    """

    address: str
    input: Input
    reads: bool
    cut_off: bool = False
    _writer: asyncio.StreamWriter | None = None
    _reading: asyncio.Task | None = None

    async def run(self):
        """Connect, send everything, and keep the connection."""
        try:
            async with asyncio.timeout(SEND_SECONDS):
                reader, self._writer = await asyncio.open_connection(*host_and_port(self.address))
                if self.reads:
                    self._reading = asyncio.create_task(self._read(reader))
                else:
                    self._writer.transport.pause_reading()
                await self._send()
        except TimeoutError:
            pass
        except OSError:
            self.cut_off = True

    async def _send(self):
        """Send until everything is sent, the connection is closed or nothing is taken any more."""
        for chunk in self.input.chunks():
            self._writer.write(chunk)
            async with asyncio.timeout(STALL_SECONDS):
                await self._writer.drain()
            # The stand-ins run in the same event loop.
            await asyncio.sleep(0)

    async def _read(self, reader):
        """Read and drop all answers."""
        with contextlib.suppress(OSError):
            while await reader.read(CHUNK_BYTES):
                pass
        self.cut_off = True

    def leave(self):
        """Close the connection at once."""
        if self._reading is not None:
            self._reading.cancel()
        if self._writer is not None:
            self._writer.transport.abort()


@dataclass(slots=True)
class ProcessUsage:
    """Memory and descriptors of a process, as the operating system tells them."""

    process_id: int
    descriptors_at_rest: int = field(init=False)

    def __post_init__(self):
        self.descriptors_at_rest = self.descriptors

    @property
    def descriptors(self):
        """Return the number of open descriptors."""
        return len(os.listdir(f"/proc/{self.process_id}/fd"))

    @property
    def peak_mebibytes(self):
        """Return the most memory that the process has had resident."""
        status = Path(f"/proc/{self.process_id}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024


@dataclass(slots=True)
class Crowd:
    """Clients outside the limits, all at one address."""

    clients: list

    @classmethod
    def of(cls, count, address, what, reads=False):
        """Return clients that all send the same."""
        sent = ENDLESS_INPUTS.get(what) or HELD_INPUTS[what]
        return cls([UnrulyClient(address, sent, reads) for _ in range(count)])

    async def run(self):
        """Let all clients send everything."""
        await asyncio.gather(*(client.run() for client in self.clients))

    async def wait_cut_off(self):
        """Wait until all clients are cut off, and return the number of those that are not."""
        with contextlib.suppress(AssertionError):
            await until(lambda: all(client.cut_off for client in self.clients))
        return sum(not client.cut_off for client in self.clients)

    def leave(self):
        """Close all connections."""
        for client in self.clients:
            client.leave()


async def exchange(address, request, awaited, count=1):
    """Send a request on a new connection, and return what arrives.

    :param awaited: bytes that end the exchange when they have arrived ``count`` times.
    """
    writer = None
    received = b""
    try:
        async with asyncio.timeout(PATIENCE_SECONDS):
            reader, writer = await asyncio.open_connection(*host_and_port(address))
            writer.write(request)
            while received.count(awaited) < count and (data := await reader.read(CHUNK_BYTES)):
                received += data
    except (OSError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    return received


async def is_answered(address, request, status, awaited):
    """Return whether an ordinary request is answered, after some tries if they are refused."""
    ends_at = asyncio.get_running_loop().time() + PATIENCE_SECONDS
    while asyncio.get_running_loop().time() < ends_at:
        received = await exchange(address, request, awaited)
        if received.startswith(b"HTTP/1.1 %d " % status):
            return True
        await asyncio.sleep(0.2)
    return False


async def descriptors_returned(usage):
    """Wait until a process has closed the connections of clients that left."""
    most = usage.descriptors_at_rest + SPARE_DESCRIPTORS
    await until(lambda: usage.descriptors <= most, lambda: (usage.descriptors, most))
