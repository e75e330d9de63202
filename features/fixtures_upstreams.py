"""Requests to stand-in upstreams, and what is read from their answers."""

import asyncio
import json
from contextlib import aclosing, asynccontextmanager

from quinceferry_core.adapters import Dispatch
from quinceferry_core.clocks import SystemClock
from quinceferry_core.models import (
    CallerRequest,
    IncarnationId,
    ModelRef,
    Priority,
    RequestId,
    RequestKind,
    UpstreamId,
    UpstreamKind,
    UpstreamSpec,
    WorkspaceId,
)
from quinceferry_core.outcomes import Chunk
from quinceferry_standins.engine import FakeEngine
from quinceferry_standins.engine_app import engine_app
from quinceferry_standins.engine_settings import EngineSettings
from quinceferry_standins.service import FakeService
from quinceferry_standins.service_app import service_app
from quinceferry_standins.serving import running
from quinceferry_standins.upstreams import FakeUpstreams
from quinceferryd.upstream_client import HttpUpstreams

MODEL = ModelRef("ledger")
ENGINE_ID = UpstreamId("runner-1")
SERVICE_ID = UpstreamId("portal-1")
ENGINE = UpstreamSpec(ENGINE_ID, "", "fi-south-a")
SERVICE = UpstreamSpec(SERVICE_ID, "", "fi-south-a", UpstreamKind.SERVICE, service="portal")
CAP = 100_000


def make_dispatch(request_id="r1", upstream=ENGINE, cap=CAP, offset=0, **fields):
    """Return a chat request for 20 output tokens, or what the fields say instead."""
    prompt = fields.pop("prompt", "user: explain entry 12")
    tokens = fields.pop("tokens", 20)
    wanted_tokens = fields.pop("wanted_tokens", tokens)
    body = {
        "model": str(fields.get("target", MODEL)),
        "messages": [{"role": "user", "content": prompt.removeprefix("user: ")}],
        "max_completion_tokens": 9999,
        "stand_in_output_tokens": wanted_tokens,
    }
    request = CallerRequest(
        workspace=WorkspaceId(fields.pop("workspace", "choir")),
        request_id=RequestId(request_id),
        kind=RequestKind.CHAT,
        target=fields.pop("target", MODEL),
        prompt=prompt,
        body=json.dumps(body).encode(),
        max_output_tokens=tokens,
        priority=fields.pop("priority", Priority.NORMAL),
        idempotent=fields.pop("idempotent", True),
    )
    assert not fields, fields
    return Dispatch(request, upstream, IncarnationId("router-1"), 7, 1, cap, offset)


def make_service_dispatch(request_id, upstream=SERVICE, idempotent=False, method="POST"):
    """Return a call of the plain service."""
    request = CallerRequest(
        workspace=WorkspaceId("choir"),
        request_id=RequestId(request_id),
        kind=RequestKind.SERVICE,
        target=ModelRef("portal"),
        body=b"dues=40",
        idempotent=idempotent,
        method=method,
        path="/dues/post?year=2026",
    )
    return Dispatch(request, upstream, IncarnationId("router-1"), 7, 1, 0)


async def collect(events, limit=None):
    """Return the events of an answer, or its first ones; the stream is then closed."""
    seen = []
    async with aclosing(events):
        async for event in events:
            seen.append(event)
            if len(seen) == limit:
                break
    return seen


def text_of(events):
    """Return the text of all chunks."""
    return "".join(event.text for event in events if isinstance(event, Chunk))


async def error_of(work):
    """Return the name of the error that a coroutine raises, or an empty text."""
    try:
        await work
    except Exception as error:
        return type(error).__name__
    return ""


@asynccontextmanager
async def connected_upstreams(wire):
    """Run an engine and a service in real time, reached in process or over HTTP."""
    clock = SystemClock()
    settings = EngineSettings(
        models=(MODEL,), checks_fencing=True, step_seconds=0.001, report_lag_seconds=0.0
    )
    engine = FakeEngine(clock, ENGINE_ID, settings)
    service = FakeService(clock, SERVICE_ID, call_seconds=0.001)
    if wire == "in process":
        client = FakeUpstreams(clock, {ENGINE_ID: engine, SERVICE_ID: service})
        yield client, engine, service, ENGINE, SERVICE
        await engine.stop()
        return
    async with running(engine_app(engine)) as engine_url, running(service_app(service)) as url:
        client = HttpUpstreams()
        specs = (
            UpstreamSpec(ENGINE_ID, engine_url, "fi-south-a"),
            UpstreamSpec(SERVICE_ID, url, "fi-south-a", UpstreamKind.SERVICE),
        )
        yield client, engine, service, *specs
        await client.aclose()


class ScriptedServer:
    """Server that answers each connection with given bytes and then closes it or stays silent."""

    def __init__(self, answers, closes=True):
        self.connections = 0
        self.requests = []
        self.dropped = asyncio.Event()
        self._answers = list(answers)
        self._closes = closes

    async def start(self):
        """Listen, and return the spec of the upstream."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return UpstreamSpec(ENGINE_ID, f"127.0.0.1:{port}", "fi-south-a")

    async def stop(self):
        """Stop listening."""
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        self.connections += 1
        for answer in self._answers:
            head = await self._read_request(reader)
            if not head:
                break
            self.requests.append(head)
            writer.write(answer)
        if not self._closes:
            await reader.read()
            self.dropped.set()
        writer.close()

    async def _read_request(self, reader):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""
        lengths = [line for line in head.split(b"\r\n") if line.lower().startswith(b"content-len")]
        await reader.readexactly(int(lengths[0].split(b":")[1]) if lengths else 0)
        return head
