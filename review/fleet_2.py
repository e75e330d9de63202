"""Stand-ins and processes for the scripts of the second review: store, upstreams, gateways.

Only the standard library is used. The store and each upstream run as processes of their own, so
that none of them takes processor time from another. As a program: ``fleet_2.py store PORT`` or
``fleet_2.py upstream JSON`` (see ``Upstream``).
"""

import asyncio
import base64
import contextlib
import json
import math
import os
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_SECONDS = 1.2
FIRST_RETRY_SECONDS = 0.05
HOST = os.environ.get("REVIEW_HOST") or "127.{}.{}.1".format(*divmod(os.getpid() % 65_000, 256))
"""Loopback address of all processes of a run, another one for each run, so that several can run at
once without one taking a port that another has drawn."""
WRITTEN_BYTES = 60_000  # Of an answer without end, at a time.
LEASE_MILLISECONDS = 3_600
READY_SECONDS = 30.0
SETTINGS = """[gateway]
vm = "{vm}"
zone = "{zone}"
region = "south"
[gateway.region_by_zone]
"zone-a" = "south"
"zone-b" = "south"
"zone-c" = "south"
[listen]
callers = "{callers}"
readiness = "{readiness}"
directory = "{directory}"
peers = "{peers}"
metrics = "{metrics}"
[store]
address = "{store}"
heartbeat_milliseconds = 1200
[retries]
ratio = 0.2
slack = 58
window_seconds = 10
[stop]
grace_seconds = 8
[freshness]
configuration_milliseconds = 2000
leaving_milliseconds = 2000
[limits]
descriptors = 4100
"""


@dataclass(slots=True)
class Message:
    """Head and body of a request or an answer; header names are in lower case."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a request line or status line and the headers."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return Message(lines[0], {name.lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, head: Message) -> AsyncIterator[bytes]:
    """Yield the body of a message in pieces.

    :raises EOFError: it ended early.
    """
    if head.headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            yield (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    elif "content-length" in head.headers:
        yield await reader.readexactly(int(head.headers["content-length"]))


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole message."""
    head = await read_head(reader)
    head.body = b"".join([part async for part in read_body(reader, head)])
    return head


def encode_answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a whole answer as bytes."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


async def call_json(
    address: str, method: str, path: str, message: object = None
) -> tuple[int, dict]:
    """Make one call with JSON bodies; return status and body."""
    host, port = address.split(":")
    body = b"" if message is None else json.dumps(message).encode()
    head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}\r\n\r\n"
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(head.encode() + body)
        answer = await read_message(reader)
    finally:
        writer.close()
    return int(answer.first_line.split()[1]), json.loads(answer.body or b"{}")


async def put_key(store: str, key: str, value: bytes) -> int:
    """Write a key of the store as operators and other writers do; return the status."""
    put = {"key": key, "value": base64.b64encode(value).decode(), "lease": 0}
    status, _ = await call_json(store, "POST", "/v1/kv-txn", {"puts": [put], "expect_rev": []})
    return status


class Store:
    """The platform's store: one revision counter, leases, watches; answers after 4 ms.

    While it is down (``POST /down?for_ms=``, a call of the tests), it closes each channel without
    an answer, and leases pause.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 1
        self.lease_ends: dict[int, tuple[float, float]] = {}
        self.last_lease = 0
        self.down_until = 0.0
        self.changed = asyncio.Condition()

    async def serve(self, port: int) -> None:
        """Serve until cancelled."""
        server = await asyncio.start_server(self._connected, HOST, port)
        expiry = asyncio.create_task(self._expire())
        async with server:
            await server.serve_forever()
        expiry.cancel()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(EOFError, OSError):
            while True:
                request = await read_message(reader)
                method, target, _ = request.first_line.split()
                path, _, query = target.partition("?")
                values = {key: item[0] for key, item in urllib.parse.parse_qs(query).items()}
                if path == "/down":
                    self.down_until = time.monotonic() + int(values["for_ms"]) / 1000
                elif time.monotonic() < self.down_until:
                    break
                await asyncio.sleep(0.004)
                body = json.loads(request.body) if request.body else {}
                status, reply = await self._answer(method, path, values, body)
                writer.write(encode_answer(status, {}, json.dumps(reply).encode()))
                await writer.drain()
        writer.close()

    async def _answer(self, method: str, path: str, values: dict, body: dict) -> tuple[int, dict]:
        if path == "/v1/kv-key":
            item = self.items.get(values["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/v1/kv-range":
            prefix, after = values["prefix"], values.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500, "at": self.revision}
        if path == "/v1/kv-watch":
            return 200, await self._watch(values)
        if path == "/v1/kv-lease":
            self.last_lease += 1
            ttl = body["ttl_ms"] / 1000
            self.lease_ends[self.last_lease] = (time.monotonic() + ttl, ttl)
            return 200, {"lease": self.last_lease, "ttl_ms": body["ttl_ms"]}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.lease_ends:
                return 404, {}
            ttl = self.lease_ends[lease][1]
            self.lease_ends[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"ttl_ms": round(ttl * 1000)}
        if path.startswith("/v1/kv-lease-end/"):
            lease = int(path.rpartition("/")[2])
            if self.lease_ends.pop(lease, None) is None:
                return 404, {}
            await self._remove([key for key in self.items if self.items[key]["lease"] == lease])
            return 200, {}
        if path == "/v1/kv-txn":
            return await self._transact(body)
        return (200, {}) if path == "/down" else (404, {})

    async def _watch(self, values: dict) -> dict:
        prefix, after = values["prefix"], int(values["after"])

        def found() -> list[dict]:
            return [
                event
                for event in self.events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(values["wait_ms"]) / 1000), self.changed:
                await self.changed.wait_for(found)
        return {"events": found(), "at": self.revision}

    async def _transact(self, body: dict) -> tuple[int, dict]:
        expected = body.get("expect_rev", [])
        revisions = {row["key"]: self.items.get(row["key"], {}).get("rev", 0) for row in expected}
        if any(revisions[row["key"]] != row["rev"] for row in expected):
            return 412, {"items": [self.items[key] for key in revisions if key in self.items]}
        puts = body.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self.lease_ends for put in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            created = self.items.get(put["key"], {}).get("created", self.revision)
            item = {**put, "lease": put.get("lease", 0), "rev": self.revision, "created": created}
            self.items[put["key"]] = item
            self.events.append(item)
        self._drop(body.get("remove", []))
        await self._notify()
        return 200, {"rev": self.revision}

    async def _remove(self, keys: list[str]) -> None:
        self.revision += 1
        self._drop(keys)
        await self._notify()

    def _drop(self, keys: list[str]) -> None:
        for key in keys:
            if self.items.pop(key, None):
                self.events.append({"key": key, "rev": self.revision, "tombstone": True})

    async def _notify(self) -> None:
        self.events = self.events[-2_000:]
        async with self.changed:
            self.changed.notify_all()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            if now < self.down_until:
                for lease, (ends_at, ttl) in list(self.lease_ends.items()):
                    self.lease_ends[lease] = (ends_at + 0.1, ttl)
                continue
            ended = [lease for lease, (ends_at, _) in self.lease_ends.items() if ends_at < now]
            for lease in ended:
                del self.lease_ends[lease]
            if keys := [key for key in self.items if self.items[key]["lease"] in ended]:
                await self._remove(keys)


@dataclass(slots=True)
class Upstream:
    """One lifetime of an upstream, as a process that registers itself, serves and writes a log.

    Requests whose path begins with ``/stream/`` are answered by ``events`` events, all others by a
    body of ``body_bytes`` after ``work_seconds``. A share ``spoiled_share`` of the answers, spread
    evenly, has no end (see ``_spoil``). The process ends as it begins to answer a
    prompt with the part ``fatal_part``, and as it runs a request for ``fatal_path``. It writes one
    JSON line for each arrival and each run to standard output.
    """

    id: str
    service: str
    port: int
    store: str
    version: str = "v1"
    zone: str = "zone-a"
    slots: int = 6
    work_seconds: float = 0.06
    body_bytes: int = 800
    events: int = 20
    event_seconds: float = 0.03
    first_event_seconds: float = 0.1
    spoiled_share: float = 0.0
    spoiled_chunk_bytes: int = 1
    spoiled_bytes_per_second: float = math.inf
    fatal_part: str = ""
    fatal_path: str = ""
    state: str = "ready"
    arrivals: int = 0
    born: int = 0

    async def run(self) -> None:
        """Register, serve and renew the registration until killed."""
        self.born = self.born or int(time.time() * 1000)
        server = await asyncio.start_server(self._connected, HOST, self.port, backlog=256)
        async with server:
            await self._register()

    async def _register(self) -> None:
        """Write the entry under a lease, again and again; a failed attempt is repeated."""
        sequence, lease, is_registered = 0, 0, False
        while True:
            with contextlib.suppress(EOFError, OSError, ValueError):
                sequence += 1
                lease = await self._keep_lease(lease)
                value = base64.b64encode(json.dumps(self._entry(sequence)).encode()).decode()
                put = {"key": f"servers/{self.id}", "value": value, "lease": lease}
                transaction = {"expect_rev": [], "puts": [put]}
                status, _ = await call_json(self.store, "POST", "/v1/kv-txn", transaction)
                if status == 200 and not is_registered:
                    is_registered = True
                    self._note("registered", state=self.state)
            await asyncio.sleep(HEARTBEAT_SECONDS if is_registered else FIRST_RETRY_SECONDS)

    async def _keep_lease(self, lease: int) -> int:
        """Renew a lease and return it, or a new one if it has ended."""
        if lease and (await call_json(self.store, "POST", f"/v1/kv-keep/{lease}"))[0] == 200:
            return lease
        request = {"ttl_ms": LEASE_MILLISECONDS}
        return (await call_json(self.store, "POST", "/v1/kv-lease", request))[1]["lease"]

    def _entry(self, sequence: int) -> dict:
        return {
            "service": self.service,
            "addr": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": sequence,
            "born": self.born,
        }

    def _note(self, event: str, request: str = "", **fields: object) -> None:
        line = {"at": round(time.time(), 4), "upstream": self.id, "version": self.version}
        print(json.dumps({**line, "event": event, "request": request, **fields}), flush=True)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(EOFError, OSError):
            while True:
                await self._serve(await read_message(reader), reader, writer)
        writer.close()

    async def _serve(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target = request.first_line.split()[1]
        request_id = request.headers.get("x-quinceferry-request-id", "")
        expected = request.headers.get("x-quinceferry-expect-instance", self.id)
        headers = {
            "X-Quinceferry-Request-Id": request_id,
            "X-Quinceferry-Server-Seal": f"seal.{self.id}.{request_id}",
        }
        if not request_id or expected != self.id:
            status = 421 if request_id else 400
            self._note("rejected", request_id, status=status)
            writer.write(encode_answer(status, {"X-Quinceferry-Not-Run": "1"}))
            return
        self.arrivals += 1
        last_event = int(request.headers.get("last-event-id", "0"))
        self._note("arrived", request_id, path=target, after=last_event, state=self.state)
        spoiled_before = int((self.arrivals - 1) * self.spoiled_share)
        if int(self.arrivals * self.spoiled_share) > spoiled_before:
            self._note("spoiled", request_id)
            await self._spoil(headers, reader, writer)
            return
        parts = request.headers.get("x-quinceferry-prompt-prefix", "").split(",")
        if self.fatal_part and any(part.startswith(f"{self.fatal_part}:") for part in parts):
            await asyncio.sleep(self.first_event_seconds)
            self._note("fell", request_id)
            os._exit(1)
        if self.fatal_path and target == self.fatal_path:
            await asyncio.sleep(self.work_seconds)
            self._note("fell", request_id)
            os._exit(1)
        if target.startswith("/stream/"):
            await self._stream(headers, last_event, request_id, reader, writer)
            return
        await asyncio.sleep(self.work_seconds)
        self._note("run", request_id)
        writer.write(encode_answer(200, headers, b"x" * self.body_bytes))

    async def _stream(
        self,
        headers: dict[str, str],
        last_event: int,
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        headers |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers.items())]
        await asyncio.sleep(self.first_event_seconds)
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(last_event + 1, self.events + 1):
            event = f"id: {number}\ndata: {self.version} {request_id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if reader.at_eof() or writer.is_closing():
                self._note("left", request_id, sent=number)
                return
            await asyncio.sleep(self.event_seconds)
        writer.write(b"0\r\n\r\n")
        self._note("run", request_id)

    async def _spoil(
        self, headers: dict[str, str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer with bytes without end, until the caller closes.

        It is a failure whose body comes in chunks, each of ``spoiled_chunk_bytes``.
        """
        lines = ["HTTP/1.1 500 X", *(f"{name}: {value}" for name, value in headers.items())]
        writer.write("\r\n".join([*lines, "Transfer-Encoding: chunked", "", ""]).encode())
        chunk = b"%x\r\n%s\r\n" % (self.spoiled_chunk_bytes, b"x" * self.spoiled_chunk_bytes)
        piece = chunk * (WRITTEN_BYTES // len(chunk))
        while not reader.at_eof() and not writer.is_closing():
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(len(piece) / self.spoiled_bytes_per_second)


_drawn_ports: set[int] = set()


def free_port() -> int:
    """Return a free loopback port, another one each time.

    It is below those that the system gives to outgoing connections.
    """
    while True:
        port = 15_000 + int.from_bytes(os.urandom(2)) % 15_000
        if port in _drawn_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            _drawn_ports.add(port)
            return port


@dataclass(slots=True)
class Child:
    """A process that the test has started, with its output in a file."""

    name: str
    process: asyncio.subprocess.Process
    output: Path
    addresses: dict[str, str] = field(default_factory=dict)

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        with contextlib.suppress(ProcessLookupError):
            if self.process.returncode is None:
                os.kill(self.process.pid, number)

    def resident_bytes(self) -> int:
        """Return the memory that the process uses, zero once it has ended."""
        with contextlib.suppress(OSError, IndexError):
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
            return pages * os.sysconf("SC_PAGE_SIZE")
        return 0

    def lines(self) -> list[dict]:
        """Return the JSON lines that it has written."""
        found = []
        for line in self.output.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found


class Fleet:
    """All processes of one test, in a temporary folder; ends them by their ids."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.children: list[Child] = []
        self.store = ""

    async def __aenter__(self) -> "Fleet":
        port = free_port()
        self.store = f"{HOST}:{port}"
        await self._start("store", [__file__, "store", str(port)], {})
        await wait_until(lambda: call_json(self.store, "GET", "/v1/kv-range?prefix=op/"))
        return self

    async def __aexit__(self, *error: object) -> None:
        for child in self.children if error[0] else ():
            last = child.output.read_text(errors="replace")[-400:]
            print(f"{child.name}, status {child.process.returncode}: {last}", file=sys.stderr)
        for child in self.children:
            child.send(signal.SIGKILL)
            await child.process.wait()
        self._folder.cleanup()

    async def start_upstream(self, **fields: object) -> Child:
        """Start an upstream; the fields are those of ``Upstream``."""
        fields = {"port": free_port(), "store": self.store, **fields}
        name = f"{fields['id']}-{len(self.children)}"
        child = await self._start(name, [__file__, "upstream", json.dumps(fields)], {})
        child.addresses["requests"] = f"{HOST}:{fields['port']}"
        return child

    async def start_gateway(self, vm: str, zone: str = "zone-a") -> Child:
        """Start a gateway with the command of the deploy file."""
        names = ("callers", "readiness", "directory", "peers", "metrics")
        addresses = {name: f"{HOST}:{free_port()}" for name in names}
        settings = self.folder / f"{vm}.toml"
        settings.write_text(SETTINGS.format(vm=vm, zone=zone, store=self.store, **addresses))
        return await self._run_gateway(vm, settings, addresses)

    async def restart_gateway(self, gateway: Child) -> Child:
        """Start a gateway again that has ended, with the same settings."""
        settings = self.folder / f"{gateway.name}.toml"
        return await self._run_gateway(gateway.name, settings, gateway.addresses)

    async def _run_gateway(self, vm: str, settings: Path, addresses: dict[str, str]) -> Child:
        environment = {"QUINCEFERRY_CONFIG": str(settings), "PYTHONPATH": str(ROOT / "target/deps")}
        child = await self._start(vm, ["-m", "quinceferry_platform"], environment)
        child.addresses = addresses
        return child

    async def _start(self, name: str, arguments: list[str], environment: dict[str, str]) -> Child:
        output = self.folder / f"{name}.log"
        with output.open("ab") as file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdout=file,
                stderr=file,
                cwd=ROOT,
                env={**os.environ, "REVIEW_HOST": HOST, **environment},
            )
        child = Child(name, process, output)
        self.children.append(child)
        return child


async def keep_running(
    fleet: Fleet, upstream: Child, fields: dict[str, object], back_seconds: float
) -> None:
    """Start an upstream again some seconds after it has ended, each time that it does."""
    port = int(upstream.addresses["requests"].rpartition(":")[2])
    while True:
        await upstream.process.wait()
        await asyncio.sleep(back_seconds)
        upstream = await fleet.start_upstream(port=port, **fields)


def upstream_lines(children: list[Child]) -> list[dict]:
    """Return what all upstreams have written."""
    lines = [line for child in children for line in child.lines()]
    return [line for line in lines if {"at", "event", "upstream", "version"} <= line.keys()]


async def is_ready(gateway: Child) -> bool:
    """Return whether a gateway says that it is ready."""
    async with asyncio.timeout(1.0):
        status, _ = await call_json(gateway.addresses["readiness"], "GET", "/v1/readyz")
    return status == 200


async def answers_ready(gateway: Child) -> bool:
    """Return whether a gateway says that it is ready; one that does not answer is not."""
    with contextlib.suppress(TimeoutError, OSError, EOFError):
        return await is_ready(gateway)
    return False


async def wait_until(check: Callable[[], Awaitable[object]]) -> None:
    """Wait until a check returns something true, without an error.

    :raises TimeoutError: it did not in time.
    """
    async with asyncio.timeout(READY_SECONDS):
        while True:
            with contextlib.suppress(OSError, EOFError, ValueError, TimeoutError):
                if await check():
                    return
            await asyncio.sleep(0.1)


@dataclass(slots=True)
class Outcome:
    """What a caller saw of one attempt; times are Unix seconds.

    ``status`` is 0 without an answer. ``events`` are the identifiers and data of a stream's events.
    """

    request: str
    path: str
    gateway: str
    sent_at: float
    status: int = 0
    ended_at: float = 0.0
    whole: bool = False
    events: list[tuple[int, str]] = field(default_factory=list)
    headers: dict[str, str] = field(default_factory=dict)


async def send(
    gateway: Child,
    path: str,
    request_id: str,
    seconds: float,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> Outcome:
    """Send one request on a new connection, and wait for the answer up to a time limit.

    :param body: its identifier if that is empty, so that no two requests are alike.
    """
    body = body or f'"{request_id}"'.encode()
    outcome = Outcome(request_id, path, gateway.name, time.time())
    lines = {
        "Host": "demo.example",
        "X-Quinceferry-Request-Id": request_id,
        "X-Quinceferry-Deadline-Ms": str(round(seconds * 1000)),
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    writer = None
    with contextlib.suppress(TimeoutError, EOFError, OSError, ValueError):
        async with asyncio.timeout(seconds):
            host, port = gateway.addresses["callers"].split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"POST {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            answer = await read_head(reader)
            outcome.status, outcome.headers = int(answer.first_line.split()[1]), answer.headers
            data = b""
            async for part in read_body(reader, answer):
                data += part
                *whole, data = data.split(b"\n\n")
                for event in whole:
                    number, _, text = event.decode().partition("\n")
                    outcome.events.append((int(number[3:]), text))
            outcome.whole = True
    outcome.ended_at = time.time()
    if writer is not None:
        writer.close()
    return outcome


def write_record(
    folder: Path, outcomes: list[Outcome], children: list[Child], notes: list[str]
) -> None:
    """Write what was sent, answered and run, in the order of time, after some notes.

    The file is ``record.txt`` in the folder, or the one that ``RECORD`` names.
    """
    path = Path(os.environ.get("RECORD", folder / "record.txt"))
    lines = []
    for item in outcomes:
        sent = f"{item.request} {item.path} to {item.gateway}"
        lines.append((item.sent_at, f"sent {sent}"))
        seen = f"{item.status or 'no answer'}, {'whole' if item.whole else 'not whole'}"
        events = f", {len(item.events)} events" if item.events else ""
        lines.append((item.ended_at, f"caller of {item.request} has {seen}{events}"))
    for line in upstream_lines(children):
        at = line.pop("at")
        lines.append((at, json.dumps(line)))
    start = min((at for at, _ in lines), default=0.0)
    text = [f"{at - start:9.3f} s  {line}" for at, line in sorted(lines)]
    path.write_text("\n".join([*notes, "", *text, ""]))


def run_case(case: Callable[[bool], Awaitable[bool]]) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

    :param case: given whether the trouble is on, returns whether the rule was broken.
    """

    async def run() -> bool:
        # SIGTERM cancels the case, so that its processes are ended.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await case(os.environ.get("TROUBLE", "1") != "0")

    try:
        is_broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if is_broken else 0)


def main() -> None:
    """Run a stand-in until it is killed."""
    with contextlib.suppress(KeyboardInterrupt):
        if sys.argv[1] == "store":
            asyncio.run(Store().serve(int(sys.argv[2])))
        else:
            asyncio.run(Upstream(**json.loads(sys.argv[2])).run())


if __name__ == "__main__":
    main()
