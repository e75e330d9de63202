"""Stand-in for an upstream of the users' platform, over raw connections, with scripted answers."""

import asyncio
import contextlib
import socket
import struct
from collections import deque
from dataclasses import dataclass, field

import h11

SEAL = b"x-quinceferry-server-seal"
REQUEST_ID = b"x-quinceferry-request-id"
RATE_LIMIT = b"server-limit"
LEAVING = b"server-leaving"
PROMPT_PARTS = b"x-quinceferry-prompt-prefix"
_READ_BYTES = 65_536
READ_SECONDS = 0.4
"""Time left to the reader before a reset, which discards what has not been read."""


@dataclass(slots=True, frozen=True)
class Answered:
    """Answers with a status and a whole body; ``foreign`` names another request's identifier."""

    status: int = 200
    body: bytes = b"done"
    foreign: str = ""
    sealed: bool = True
    framed: bool = True
    delay_seconds: float = 0.0


@dataclass(slots=True, frozen=True)
class Declined:
    """Says that it did not run the request; ``retry_after`` is that header, omitted when empty."""

    status: int = 503
    retry_after: str = ""


@dataclass(slots=True, frozen=True)
class Streaming:
    """Sends events; ``last`` is the number after which it goes on as ``then`` says.

    ``then`` is ``end``, ``reset``, ``silent`` or ``partial`` (half an event, then a reset).
    """

    events: int = 3
    last: int | None = None
    then: str = "end"
    pause_seconds: float = 0.0


@dataclass(slots=True, frozen=True)
class Broken:
    """Runs the request and resets the connection; ``body`` is sent before, without its end."""

    body: bytes = b""


@dataclass(slots=True, frozen=True)
class EndlessEvent:
    """Sends an event that never ends, until the connection is closed."""

    chunk_bytes: int = 16_384
    pause_seconds: float = 0.0


@dataclass(slots=True, frozen=True)
class Hanging:
    """Runs the request and never answers."""


Behaviour = Answered | Declined | Streaming | Broken | EndlessEvent | Hanging


@dataclass(slots=True, frozen=True)
class Seen:
    """A request as it arrived."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


@dataclass(slots=True)
class ManagedUpstream:
    """One upstream; it plays its script, then answers with the last entry again and again.

    It crashes when it begins a request with the fatal body, or with a fatal part in its prompt: all
    its connections end, and it listens no more. It sends ``events_before_crash`` events before.
    ``crashed_at`` is when it crashed on the event loop's clock, None until then. ``rate_limit`` is
    the rate limit header of its answers, omitted when empty; ``arrived_at`` holds the arrival times
    of its requests on the event loop's clock. ``leaving`` adds the leaving header to all its
    answers.
    """

    id: str
    script: deque[Behaviour] = field(default_factory=lambda: deque([Answered()]))
    seen: list[Seen] = field(default_factory=list)
    arrived_at: list[float] = field(default_factory=list)
    closed_by_peer: int = 0
    fatal_body: bytes = b""
    fatal_parts: frozenset[bytes] = frozenset()
    events_before_crash: int = 0
    crashed_at: float | None = None
    rate_limit: str = ""
    leaving: bool = False
    _address: str = ""
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def address(self) -> str:
        """Return where it listens."""
        return self._address

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self._address = f"{host}:{port}"

    async def restart(self) -> None:
        """Listen again at the same address after a crash, as another lifetime."""
        host, port = self.address.rsplit(":", 1)
        self.crashed_at = None
        self._server = await asyncio.start_server(self._connected, host, int(port))

    async def stop(self) -> None:
        """Stop listening and end what runs."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def crashed(self) -> bool:
        """Tell whether it listens no more."""
        return not self._server.is_serving()

    def crash(self) -> None:
        """Stop listening and end all other connections."""
        if self.crashed_at is None:
            self.crashed_at = asyncio.get_running_loop().time()
        self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections but that of the running request, without an answer."""
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one request on a connection."""
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read a request and play the next behaviour."""
        connection = h11.Connection(h11.SERVER)
        seen = await _read_request(connection, reader)
        if seen is None:
            writer.close()
            return
        self.seen.append(seen)
        self.arrived_at.append(asyncio.get_running_loop().time())
        behaviour = self.script.popleft() if len(self.script) > 1 else self.script[0]
        if seen.headers.get(b"x-quinceferry-expect-instance", b"").decode() != self.id:
            behaviour = Declined(421)
        if self.is_fatal(seen) and not isinstance(behaviour, Declined):
            await _send(connection, writer, _stream_head(self._own_headers(seen)))
            for number in range(1, self.events_before_crash + 1):
                await _send(connection, writer, h11.Data(data=event_bytes(number)))
            await asyncio.sleep(READ_SECONDS)
            self.crash()
            writer.transport.abort()
            return
        play = asyncio.create_task(self._play(behaviour, seen, connection, writer))
        gone = asyncio.create_task(reader.read())
        try:
            await asyncio.wait((play, gone), return_when=asyncio.FIRST_COMPLETED)
            if not play.done():
                self.closed_by_peer += 1
        finally:
            for task in (play, gone):
                task.cancel()
            await asyncio.gather(play, gone, return_exceptions=True)
        writer.close()

    def is_fatal(self, seen: Seen) -> bool:
        """Tell whether a request crashes the upstream that begins to answer it."""
        entries = seen.headers.get(PROMPT_PARTS, b"").split(b",")
        parts = {entry.partition(b":")[0] for entry in entries}
        is_fatal_body = bool(self.fatal_body) and seen.body == self.fatal_body
        return is_fatal_body or bool(parts & self.fatal_parts)

    def _own_headers(self, seen: Seen, request_id: str = "") -> list[tuple[bytes, bytes]]:
        """Return the headers that the upstream adds to its answers."""
        named = request_id.encode() or seen.headers.get(REQUEST_ID, b"")
        return [(REQUEST_ID, named), (SEAL, b"seal-of-" + named), *self._announcement_headers()]

    def _announcement_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the rate limit and leaving headers that apply."""
        headers = [(RATE_LIMIT, self.rate_limit.encode())] if self.rate_limit else []
        return [*headers, (LEAVING, b"1")] if self.leaving else headers

    async def _play(
        self,
        behaviour: Behaviour,
        seen: Seen,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a request as scripted."""
        match behaviour:
            case Answered():
                headers = self._own_headers(seen, behaviour.foreign)
                await _answer(behaviour, headers, connection, writer)
            case Declined(status, retry_after):
                headers = [(b"x-quinceferry-not-run", b"1"), (b"content-length", b"0")]
                headers += self._announcement_headers()
                if retry_after:
                    headers.append((b"retry-after", retry_after.encode()))
                await _send(
                    connection,
                    writer,
                    h11.Response(status_code=status, headers=headers),
                    h11.EndOfMessage(),
                )
            case Streaming():
                await _stream(behaviour, seen, self._own_headers(seen), connection, writer)
            case Broken(body):
                if body:
                    headers = [*self._own_headers(seen), (b"content-length", b"1000")]
                    await _send(
                        connection,
                        writer,
                        h11.Response(status_code=200, headers=headers),
                        h11.Data(data=body),
                    )
                _reset(writer)
            case EndlessEvent():
                await _stream_without_end(behaviour, self._own_headers(seen), connection, writer)
            case Hanging():
                await asyncio.sleep(3600)


async def _read_request(connection: h11.Connection, reader: asyncio.StreamReader) -> Seen | None:
    """Return a whole request, or None when the connection ended first."""
    head: h11.Request | None = None
    body = b""
    while True:
        event = connection.next_event()
        match event:
            case h11.NEED_DATA:
                connection.receive_data(await reader.read(_READ_BYTES))
            case h11.Request():
                head = event
            case h11.Data():
                body += bytes(event.data)
            case h11.EndOfMessage():
                return Seen(head.method, head.target, dict(head.headers), body)
            case _:
                return None


async def _answer(
    behaviour: Answered,
    headers: list[tuple[bytes, bytes]],
    connection: h11.Connection,
    writer: asyncio.StreamWriter,
) -> None:
    """Send a whole answer, after its delay."""
    await asyncio.sleep(behaviour.delay_seconds)
    if not behaviour.sealed:
        headers = headers[:1]
    if behaviour.framed:
        headers.append((b"content-length", str(len(behaviour.body)).encode()))
    else:
        headers.append((b"connection", b"close"))
        writer.write(b"HTTP/1.1 200 OK\r\n")
        writer.write(b"".join(name + b": " + value + b"\r\n" for name, value in headers))
        writer.write(b"\r\n" + behaviour.body)
        await writer.drain()
        return
    head = h11.Response(status_code=behaviour.status, headers=headers)
    await _send(connection, writer, head, h11.Data(data=behaviour.body), h11.EndOfMessage())


async def _stream(
    behaviour: Streaming,
    seen: Seen,
    headers: list[tuple[bytes, bytes]],
    connection: h11.Connection,
    writer: asyncio.StreamWriter,
) -> None:
    """Send the events that the request does not have yet."""
    await _send(connection, writer, _stream_head(headers))
    first = int(seen.headers.get(b"last-event-id", b"0")) + 1
    last = behaviour.events if behaviour.last is None else behaviour.last
    for number in range(first, last + 1):
        await _send(connection, writer, h11.Data(data=event_bytes(number)))
        await asyncio.sleep(behaviour.pause_seconds)
    match behaviour.then:
        case "end":
            await _send(connection, writer, h11.EndOfMessage())
        case "silent":
            await asyncio.sleep(3600)
        case "partial":
            await _send(connection, writer, h11.Data(data=event_bytes(last + 1)[:7]))
            await asyncio.sleep(READ_SECONDS)
            _reset(writer)
        case _:
            await asyncio.sleep(READ_SECONDS)
            _reset(writer)


async def _stream_without_end(
    behaviour: EndlessEvent,
    headers: list[tuple[bytes, bytes]],
    connection: h11.Connection,
    writer: asyncio.StreamWriter,
) -> None:
    """Send an event until the connection is closed."""
    await _send(connection, writer, _stream_head(headers), h11.Data(data=b"data: "))
    while not writer.is_closing():
        await _send(connection, writer, h11.Data(data=b"x" * behaviour.chunk_bytes))
        await asyncio.sleep(behaviour.pause_seconds)


def _stream_head(headers: list[tuple[bytes, bytes]]) -> h11.Response:
    """Return the head of a stream of events."""
    headers = [*headers, (b"content-type", b"text/event-stream")]
    headers.append((b"transfer-encoding", b"chunked"))
    return h11.Response(status_code=200, headers=headers)


def event_bytes(number: int) -> bytes:
    """Return one event as an upstream writes it."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


async def _send(
    connection: h11.Connection, writer: asyncio.StreamWriter, *events: h11.Event
) -> None:
    """Write HTTP events."""
    for event in events:
        writer.write(connection.send(event) or b"")
    with contextlib.suppress(ConnectionError):
        await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection instead of closing it."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
