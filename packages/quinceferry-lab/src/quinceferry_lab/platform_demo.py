"""Demo of gateways on a stand-in platform: real processes, a stop, a kill, and an audit."""

import asyncio
import json
import random
import sys
import tempfile
from collections import Counter, deque
from dataclasses import dataclass, field
from pathlib import Path

from quinceferry_gateway import HttpClient, HttpListener
from quinceferry_gateway.exceptions import ConnectionBrokenError, NotSentError
from quinceferry_lab.gateway_processes import GatewayProcess, StopRecord, free_port
from quinceferry_standins.managed_store import ManagedStore
from quinceferry_standins.managed_upstream import (
    REQUEST_ID,
    SEAL,
    Answered,
    Broken,
    ManagedUpstream,
    Streaming,
)

GATEWAYS = 3
REQUESTS = 240
REQUESTS_PER_SECOND = 20
PREPAID_TOKENS = 60_000
PROMPT_TOKENS = 400
OUTPUT_TOKENS = 40
TOKENS_PER_EVENT = 4
EVENTS = 10
HOST = "books.example"
KEY = "key-of-choir"
WORKSPACE = "choir"
GRACE_SECONDS = 8.0
REQUEST_SECONDS = 15.0
BUDGET_KEY = "quinceferry/budgets/0"


@dataclass(slots=True)
class Demo:
    """All parts of the demo, and what its callers saw."""

    store: ManagedStore
    upstreams: list[ManagedUpstream]
    gateways: list[GatewayProcess]
    http: HttpClient
    statuses: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    whole_streams: int = 0

    async def ask(self, number: int) -> None:
        """Send one request to a gateway that an address answer names, and check its answer."""
        kind = ("get", "post", "draft")[number % 3]
        method = b"GET" if kind == "get" else b"POST"
        headers = self._headers(f"{kind}-{number}", kind)
        try:
            async with asyncio.timeout(REQUEST_SECONDS):
                address = await self._resolve()
                target = f"/{kind}/{number}".encode()
                async with self.http.open(address, method, target, headers, b"{}") as reply:
                    body = b"".join([chunk async for chunk in reply.chunks()])
        except (NotSentError, ConnectionBrokenError, TimeoutError) as error:
            self.statuses[type(error).__name__] += 1
            return
        self.statuses[str(reply.status)] += 1
        if reply.status == 200:
            self._check(number, kind, dict(reply.headers), body)

    @staticmethod
    def _headers(request_id: str, kind: str) -> list[tuple[bytes, bytes]]:
        """Return a caller's headers."""
        headers = [
            (b"host", HOST.encode()),
            (b"content-length", b"2"),
            (REQUEST_ID, request_id.encode()),
            (b"x-quinceferry-credential", KEY.encode()),
            (b"x-quinceferry-deadline-ms", b"8000"),
        ]
        if kind == "draft":
            counts = f"{PROMPT_TOKENS},{OUTPUT_TOKENS}".encode()
            headers.append((b"x-quinceferry-token-count", counts))
        return headers

    async def _resolve(self) -> str:
        """Return an address that the first gateway that answers names."""
        for gateway in random.sample(self.gateways, len(self.gateways)):
            try:
                reply = await self.http.fetch(
                    gateway.address("directory"),
                    b"GET",
                    f"/v1/resolve?name={HOST}".encode(),
                    [(b"host", b"directory")],
                    timeout_seconds=1.0,
                )
            except (NotSentError, ConnectionBrokenError):
                continue
            if reply.status == 200:
                return random.choice(json.loads(reply.body)["addrs"])
        raise NotSentError("no gateway names an address", step="resolve")

    def _check(self, number: int, kind: str, headers: dict[bytes, bytes], body: bytes) -> None:
        """Note an answer that is not the caller's own or not whole."""
        request_id = f"{kind}-{number}"
        if headers.get(SEAL) != f"seal-of-{request_id}".encode():
            self.faults.append(f"{request_id}: answer of another request")
        self.whole_streams += kind == "draft"
        whole = body.count(b"\n\n") == EVENTS if kind == "draft" else body == b"done"
        if not whole:
            self.faults.append(f"{request_id}: not whole")

    def audit(self) -> dict[str, object]:
        """Compare what callers saw with what the upstreams ran and the record counts."""
        runs = Counter(
            seen.headers[REQUEST_ID].decode()
            for upstream in self.upstreams
            for seen in upstream.seen
        )
        twice = [key for key, count in runs.items() if key.startswith("post-") and count > 1]
        self.faults += [f"{key}: ran twice" for key in twice]
        if any(b"x-quinceferry-credential" in seen.headers for seen in self._seen()):
            self.faults.append("a key was passed on")
        budget = json.loads(self.store.value(BUDGET_KEY))["budgets_by_workspace"][WORKSPACE]
        held = sum(
            entry.get("drawn", 0) - entry.get("reported", 0)
            for entry in budget.get("allotments_by_holder", {}).values()
        )
        counted = budget.get("spent", 0) + held
        used = self.whole_streams * (PROMPT_TOKENS + EVENTS * TOKENS_PER_EVENT)
        if not used <= counted <= PREPAID_TOKENS:
            self.faults.append(f"{counted} tokens counted, {used} used of {PREPAID_TOKENS}")
        return {
            "requests": REQUESTS,
            "statuses": dict(self.statuses),
            "runs": sum(runs.values()),
            "tokens_spent": budget.get("spent", 0),
            "tokens_stranded": held,
            "faults": self.faults,
        }

    def _seen(self):
        """Return all requests that upstreams saw."""
        return [seen for upstream in self.upstreams for seen in upstream.seen]


def _configuration() -> bytes:
    """Return the operators' document."""
    common = {"host": HOST, "timeout_ms": 8000, "slo_ms": 500, "attempts": 2}
    routes = [
        common | {"name": "get", "prefix": "/get/", "kind": "safe", "service": "app"},
        common | {"name": "post", "prefix": "/post/", "kind": "unsafe", "service": "app"},
        common
        | {"name": "draft", "prefix": "/draft/", "kind": "stream", "service": "llm"}
        | {"resumable": True},
    ]
    return json.dumps(
        {
            "version": 1,
            "routes": routes,
            "services": [{"name": "app"}, {"name": "llm", "engine": {"stride": TOKENS_PER_EVENT}}],
            "tenants": [{"name": WORKSPACE, "api_keys": [KEY], "prepaid": PREPAID_TOKENS}],
        }
    ).encode()


def _upstreams() -> list[ManagedUpstream]:
    """Return upstreams of both services; some of their answers break off."""
    plain = [Answered()] * 8 + [Broken()]
    streams = [Streaming(EVENTS, pause_seconds=0.02)] * 8 + [Streaming(EVENTS, 4, "partial")]
    apps = [ManagedUpstream(f"app-{number}", deque(plain * 50)) for number in range(3)]
    engines = [ManagedUpstream(f"llm-{number}", deque(streams * 50)) for number in range(3)]
    return apps + engines


async def _run(folder: Path) -> dict[str, object]:
    """Play the demo and return its audit."""
    store = ManagedStore()
    store_address = f"127.0.0.1:{free_port()}"
    listener = HttpListener(store, store_address, 5.0)
    await listener.start()
    gateways = [
        GatewayProcess.create(
            f"vm-{number}", f"zone-{number}", store_address, folder, GRACE_SECONDS
        )
        for number in range(GATEWAYS)
    ]
    demo = Demo(store, _upstreams(), gateways, HttpClient())
    await store.put("op/config", _configuration())
    for upstream in demo.upstreams:
        await upstream.start()
        await store.register_upstream(upstream, upstream.id.partition("-")[0], slots=8)
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready(demo.http)
        await asyncio.sleep(3.0)
        await _load(demo)
        for gateway in gateways:
            if gateway.running:
                await gateway.stop(StopRecord(gateway.vm, 0.0))
        return demo.audit()
    finally:
        for gateway in gateways:
            await gateway.kill()
        for upstream in demo.upstreams:
            await upstream.stop()
        await listener.stop()


async def _load(demo: Demo) -> None:
    """Send all requests; stop one gateway a third of the way in, and kill another at two thirds."""
    async with asyncio.TaskGroup() as group:
        for number in range(REQUESTS):
            group.create_task(demo.ask(number))
            if number == REQUESTS // 3:
                group.create_task(_replace(demo.gateways[0], planned=True))
            if number == 2 * REQUESTS // 3:
                group.create_task(_replace(demo.gateways[1], planned=False))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)


async def _replace(gateway: GatewayProcess, planned: bool) -> None:
    """End a gateway and start it again."""
    if planned:
        await gateway.stop(StopRecord(gateway.vm, 0.0))
    else:
        await gateway.kill()
    await gateway.start()


def main() -> int:
    """Run the demo and print its audit as JSON.

    :return: 0 when no promise broke.
    """
    with tempfile.TemporaryDirectory() as folder:
        audit = asyncio.run(_run(Path(folder)))
    print(json.dumps(audit))
    return 1 if audit["faults"] else 0


if __name__ == "__main__":
    sys.exit(main())
