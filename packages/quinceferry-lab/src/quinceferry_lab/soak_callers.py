"""Callers of a soak: they keep connections open until these are closed, and note what they got."""

import asyncio
import contextlib
import itertools
import json
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

import h11

from quinceferry_gateway import HttpClient
from quinceferry_gateway.exceptions import ConnectionBrokenError, NotSentError

HOST = "tanks.example"
KEY = "key-of-choir"
PROMPT_TOKENS = 40
TOKENS_PER_EVENT = 4
MAX_OUTPUT_TOKENS = 120
LOOKUP_TIMEOUT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 1.0
LAST_WAIT_SECONDS = 1.0
"""How much longer than its time limit a caller waits for the end of its connection."""
PAUSE_SECONDS = 0.3
"""Mean time between two requests of a caller."""
_READ_BYTES = 65_536


class Kind(Enum):
    """Kind of a request; the value is the prefix of its path."""

    STREAM = "explain"
    UNSAFE = "post"
    SAFE = "get"


LIMIT_SECONDS_BY_KIND = {Kind.STREAM: 8.0, Kind.UNSAFE: 3.0, Kind.SAFE: 3.0}


@dataclass(slots=True)
class Try:
    """One request on a connection; times are on the monotonic clock, in seconds.

    ``status`` is 0 until the head of the answer arrived, ``connected`` False if no connection could
    be established; ``address`` is empty if no gateway named one.
    """

    request_id: str
    kind: Kind
    address: str
    sent_at: float
    connected: bool = True
    status: int = 0
    events: int = 0
    whole: bool = False
    ended_at: float = 0.0

    @property
    def served(self) -> bool:
        """Return whether it got a whole answer of an upstream."""
        return self.whole and self.status == 200

    @property
    def tokens(self) -> int:
        """Return the tokens that it has received."""
        if self.kind is not Kind.STREAM or not self.events:
            return 0
        return PROMPT_TOKENS + self.events * TOKENS_PER_EVENT

    @property
    def limit_at(self) -> float:
        """Return when the caller's time is up."""
        return self.sent_at + LIMIT_SECONDS_BY_KIND[self.kind]


@dataclass(slots=True)
class Caller:
    """Sends one request after another, on one connection as long as it stays open.

    :param directories: addresses to ask for the addresses of gateways.
    :param kinds: kinds of its requests, drawn from at random.
    """

    name: str
    directories: list[str]
    http: HttpClient
    rng: random.Random
    kinds: tuple[Kind, ...] = (*[Kind.STREAM] * 4, Kind.UNSAFE, Kind.SAFE)
    tries: list[Try] = field(default_factory=list)
    failed_lookups: int = 0
    _address: str = ""
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None
    _connection: h11.Connection | None = None
    _numbers: Iterator[int] = field(default_factory=itertools.count)

    async def run(self, end: asyncio.Event) -> None:
        """Send requests until the end, and wait for the last answer."""
        while not end.is_set():
            await self._ask()
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE_SECONDS))
        self._close()

    async def _ask(self) -> None:
        """Send one request and note its answer."""
        kind = self.rng.choice(self.kinds)
        request_id = f"{self.name}-{next(self._numbers)}"
        item = Try(request_id, kind, "", time.monotonic(), connected=False)
        self.tries.append(item)
        if self._writer is None and not await self._look_up():
            return
        item.address = self._address
        try:
            async with asyncio.timeout(LIMIT_SECONDS_BY_KIND[kind] + LAST_WAIT_SECONDS):
                await self._connect(item)
                item.sent_at = time.monotonic()
                await self._exchange(item)
        except (OSError, TimeoutError, h11.ProtocolError):
            self._close()
        item.ended_at = time.monotonic()

    async def _look_up(self) -> bool:
        """Ask gateways for an address; return whether one answered with some."""
        for directory in self.rng.sample(self.directories, len(self.directories))[:3]:
            with contextlib.suppress(NotSentError, ConnectionBrokenError):
                reply = await self.http.fetch(
                    directory,
                    b"GET",
                    f"/v1/resolve?name={HOST}".encode(),
                    [(b"host", b"directory")],
                    timeout_seconds=LOOKUP_TIMEOUT_SECONDS,
                )
                if reply.status == 200:
                    self._address = self.rng.choice(json.loads(reply.body)["addrs"])
                    return True
        self.failed_lookups += 1
        return False

    async def _connect(self, item: Try) -> None:
        """Open a connection unless there is one."""
        if self._writer is not None:
            item.connected = True
            return
        host, _, port = self._address.partition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
        item.connected = True
        self._connection = h11.Connection(h11.CLIENT)

    async def _exchange(self, item: Try) -> None:
        """Send a request and read its answer; keep the connection if it may be used again."""
        request = h11.Request(
            method="GET" if item.kind is Kind.SAFE else "POST",
            target=f"/{item.kind.value}/a",
            headers=_headers(item),
        )
        connection, body = self._connection, b"" if item.kind is Kind.SAFE else b"{}"
        for event in (request, h11.Data(data=body), h11.EndOfMessage()):
            self._writer.write(connection.send(event) or b"")
        while True:
            match connection.next_event():
                case h11.NEED_DATA:
                    connection.receive_data(await self._reader.read(_READ_BYTES))
                case h11.Response(status_code=status):
                    item.status = status
                case h11.Data(data=data):
                    item.events += bytes(data).count(b"\n\n")
                case h11.EndOfMessage():
                    item.whole = True
                    break
                case _:
                    raise ConnectionResetError("closed before the end of the answer")
        if connection.their_state is h11.MUST_CLOSE:
            self._close()
        else:
            connection.start_next_cycle()

    def _close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = self._connection = None


def _headers(item: Try) -> list[tuple[str, str]]:
    """Return the headers of a request."""
    body_bytes = 0 if item.kind is Kind.SAFE else 2
    headers = caller_headers(item.request_id, body_bytes, LIMIT_SECONDS_BY_KIND[item.kind])
    if item.kind is Kind.STREAM:
        headers.append(("x-quinceferry-token-count", f"{PROMPT_TOKENS},{MAX_OUTPUT_TOKENS}"))
    return headers


def caller_headers(request_id: str, body_bytes: int, limit_seconds: float) -> list[tuple[str, str]]:
    """Return the headers that all requests of callers have."""
    return [
        ("host", HOST),
        ("content-length", str(body_bytes)),
        ("x-quinceferry-request-id", request_id),
        ("x-quinceferry-credential", KEY),
        ("x-quinceferry-deadline-ms", str(int(limit_seconds * 1000))),
    ]
