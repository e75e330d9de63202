"""Processor time of requests, tokens and configuration changes at real daemons, and memory."""

import asyncio

import httpx

from quinceferry_core.operator_messages import CreateWorkspace
from quinceferry_lab.capacity_daemons import (
    COARSE_MODEL,
    COARSE_TOKENS_PER_STEP,
    KEY,
    MODEL,
    SLOW_MODEL,
    Daemons,
    register_engine,
)
from quinceferry_lab.capacity_fits import Point, Series, Slope, fit
from quinceferry_lab.child_processes import ChildProcess
from quinceferryd.keys import key_digest

TOKENS = (16, 64, 128, 256)
REQUESTS = 40
CONCURRENCY = 8
CHANGES = (8, 16, 32, 64)
CHANGE_PAUSE_SECONDS = 1.0
STREAMS = (40, 80, 120, 160)
STREAM_OPEN_SECONDS = 4.0
STREAM_TOKENS = 64
ENGINES = (3, 6, 9, 12)
CALL_TIMEOUT_SECONDS = 60.0
PROMPT = "Which entries of this year lack a voucher? " * 8


async def measure(daemons: Daemons) -> tuple[list[Slope], dict[str, float]]:
    """Measure all; return the slopes and single readings."""
    readings = {"memory_daemon_idle": float(daemons.routers[0].resident_bytes())}
    slopes = [await _idle_slope(daemons)]
    readings["cpu_daemon_idle"] = round(daemons.idle_by_router[daemons.routers[0].name], 5)
    slopes += await _change_slopes(daemons)
    slopes.append(await _request_slope(daemons, MODEL, "cpu_request"))
    slopes.append(await _request_slope(daemons, COARSE_MODEL, "cpu_request_coarse"))
    slopes.append(await _stream_slope(daemons))
    readings["coarse_tokens_per_step"] = COARSE_TOKENS_PER_STEP
    return slopes, readings


async def _idle_slope(daemons: Daemons) -> Slope:
    """Measure an idle router's processor time over the engines that it looks at."""
    points = []
    registered = len(daemons.engines_by_model)
    url = daemons.engines_by_model[MODEL].url
    async with daemons.operators() as client:
        for count in ENGINES:
            while registered < count:
                await register_engine(client, f"engine-{MODEL}-{registered}", url)
                registered += 1
            await daemons.rest()
            points += [
                Point(count, daemons.idle_by_router[router.name] * 1e6)
                for router in daemons.routers
            ]
    return fit(Series("cpu_idle_engines", "engine polled", "µs/s"), points)


async def _change_slopes(daemons: Daemons) -> list[Slope]:
    """Measure what a change costs the router that makes it and one that follows."""
    proposing, following = [], []
    number = 0
    async with daemons.operators() as client:
        revision = await client.revision()
        for count in CHANGES:
            proposer, follower = (daemons.meter(router) for router in daemons.routers)
            for _ in range(count):
                number += 1
                key_hash = key_digest(f"key-{number}")
                reply = await client.change(
                    CreateWorkspace,
                    workspace=f"w{number}",
                    key_hash=key_hash,
                    models=[MODEL],
                    expected_revision=revision,
                )
                revision = reply.revision
                # A change that stands alone is what an ordinary day brings.
                await asyncio.sleep(CHANGE_PAUSE_SECONDS / 10)
            await asyncio.sleep(CHANGE_PAUSE_SECONDS)
            proposing.append(Point(count, proposer.seconds() * 1e6))
            following.append(Point(count, follower.seconds() * 1e6))
    item = "configuration change"
    return [
        fit(Series("cpu_change_proposer", item, "µs"), proposing),
        fit(Series("cpu_change_follower", item, "µs"), following),
    ]


async def _request_slope(daemons: Daemons, model: str, name: str) -> Slope:
    """Measure a streamed request's processor time over its tokens."""
    router = daemons.routers[1]
    points = []
    async with _caller(router) as caller:
        await _ask_all(caller, model, TOKENS[0])
        for tokens in TOKENS:
            meter = daemons.meter(router)
            await _ask_all(caller, model, tokens)
            points.append(Point(tokens, meter.seconds() / REQUESTS * 1e6))
    return fit(Series(f"{name}_token", "relayed token", "µs"), points)


async def _ask_all(caller: httpx.AsyncClient, model: str, tokens: int) -> None:
    """Stream some requests, a few at a time."""
    slots = asyncio.Semaphore(CONCURRENCY)

    async def ask() -> None:
        async with slots:
            await _stream(caller, model, tokens)

    await asyncio.gather(*(ask() for _ in range(REQUESTS)))


async def _stream_slope(daemons: Daemons) -> Slope:
    """Measure a router's memory over its open streams, with their connections."""
    router = daemons.routers[1]
    points = []
    tasks: list[asyncio.Task[None]] = []
    async with _caller(router) as caller:
        try:
            for count in STREAMS:
                held = (
                    _stream(caller, SLOW_MODEL, STREAM_TOKENS) for _ in range(count - len(tasks))
                )
                tasks += [asyncio.create_task(stream) for stream in held]
                await asyncio.sleep(STREAM_OPEN_SECONDS)
                points.append(Point(count, router.resident_bytes()))
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
    return fit(Series("memory_stream", "open stream", "bytes"), points)


async def _stream(caller: httpx.AsyncClient, model: str, tokens: int) -> None:
    """Send one request and read its whole answer."""
    body = {
        "model": model,
        "messages": [{"role": "user", "content": PROMPT}],
        "max_tokens": tokens,
        "stream": True,
    }
    async with caller.stream("POST", "/v1/chat/completions", json=body) as response:
        response.raise_for_status()
        async for _ in response.aiter_raw():
            pass


def _caller(router: ChildProcess) -> httpx.AsyncClient:
    """Return a caller whose requests go to one router."""
    return httpx.AsyncClient(
        base_url=router.url,
        headers={"authorization": f"Bearer {KEY}"},
        limits=httpx.Limits(max_connections=max(STREAMS)),
        timeout=CALL_TIMEOUT_SECONDS,
        trust_env=False,
    )
