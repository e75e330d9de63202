"""Stand-ins for the users' platform: the metadata store, runners, clients and gateway processes.

Only the standard library is used. Every process and port belongs to the run that created it.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
HEARTBEAT_SECONDS = 1.2
READY_SECONDS = 20.0
PAGE_ITEMS = 500
REASONS_BY_STATUS = {200: "OK", 401: "Unauthorized", 404: "Not Found", 412: "Precondition Failed"}

Headers = dict[str, str]


class Record:
    """Writes what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> float:
        """Write one line and return its time in seconds since the start."""
        now = self.now()
        self._file.write(f"{now:9.3f} {text}\n")
        self._file.flush()
        return now


@dataclass(slots=True)
class Message:
    """One HTTP request or answer."""

    start: str
    headers: Headers
    body: bytes = b""


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next whole message, None if the connection ended before one."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        start, *lines = head.rstrip("\r\n").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        message = Message(start, headers)
        if headers.get("transfer-encoding") == "chunked":
            message.body = await _read_chunks(reader)
        else:
            message.body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a chunked body."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


def encode_answer(status: int, headers: Headers, body: bytes) -> bytes:
    """Return an answer as bytes."""
    lines = [f"HTTP/1.1 {status} {REASONS_BY_STATUS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """HTTP server on a free port of the loopback address; one request at a time on a channel."""

    def __init__(self, handle: Callable[[Message], Awaitable[bytes]]) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Stop listening and close all channels."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one channel."""
        self._tasks.add(asyncio.current_task())
        try:
            while (message := await read_message(reader)) is not None:
                writer.write(await self._handle(message))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.close()


@dataclass(slots=True)
class Item:
    """One key of the store."""

    value: bytes
    rev: int
    created: int
    lease: int


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self) -> None:
        self.server = Server(self._serve)
        self._items: dict[str, Item] = {}
        self._revision = 1
        self._events: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._numbers = itertools.count(101)
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen and let leases expire."""
        await self.server.start()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key, as the operator, a runner or a transaction does."""
        self._revision += 1
        before = self._items.get(key)
        created = before.created if before else self._revision
        self._items[key] = Item(value, self._revision, created, lease)
        self._events.append(self._show(key))
        self._notify()

    def value(self, key: str) -> bytes | None:
        """Return the value of a key."""
        item = self._items.get(key)
        return item.value if item else None

    def _remove(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._events.append({"key": key, "rev": self._revision, "tombstone": True})
            self._notify()

    def _notify(self) -> None:
        """Wake all watches."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        """Remove the keys of leases that have ended."""
        now = time.monotonic()
        ended = {lease for lease, (end, _) in self._leases.items() if end <= now}
        for lease in ended:
            del self._leases[lease]
        for key in [key for key, item in self._items.items() if item.lease in ended]:
            self._remove(key)

    def _show(self, key: str) -> dict[str, Any]:
        """Return an item as the store shows it."""
        item = self._items[key]
        value = base64.b64encode(item.value).decode()
        shown = {"key": key, "value": value, "rev": item.rev, "created": item.created}
        return {**shown, "lease": item.lease}

    async def _serve(self, message: Message) -> bytes:
        """Answer one call."""
        self._expire()
        method, target, _ = message.start.split(" ", 2)
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        body = json.loads(message.body) if message.body else {}
        status, answer = await self._call(method, parts.path, query, body)
        headers = {"Content-Type": "application/json"}
        return encode_answer(status, headers, json.dumps(answer).encode())

    async def _call(
        self, method: str, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        """Carry out one call; return status and answer."""
        match method, path.removeprefix("/v1/").split("/"):
            case "GET", ["kv-key"]:
                key = query["key"]
                if key not in self._items:
                    return 404, {}
                return 200, {**self._show(key), "at": self._revision}
            case "GET", ["kv-range"]:
                return 200, self._range(query["prefix"], query.get("after", ""))
            case "GET", ["kv-watch"]:
                wait_seconds = int(query["wait_ms"]) / 1000
                return 200, await self._watch(query["prefix"], int(query["after"]), wait_seconds)
            case "POST", ["kv-txn"]:
                return self._transact(body)
            case "POST", ["kv-lease"]:
                seconds = body["ttl_ms"] / 1000
                lease = next(self._numbers)
                self._leases[lease] = (time.monotonic() + seconds, seconds)
                return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            case "POST", ["kv-keep", number] if int(number) in self._leases:
                seconds = self._leases[int(number)][1]
                self._leases[int(number)] = (time.monotonic() + seconds, seconds)
                return 200, {"ttl_ms": round(seconds * 1000)}
            case "DELETE", ["kv-lease-end", number] if int(number) in self._leases:
                self._leases[int(number)] = (0.0, 0.0)
                self._expire()
                return 200, {}
        return 404, {}

    def _range(self, prefix: str, after: str) -> dict[str, Any]:
        """Return one page of keys."""
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        page = [self._show(key) for key in keys[:PAGE_ITEMS]]
        return {"items": page, "has_more": len(keys) > PAGE_ITEMS, "at": self._revision}

    async def _watch(self, prefix: str, after: int, wait_seconds: float) -> dict[str, Any]:
        """Wait for events after a revision."""
        ends_at = time.monotonic() + wait_seconds
        while True:
            found = [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            remaining = ends_at - time.monotonic()
            if found or remaining <= 0:
                return {"events": found, "at": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry out a transaction, or nothing of it."""
        expected = body.get("expect_rev", [])
        revisions = {key: item.rev for key, item in self._items.items()}
        if any(revisions.get(row["key"], 0) != row["rev"] for row in expected):
            shown = [self._show(row["key"]) for row in expected if row["key"] in self._items]
            return 412, {"items": shown}
        puts = body.get("puts", [])
        if any(row.get("lease") and row["lease"] not in self._leases for row in puts):
            return 404, {}
        for row in puts:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        return 200, {"rev": self._revision}


@dataclass(slots=True, frozen=True)
class Run:
    """A request that a runner has run."""

    request_id: str
    tenant: str
    at: float


class Runner:
    """A runner of a service that answers each request after a short time."""

    def __init__(self, id: str, service: str, zone: str, store: Store, record: Record) -> None:
        self.id = id
        self.runs: list[Run] = []
        self._service = service
        self._zone = zone
        self._store = store
        self._record = record
        self._server = Server(self._serve)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and register."""
        await self._server.start()
        self._task = asyncio.create_task(self._register())

    async def stop(self) -> None:
        """Stop."""
        self._task.cancel()
        await self._server.stop()

    async def _register(self) -> None:
        """Write the entry at every heartbeat."""
        entry = {"service": self._service, "addr": self._server.address, "zone": self._zone}
        entry |= {"version": "1", "slots": 6, "state": "ready", "cold_left_ms": 0}
        for number in itertools.count(1):
            value = json.dumps({**entry, "seq": number}).encode()
            self._store.put(f"servers/{self.id}", value)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, message: Message) -> bytes:
        """Run one request."""
        headers = message.headers
        if headers.get("x-quinceferry-expect-instance", self.id) != self.id:
            return encode_answer(421, {"X-Quinceferry-Not-Run": "1"}, b"")
        request_id = headers["x-quinceferry-request-id"]
        tenant = headers.get("x-quinceferry-tenant", "")
        at = self._record.write(f"{self.id} runs {request_id} for tenant '{tenant}'")
        self.runs.append(Run(request_id, tenant, at))
        await asyncio.sleep(0.03)
        own = {"X-Quinceferry-Request-Id": request_id}
        own["X-Quinceferry-Server-Seal"] = f"seal.{request_id}"
        return encode_answer(200, own, f"result of {request_id}".encode())


@dataclass(slots=True)
class Gateway:
    """One gateway process, started with the command of the deploy file."""

    vm: str
    zone: str
    folder: Path
    store_address: str
    ports: dict[str, int] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None

    def address(self, name: str) -> str:
        """Return one of its addresses."""
        return f"127.0.0.1:{self.ports[name]}"

    async def start(self) -> None:
        """Write the settings and start the process."""
        names = ("callers", "readiness", "directory", "peers", "metrics")
        self.ports = self.ports or {name: free_port() for name in names}
        settings = self.folder / f"{self.vm}.toml"
        settings.write_text(self._settings())
        environment = {"PATH": os.environ["PATH"], "HOME": str(self.folder), "LANG": "C.UTF-8"}
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self.folder / f"{self.vm}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "quinceferry_platform",
            "--config",
            str(settings),
            cwd=REPOSITORY,
            env=environment,
            stdout=log,
            stderr=log,
        )

    def _settings(self) -> str:
        """Return the settings as deploy/gateway.toml.template renders them for a small site."""
        listen = "".join(f'{name} = "{self.address(name)}"\n' for name in self.ports)
        zones = "".join(f'"{zone}" = "fi-south"\n' for zone in ("hall-a", "hall-b", "hall-c"))
        return (
            f'[gateway]\nvm = "{self.vm}"\nzone = "{self.zone}"\nregion = "fi-south"\n'
            f"[gateway.region_by_zone]\n{zones}"
            f"[listen]\n{listen}"
            f'[store]\naddress = "{self.store_address}"\nheartbeat_milliseconds = 1200\n'
            "[retries]\nratio = 0.2\nslack = 54\nwindow_seconds = 10\n"
            "[stop]\ngrace_seconds = 8\n"
            "[freshness]\nconfiguration_milliseconds = 2000\nleaving_milliseconds = 2000\n"
        )

    async def wait_ready(self) -> None:
        """Wait until the gateway says that it is ready.

        :raises TimeoutError: it does not within READY_SECONDS.
        """
        async with asyncio.timeout(READY_SECONDS):
            while True:
                with contextlib.suppress(OSError):
                    answer = await ask(self.address("readiness"), "GET", "/v1/readyz", {})
                    if answer is not None and answer.start.split()[1] == "200":
                        return
                await asyncio.sleep(0.1)

    async def end(self) -> None:
        """Stop the process, by SIGTERM first."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), 10.0)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


async def ask(
    address: str, method: str, path: str, headers: Headers, body: bytes = b""
) -> Message | None:
    """Send one request on a new channel and return the answer, None if the channel ended."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        sent = {"Host": "books.example", **headers}
        lines = [f"{method} {path} HTTP/1.1", *(f"{key}: {value}" for key, value in sent.items())]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
        return await read_message(reader)
    finally:
        writer.close()


def free_port() -> int:
    """Return a free port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(15_000, 30_000)
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)):
                return port
