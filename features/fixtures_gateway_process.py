"""A gateway as a process of its own, on stand-ins of the users' platform over real sockets."""

import asyncio
import contextlib
import json
import tempfile
import time
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path

from features.fixtures_gateway import HOST, KEY, free_address, until
from quinceferry_gateway import HttpClient, HttpListener
from quinceferry_gateway.exceptions import ConnectionBrokenError
from quinceferry_lab.gateway_processes import GatewayProcess, StopRecord
from quinceferry_standins.managed_store import ManagedStore
from quinceferry_standins.managed_upstream import ManagedUpstream, Streaming

GRACE_SECONDS = 6.0
"""Time from SIGTERM to SIGKILL."""
CALLER_SECONDS = 20.0
"""Time that callers give their requests, more than any stop lasts."""
SLICE_SECONDS = 0.1
"""Time in which a starved gateway gets its share of a core once."""
EVENTS = 10_000
EVENT_PAUSE_SECONDS = 0.05


def configuration(limits):
    """Return the operators' document: one stream that may run once, without tokens.

    :param limits: bounds on what callers may send; those left out have their defaults.
    """
    route = {"name": "explain", "prefix": "/explain/", "kind": "stream", "service": "llm"}
    route |= {"host": HOST, "timeout_ms": CALLER_SECONDS * 1000, "slo_ms": 500, "attempts": 1}
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": "llm", "max_conns": 100}],
        "tenants": [{"name": "choir", "api_keys": [KEY]}],
        "limits": limits,
    }


@dataclass
class ReceivedStream:
    """What a caller received; times are on the monotonic clock, ``ended_at`` is 0 until the end."""

    status: int = 0
    events: int = 0
    ended_at: float = 0.0
    whole: bool = False


@dataclass
class ProcessScene:
    """One gateway process, its platform, and what its callers saw.

    ``acts`` are played in order, each with the scene. ``waits_ready`` tells whether they begin when
    the gateway is ready, or as soon as its process was started. ``limits`` are those of the
    operators' document, ``events`` is the length of each stream, ``settings`` is added to the
    settings file of the gateway.
    """

    acts: list = field(default_factory=list)
    waits_ready: bool = True
    descriptors: int = 0
    limits: dict = field(default_factory=dict)
    events: int = EVENTS
    settings: str = ""
    event_pause_seconds: float = EVENT_PAUSE_SECONDS
    streams: list = field(default_factory=list)
    tasks: list = field(default_factory=list)

    def play(self):
        """Start everything, play all acts and end what still runs."""
        asyncio.run(self._play())

    async def _play(self):
        self.http = HttpClient()
        self.store = ManagedStore()
        self.upstream = ManagedUpstream(
            "llm-1", deque([Streaming(self.events, pause_seconds=self.event_pause_seconds)])
        )
        async with contextlib.AsyncExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            store_address = free_address()
            for part in (HttpListener(self.store, store_address, 5.0), self.upstream):
                await part.start()
                stack.push_async_callback(part.stop)
            await self._publish()
            self.gateway = GatewayProcess.create(
                "vm-1", "zone-a", store_address, folder, GRACE_SECONDS
            )
            stack.push_async_callback(self.gateway.kill)
            with self.gateway.settings.open("a") as file:
                file.write(self.settings)
            await self.gateway.start(self.descriptors)
            if self.waits_ready:
                await self.gateway.wait_ready(self.http)
            try:
                for act in self.acts:
                    await act(self)
            finally:
                self.read_log()

    async def _publish(self):
        """Write the configuration and the entry of the upstream."""
        await self.store.put("op/config", json.dumps(configuration(self.limits)).encode())
        await self.store.register_upstream(self.upstream, "llm")

    async def wait_blocked(self, number):
        """Wait until the gateway blocks a signal, which it does before anything else."""
        status = Path(f"/proc/{self.gateway.process.pid}/status")

        def is_blocked():
            mask = next(line for line in status.read_text().splitlines() if "SigBlk" in line)
            return int(mask.split()[1], 16) >> (number - 1) & 1

        await until(is_blocked)

    def send_stop(self):
        """Begin a planned stop of the gateway."""
        self.stop = StopRecord("vm-1", time.monotonic())
        self.end_task = asyncio.create_task(self.gateway.stop(self.stop))

    def begin_starving(self, share):
        """Let the gateway run for a share of each tenth of a second only, until it ends."""
        self.starving = asyncio.create_task(self._starve(share))

    async def _starve(self, share):
        """Stop and continue the gateway in turns."""
        while self.gateway.running:
            await asyncio.sleep(share * SLICE_SECONDS)
            await self.gateway.stall((1 - share) * SLICE_SECONDS)

    async def receive_streams(self, count):
        """Begin to receive streams, and wait until each has received events."""
        received = [ReceivedStream() for _ in range(count)]
        self.tasks += [
            asyncio.create_task(self._receive(item, f"stream-{number}"))
            for number, item in enumerate(received)
        ]
        self.streams += received
        await until(lambda: all(item.events for item in received))

    async def _receive(self, received, request_id):
        """Receive one stream until it ends."""
        headers = [
            (b"host", HOST.encode()),
            (b"content-length", b"2"),
            (b"x-quinceferry-request-id", request_id.encode()),
            (b"x-quinceferry-credential", KEY.encode()),
            (b"x-quinceferry-deadline-ms", str(int(CALLER_SECONDS * 1000)).encode()),
        ]
        address = self.gateway.address("callers")
        try:
            async with self.http.open(address, b"POST", b"/explain/a", headers, b"{}") as reply:
                received.status = reply.status
                async for chunk in reply.chunks():
                    received.events += chunk.count(b"\n\n")
                received.whole = True
        except ConnectionBrokenError:
            received.whole = False
        received.ended_at = time.monotonic()

    def read_log(self):
        """Read what the gateway has logged so far."""
        self.log_lines = [json.loads(line) for line in self.gateway.log.read_text().splitlines()]

    def log_events(self, name):
        """Return the log lines of an event, as last read."""
        return [line for line in self.log_lines if line["event"] == name]


def process_scene(context):
    """Return the scene of a scenario, a new one at the first use."""
    if not hasattr(context, "process_scene"):
        context.process_scene = ProcessScene()
    return context.process_scene
