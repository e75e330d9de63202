"""Steps for streams that callers resume at other gateway processes, among two versions."""

import asyncio
import contextlib
import json
import tempfile
from collections import defaultdict, deque
from pathlib import Path

from behave import given, then, when

from features.fixtures_gateway import HOST, KEY, free_address
from quinceferry_gateway import HttpClient, HttpListener
from quinceferry_gateway.exceptions import ConnectionBrokenError, NotSentError
from quinceferry_lab.gateway_processes import GatewayProcess
from quinceferry_standins.managed_store import ManagedStore
from quinceferry_standins.managed_upstream import ManagedUpstream, Streaming

EVENTS = 6
EVENTS_BEFORE_LOSS = 2
STREAM = Streaming(EVENTS, pause_seconds=0.1)
GRACE_SECONDS = 6.0
TRIES = 6
"""Gateways at which a caller tries to resume its stream."""
NOTICE_SECONDS = 1.5
"""Time in which all gateways have read a change of the list of upstreams."""


class VersionScene:
    """Gateway processes, upstreams of two versions and callers that lose their streams."""

    def __init__(self, gateways, upstreams):
        self.count = gateways
        self.upstreams_by_version = {
            version: [
                ManagedUpstream(f"llm-{version}-{number}", deque([STREAM]))
                for number in range(upstreams)
            ]
            for version in ("v1", "v2")
        }
        self.whole = 0

    def play(self, callers, fault):
        """Start everything, let all callers lose and resume their streams, and end it."""
        asyncio.run(self._play(callers, fault))

    async def _play(self, callers, fault):
        self.http = HttpClient()
        self.store = ManagedStore()
        async with contextlib.AsyncExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            store_address = free_address()
            upstreams = [item for items in self.upstreams_by_version.values() for item in items]
            for part in (HttpListener(self.store, store_address, 5.0), *upstreams):
                await part.start()
                stack.push_async_callback(part.stop)
            await self._publish()
            self.gateways = [
                GatewayProcess.create(f"vm-{n}", "zone-a", store_address, folder, GRACE_SECONDS)
                for n in range(self.count)
            ]
            for gateway in self.gateways:
                stack.push_async_callback(gateway.kill)
                await gateway.start()
            await asyncio.gather(*(item.wait_ready(self.http) for item in self.gateways))
            await asyncio.sleep(NOTICE_SECONDS)
            await asyncio.gather(*(self._begin(number) for number in range(callers)))
            await getattr(self, fault)()
            whole = await asyncio.gather(*(self._resume(number) for number in range(callers)))
            self.whole = sum(whole)

    async def _publish(self):
        """Write the configuration and the entries of the upstreams."""
        route = {"name": "draft", "prefix": "/draft/", "kind": "stream", "service": "llm"}
        route |= {"host": HOST, "timeout_ms": 15_000, "slo_ms": 500, "attempts": 2}
        document = {
            "version": 1,
            "routes": [route | {"resumable": True}],
            "services": [{"name": "llm", "max_conns": 500}],
            "tenants": [{"name": "choir", "api_keys": [KEY]}],
        }
        await self.store.put("op/config", json.dumps(document).encode())
        for version, upstreams in self.upstreams_by_version.items():
            for upstream in upstreams:
                await self.store.register_upstream(upstream, "llm", version=version)

    async def nothing_happens(self):
        """Go on at once."""

    async def some_are_killed(self):
        """Kill half of the gateways."""
        await asyncio.gather(*(item.kill() for item in self.gateways[::2]))

    async def all_are_killed(self):
        """Kill all gateways and start them again."""
        await asyncio.gather(*(item.kill() for item in self.gateways))
        for gateway in self.gateways:
            await gateway.start()
        await asyncio.gather(*(item.wait_ready(self.http) for item in self.gateways))

    async def some_leave(self):
        """Remove all upstreams of the first version but one."""
        await self._remove(self.upstreams_by_version["v1"][:-1])

    async def all_leave(self):
        """Remove all upstreams of the first version."""
        await self._remove(self.upstreams_by_version["v1"])

    async def _remove(self, upstreams):
        for upstream in upstreams:
            await self.store.remove(f"servers/{upstream.id}")
        await asyncio.sleep(NOTICE_SECONDS)

    async def _begin(self, number):
        """Get the first events of a stream, and lose it."""
        body = b""
        async with self._open(number, number, f"s{number}") as reply:
            assert reply.status == 200, reply.status
            async for chunk in reply.chunks():
                body += chunk
                if body.count(b"\n\n") >= EVENTS_BEFORE_LOSS:
                    return

    async def _resume(self, number):
        """Resume a stream at other gateways in turn, until one answers; return if it is whole."""
        headers = [(b"last-event-id", str(EVENTS_BEFORE_LOSS).encode())]
        headers.append((b"resumes", f"s{number}".encode()))
        for attempt in range(1, TRIES):
            name = f"s{number}-{attempt}"
            with contextlib.suppress(NotSentError, ConnectionBrokenError):
                async with self._open(number, number + attempt, name, *headers) as reply:
                    body = b"".join([chunk async for chunk in reply.chunks()])
                    if reply.status == 200:
                        return body.count(b"\n\n") == EVENTS - EVENTS_BEFORE_LOSS
        return False

    def _open(self, number, gateway, request_id, *headers):
        """Send a request for a stream to a gateway."""
        body = f"s{number}".encode()
        named = {
            "host": HOST,
            "x-quinceferry-request-id": request_id,
            "x-quinceferry-credential": KEY,
            "x-quinceferry-deadline-ms": "12000",
            "x-quinceferry-token-count": "100,40",
            "x-quinceferry-prompt-prefix": f"p{number}:60,last:40",
            "content-length": str(len(body)),
        }
        encoded = [(name.encode(), value.encode()) for name, value in named.items()]
        address = self.gateways[gateway % self.count].address("callers")
        return self.http.open(address, b"POST", b"/draft/", [*encoded, *headers], body)


FAULTS = {
    "nothing happens": "nothing_happens",
    "3 gateways are killed": "some_are_killed",
    "all gateways are killed": "all_are_killed",
    "2 upstreams of version v1 leave": "some_leave",
    "all upstreams of version v1 leave": "all_leave",
}


@given("{gateways:d} gateway processes before upstreams of two versions, {count:d} of each")
def given_scene(context, gateways, count):
    context.scene = VersionScene(gateways, count)


@when(
    "{callers:d} callers each get 2 events of a stream, then {fault}, and each resumes at another "
    "gateway"
)
def when_lost(context, callers, fault):
    context.scene.play(callers, FAULTS[fault])


@then("no stream has events of two versions")
def then_one_version(context):
    versions_by_stream = defaultdict(set)
    for version, upstreams in context.scene.upstreams_by_version.items():
        for seen in (seen for upstream in upstreams for seen in upstream.seen):
            versions_by_stream[seen.body].add(version)
    mixed = [key for key, versions in versions_by_stream.items() if len(versions) > 1]
    assert versions_by_stream and not mixed, mixed


@then("at least {least:d} of {callers:d} streams are whole")
def then_whole(context, least, callers):
    assert context.scene.whole >= least, context.scene.whole
