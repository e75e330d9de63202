"""A gateway on stand-ins of the users' platform, all over real sockets."""

import asyncio
import contextlib
import json
import random
import socket
import time
from collections import deque
from dataclasses import dataclass, field
from functools import partial

from quinceferry_core.clocks import SystemClock
from quinceferry_gateway import Application, HttpClient, HttpListener, Metrics
from quinceferry_gateway.blackboard import Phase
from quinceferry_gateway.exceptions import ConnectionBrokenError, NotSentError, PeerClosedError
from quinceferry_gateway.settings import (
    Addresses,
    BudgetSettings,
    Identity,
    RetrySettings,
    Settings,
    StopSettings,
    StoreSettings,
)
from quinceferry_gateway.stop_requests import StopRequest
from quinceferry_gateway.transport import CONNECT_TIMEOUT_SECONDS
from quinceferry_platform.endpoints import listeners
from quinceferry_platform.headers import PlatformDialect
from quinceferry_platform.store import PlatformStore
from quinceferry_standins.managed_store import ManagedStore
from quinceferry_standins.managed_upstream import ManagedUpstream

HOST = "books.example"
KEY = "key-of-choir"
WORKSPACE = "choir"
FIRST_PORT = 15_000
LAST_PORT = 30_000
GRACE_SECONDS = 6.0
"""Grace time of the gateways of a scenario."""
PATIENCE_SECONDS = 20.0
"""How long a condition may take; far above what it needs, so that a slow machine is no failure."""

_PORTS = iter(random.sample(range(FIRST_PORT, LAST_PORT), LAST_PORT - FIRST_PORT))


def free_address():
    """Return an address on which nobody listens.

    The ports lie below those that the system gives to outgoing connections, so that none of these
    can take the port before the gateway does.
    """
    for port in _PORTS:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"
    raise AssertionError("no free port")


def configuration(version=1, prepaid=1_000_000, **changes):
    """Return the operators' document: one route of each kind, two services, one workspace."""
    common = {"host": HOST, "timeout_ms": 4000, "slo_ms": 500, "priority": 2, "attempts": 2}
    routes = [
        {"name": "get", "prefix": "/get/", "kind": "safe", "service": "app"},
        {"name": "post", "prefix": "/post/", "kind": "unsafe", "service": "app"},
        {"name": "draft", "prefix": "/draft/", "kind": "stream", "service": "llm"}
        | {"resumable": True},
        {"name": "ask", "prefix": "/ask/", "kind": "stream", "service": "llm"},
        {"name": "short", "prefix": "/get/short/", "kind": "safe", "service": "app"}
        | {"timeout_ms": 400},
    ]
    return {
        "version": version,
        "routes": [common | route for route in routes],
        "services": [
            {"name": "app", "max_conns": 100},
            {"name": "llm", "max_conns": 100, "engine": {"stride": 4}},
        ],
        "limits": {"max_header_bytes": 2000, "max_body_bytes": 5000, "idle_timeout_ms": 15000},
        "tenants": [{"name": WORKSPACE, "api_keys": [KEY], "prepaid": prepaid}],
        "unknown": {"field": 1},
    } | changes


@dataclass
class Answer:
    """What a caller got; ``whole`` is False when the answer broke off.

    ``received_at`` is the event loop time at which the response head was received, ``seconds`` the
    time that took.
    """

    status: int
    headers: dict
    body: bytes = b""
    whole: bool = True
    received_at: float = 0.0
    seconds: float = 0.0


class PartitionedHttpClient(HttpClient):
    """Client of one gateway that can lose its links to some addresses.

    New connections to ``cut`` addresses hang, or are refused if ``refuses`` is set; open ones hang,
    or are reset if ``resets`` is set.
    """

    def __init__(self):
        self.cut = frozenset()
        self.refuses = False
        self.resets = False
        self.healed = asyncio.Event()

    @contextlib.asynccontextmanager
    async def open(self, address, *args, connect_timeout_seconds=CONNECT_TIMEOUT_SECONDS, **kwargs):
        """Send a request and yield its answer."""
        if address in self.cut:
            await asyncio.sleep(0.0 if self.refuses else connect_timeout_seconds)
            raise NotSentError("partitioned", step="connect", peer=address)
        seconds = connect_timeout_seconds
        opened = super().open(address, *args, connect_timeout_seconds=seconds, **kwargs)
        async with opened as reply:
            reply.chunks = partial(self._chunks, reply.chunks, address)
            yield reply

    async def _chunks(self, chunks, address):
        """Yield the chunks of an answer until the address is cut."""
        async for chunk in chunks():
            if address in self.cut and self.resets:
                raise PeerClosedError("partitioned", step="body", peer=address)
            if address in self.cut:
                await self.healed.wait()
            yield chunk

    async def listens(self, address, timeout_seconds):
        """Return whether a server accepts connections at an address."""
        if address in self.cut:
            await asyncio.sleep(0.0 if self.refuses else timeout_seconds)
            return False
        return await super().listens(address, timeout_seconds)


@dataclass
class Scene:
    """Collects the acts of a scenario and plays them in one event loop."""

    document: dict = field(default_factory=configuration)
    upstreams_by_id: dict = field(default_factory=dict)
    services_by_id: dict = field(default_factory=dict)
    acts: list = field(default_factory=list)
    answers: list = field(default_factory=list)
    gateways: int = 1
    held_share: float = 0.5
    region: str = "region"
    region_by_zone: dict = field(default_factory=dict)
    records_by_key: dict = field(default_factory=dict)

    def add_upstream(self, upstream_id, service, *script):
        """Add an upstream with its behaviours."""
        self.upstreams_by_id[upstream_id] = ManagedUpstream(upstream_id, deque(script))
        self.services_by_id[upstream_id] = service

    def play(self, *checks):
        """Start everything, run all acts and then the checks."""
        asyncio.run(self._play(checks))

    async def _play(self, checks):
        self.store = ManagedStore()
        self.http = HttpClient()
        self.applications = []
        self.clients = []
        self.stops = []
        async with contextlib.AsyncExitStack() as stack:
            self.ending = stack
            store_address = free_address()
            await _enter(stack, HttpListener(self.store, store_address, 5.0))
            for upstream in self.upstreams_by_id.values():
                await _enter(stack, upstream)
            await self.publish(self.document)
            for key, value in self.records_by_key.items():
                await self.store.put(key, value)
            await self.register()
            self.tasks = [self._begin(number, store_address) for number in range(self.gateways)]
            tasks = self.tasks
            for task in tasks:
                stack.push_async_callback(self._end, task)
            await until(lambda: self._all_serve(tasks))
            for act in [*self.acts, *checks]:
                result = act(self)
                if asyncio.iscoroutine(result):
                    await result

    def _begin(self, number, store_address):
        """Start one gateway and return its task."""
        settings = Settings(
            Identity(f"vm-{number}", "zone-a", self.region, self.region_by_zone),
            Addresses(*(free_address() for _ in range(5))),
            StoreSettings(store_address, timeout_seconds=1.0),
            RetrySettings(0.2, 20, 10),
            StopSettings(GRACE_SECONDS, leave_seconds=0.5),
            budgets=BudgetSettings(held_share=self.held_share),
        )
        metrics = Metrics()
        store = PlatformStore(store_address, 1.0, self.http, metrics)
        client = PartitionedHttpClient()
        application = Application(
            settings,
            store,
            store,
            store,
            PlatformDialect(),
            SystemClock(),
            metrics,
            client,
            listeners,
        )
        self.clients.append(client)
        stop = StopRequest()
        self.applications.append(application)
        self.stops.append(stop)
        return asyncio.create_task(application.run(stop))

    async def _end(self, task):
        """Stop the gateway of a task."""
        for number in range(len(self.stops)):
            self.request_stop(number)
        await asyncio.wait_for(task, PATIENCE_SECONDS)

    def request_stop(self, gateway=0, noted_at=None):
        """Request the stop of a gateway, now or at an earlier time on the monotonic clock."""
        self.stops[gateway].make(time.monotonic() if noted_at is None else noted_at)

    def _all_serve(self, tasks):
        """Tell whether all gateways can serve; raise the error of one that ended."""
        for task in tasks:
            if task.done():
                task.result()
        return all(self._can_serve(item) for item in self.applications)

    def _can_serve(self, application):
        """Tell whether a gateway is ready and has drawn tokens, as far as there are any."""
        board = application.blackboard
        serving = board.phase is Phase.SERVING
        ready = board.is_ready or (serving and not self.document)
        available = application.holder.available_by_workspace()
        return ready and (not self.document or available.get(WORKSPACE, 0) > 0)

    def cut_links(self, gateway, refuses=False, resets=False):
        """Partition a gateway from all upstreams."""
        client = self.clients[gateway]
        client.cut = frozenset(item.address for item in self.upstreams_by_id.values())
        client.refuses = refuses
        client.resets = resets
        client.healed.clear()

    def heal_links(self, gateway):
        """End the partition of a gateway."""
        self.clients[gateway].cut = frozenset()
        self.clients[gateway].healed.set()

    async def publish(self, document):
        """Write the operators' document; bytes are written as they are."""
        if document:
            raw = document if isinstance(document, bytes) else json.dumps(document).encode()
            await self.store.put("op/config", raw)

    async def register(self, **changes):
        """Write the entries of all upstreams."""
        for upstream_id in self.upstreams_by_id:
            await self.register_one(upstream_id, **changes.get(upstream_id, {}))

    async def register_one(self, upstream_id, **changes):
        """Write the entry of an upstream."""
        await self.store.register_upstream(
            self.upstreams_by_id[upstream_id],
            self.services_by_id[upstream_id],
            **{"slots": 4} | changes,
        )

    def headers(self, **changes):
        """Return a caller's headers; a value of None leaves one out."""
        named = {
            "host": HOST,
            "x-quinceferry-request-id": f"r{len(self.answers)}",
            "x-quinceferry-credential": KEY,
            "x-quinceferry-deadline-ms": "6000",
        } | {name.replace("_", "-"): value for name, value in changes.items()}
        return [(name.encode(), value.encode()) for name, value in named.items() if value]

    async def ask(self, method, target, body=b"", gateway=0, **changes):
        """Send a request and keep its answer."""
        address = self.applications[gateway].settings.listen.callers
        headers = [*self.headers(**changes), (b"content-length", str(len(body)).encode())]
        sent_at = asyncio.get_running_loop().time()
        opened = self.http.open(address, method.encode(), target.encode(), headers, body)
        async with asyncio.timeout(PATIENCE_SECONDS), opened as reply:
            received_at = asyncio.get_running_loop().time()
            answer = Answer(reply.status, dict(reply.headers), received_at=received_at)
            answer.seconds = received_at - sent_at
            try:
                async for chunk in reply.chunks():
                    answer.body += chunk
            except ConnectionBrokenError:
                answer.whole = False
        self.answers.append(answer)
        return answer

    async def fetch(self, address, target):
        """Ask one of the gateway's other addresses."""
        headers = [(b"host", b"gateway")]
        return await self.http.fetch(
            address, b"GET", target.encode(), headers, timeout_seconds=PATIENCE_SECONDS
        )

    @property
    def runs(self):
        """Return how many requests reached upstreams."""
        return sum(len(upstream.seen) for upstream in self.upstreams_by_id.values())


async def until(condition, shown=lambda: ""):
    """Wait until a condition holds; when it does not, tell what is shown."""
    ends_at = asyncio.get_running_loop().time() + PATIENCE_SECONDS
    while not condition():
        assert asyncio.get_running_loop().time() < ends_at, f"did not come about: {shown()}"
        await asyncio.sleep(0.02)


async def _enter(stack, part):
    """Start a part and stop it at the end."""
    await part.start()
    stack.push_async_callback(part.stop)
