"""Processor time and bytes of control messages, at each end."""

import asyncio
import os
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from urllib.parse import urlsplit

import httpx
import msgspec

from quinceferry_core.adapters import KvEntry
from quinceferry_core.clocks import SystemClock
from quinceferry_core.copies import EntryCopy, HoldRequest
from quinceferry_core.journals import Begin
from quinceferry_core.membership import IncarnationRecord, Member
from quinceferry_core.models import IncarnationId, RequestId, UpstreamId, WorkspaceId
from quinceferry_core.platform_messages import KvListReply
from quinceferry_lab.capacity_daemons import Daemons, Meter
from quinceferry_lab.capacity_fits import Point, Series, Slope, fit
from quinceferryd.blackboard import Blackboard, Identity
from quinceferryd.heartbeats import OwnHeartbeat
from quinceferryd.http_transport import StreamingTransport
from quinceferryd.kv_client import HttpKv
from quinceferryd.members import MemberView
from quinceferryd.peer_client import HttpPeerClient

CALLS = (100, 200, 400, 800)
BYTE_CALLS = (10, 20, 40, 80)
ENTRIES = (1, 64, 128, 256)
HOLD_CALLS = 60
LISTED = (100, 200, 400, 800)
LISTINGS = 50
VALUE = b'{"incarnation":"vm-0001-0000000000000001","revision":41,"listening":true}'
TIMEOUT_SECONDS = 5.0
LEASE_SECONDS = 60.0

_Call = Callable[[], Awaitable[object]]


async def measure(daemons: Daemons) -> list[Slope]:
    """Measure all kinds of messages."""
    slopes = await _kv_slopes(daemons)
    slopes += _listing_slopes()
    slopes += await _peer_slopes(daemons)
    return slopes + await _hold_slopes(daemons)


async def _kv_slopes(daemons: Daemons) -> list[Slope]:
    """Measure calls of the key-value service."""
    url = daemons.platform.url
    platform = daemons.platform.process.pid
    slopes = []
    async with httpx.AsyncClient(transport=StreamingTransport(), trust_env=False) as http:
        kv = HttpKv(url, TIMEOUT_SECONDS, http, "capacity")
        for name, call in (("write", _writer(kv)), ("read", lambda: kv.get("capacity/none"))):
            slopes += await _both_ends(f"kv_{name}", "KV call", call, Meter, platform)
        heartbeat = await _heartbeat(kv)
        slopes += (await _both_ends("heartbeat", "heartbeat", heartbeat.renew, Meter, platform))[:1]
    async with (
        _counting_relay(url) as (relay_url, counted),
        httpx.AsyncClient(transport=StreamingTransport(), trust_env=False) as http,
    ):
        kv = HttpKv(relay_url, TIMEOUT_SECONDS, http, "capacity")
        slopes.append(await _bytes("kv_write", "KV call", _writer(kv), counted))
        heartbeat = await _heartbeat(kv)
        slopes.append(await _bytes("heartbeat", "heartbeat", heartbeat.renew, counted))
    return slopes


def _listing_slopes() -> list[Slope]:
    """Measure the answer that lists all incarnation records, and its decoding."""
    sizes, costs = [], []
    for count in LISTED:
        entries = [KvEntry(f"incarnations/{n}", _record(n), n + 1) for n in range(count)]
        answer = msgspec.json.encode(KvListReply(entries))
        meter = Meter(os.getpid())
        for _ in range(LISTINGS):
            listed = msgspec.json.decode(answer, type=KvListReply).entries
            [msgspec.json.decode(entry.value, type=IncarnationRecord) for entry in listed]
        sizes.append(Point(count, len(answer)))
        costs.append(Point(count, meter.seconds() / LISTINGS * 1e6))
    return [
        fit(Series("bytes_incarnation", "incarnation listed", "bytes"), sizes),
        fit(Series("cpu_incarnation", "incarnation listed", "µs"), costs),
    ]


def _record(number: int) -> bytes:
    """Return one encoded incarnation record."""
    name = IncarnationId(f"vm-{number:04d}-{number:016x}")
    holders = tuple(IncarnationId(f"vm-{n:04d}-{n:016x}") for n in range(3))
    record = IncarnationRecord(
        name, f"vm-{number:04d}", "zone-a", number, "", f"10.0.0.1:{number}", holders, 41, True
    )
    return msgspec.json.encode(record)


async def _peer_slopes(daemons: Daemons) -> list[Slope]:
    """Measure short calls to another router."""
    router = daemons.routers[0]
    idle = daemons.idle_by_router[router.name]
    peers = HttpPeerClient(daemons.secret, SystemClock())
    address = router.url.removeprefix("http://")

    def ask(target: str) -> _Call:
        return lambda: peers.ask_outcome(target, WorkspaceId("choir"), RequestId("q"))

    def meter(pid: int) -> Meter:
        return Meter(pid, idle if pid == router.process.pid else 0.0)

    try:
        slopes = await _both_ends("peer", "peer call", ask(address), meter, router.process.pid)
        async with _counting_relay(router.url) as (relay_url, counted):
            call = ask(relay_url.removeprefix("http://"))
            slopes.append(await _bytes("peer", "peer call", call, counted))
    finally:
        await peers.aclose()
    return slopes


async def _hold_slopes(daemons: Daemons) -> list[Slope]:
    """Measure what each journal entry adds to a call that hands entries to another router."""
    router = daemons.routers[0]
    address = router.url.removeprefix("http://")
    peers = HttpPeerClient(daemons.secret, SystemClock())
    sent, received = [], []
    try:
        for count in ENTRIES:
            copies = tuple(EntryCopy(number, _entry(number)) for number in range(count))
            request = HoldRequest(IncarnationId("none"), IncarnationId("vm-9"), copies)
            own, other = Meter(os.getpid()), daemons.meter(router)
            for _ in range(HOLD_CALLS):
                await peers.hold(address, request)
            sent.append(Point(count, own.seconds() / HOLD_CALLS * 1e6))
            received.append(Point(count, other.seconds() / HOLD_CALLS * 1e6))
    finally:
        await peers.aclose()
    item = "entry in a peer call"
    return [
        fit(Series("cpu_peer_entry_sender", item, "µs"), sent),
        fit(Series("cpu_peer_entry_receiver", item, "µs"), received),
    ]


async def _both_ends(
    name: str, item: str, call: _Call, meter: Callable[[int], Meter], pid: int
) -> list[Slope]:
    """Measure the processor time of calls at this process and at the one called."""
    await call()
    here, there = [], []
    for count in CALLS:
        own, other = meter(os.getpid()), meter(pid)
        for _ in range(count):
            await call()
        here.append(Point(count, own.seconds() * 1e6))
        there.append(Point(count, other.seconds() * 1e6))
    return [
        fit(Series(f"cpu_{name}_caller", item, "µs"), here),
        fit(Series(f"cpu_{name}_callee", item, "µs"), there),
    ]


async def _bytes(name: str, item: str, call: _Call, counted: list[int]) -> Slope:
    """Measure the bytes of calls in both directions, above TCP."""
    await call()
    points = []
    for count in BYTE_CALLS:
        before = sum(counted)
        for _ in range(count):
            await call()
        points.append(Point(count, sum(counted) - before))
    return fit(Series(f"bytes_{name}", item, "bytes"), points)


def _writer(kv: HttpKv) -> _Call:
    """Return a call that writes one key again and again."""
    version = 0

    async def write() -> None:
        nonlocal version
        if version == 0:
            stored = await kv.get("capacity/key")
            version = stored.version if stored else 0
        version = (await kv.put_if("capacity/key", VALUE, version)).version

    return write


async def _heartbeat(kv: HttpKv) -> OwnHeartbeat:
    """Return a heartbeat that holds a lease."""
    clock = SystemClock()
    view = MemberView(Blackboard(Identity("vm-9", "zone-a", "127.0.0.1:9")), kv, clock, 1.0, 0.3)
    heartbeat = OwnHeartbeat(kv, clock, view, LEASE_SECONDS)
    heartbeat.set(Member(IncarnationId("vm-9-1"), "vm-9", "zone-z", "127.0.0.1:9", 9))
    await heartbeat.bind()
    return heartbeat


def _entry(number: int) -> Begin:
    """Return one journal entry."""
    request = RequestId(f"{number:08x}-0000-4000-8000-{number:012x}")
    return Begin(WorkspaceId("workspace-000001"), request, 1, UpstreamId("engine-0001"), 700)


@asynccontextmanager
async def _counting_relay(url: str) -> AsyncIterator[tuple[str, list[int]]]:
    """Relay connections to an address and count the bytes that pass."""
    target = urlsplit(url)
    counted = [0]

    async def copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            counted[0] += len(data)
            writer.write(data)
        writer.close()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(target.hostname, target.port)
            await asyncio.gather(copy(reader, far_writer), copy(far_reader, writer))
        except OSError:
            return

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}", counted
    finally:
        server.close()
