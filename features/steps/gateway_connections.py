"""Steps for callers that open more connections than a gateway has descriptors."""

import asyncio
import contextlib
import itertools
import re
import time

from behave import given, then, when

from features.fixtures_gateway import HOST, KEY, PATIENCE_SECONDS
from features.fixtures_gateway_process import CALLER_SECONDS, ReceivedStream, process_scene
from quinceferry_gateway.addresses import host_and_port
from quinceferry_gateway.decisions.connection_limits import (
    SHARES_BY_LISTENER,
    ConnectionLimits,
)

CONNECT_TIMEOUT_SECONDS = 5.0
CHECK_SECONDS = 0.3
GROUP = 20
"""Callers that begin before anything else runs in their event loop."""
LIST_AGE = re.compile(rb"^quinceferry_gateway_upstream_list_age_seconds (\S+)", re.MULTILINE)
MAX_LIST_AGE_SECONDS = 2.0
"""Age of the list of upstreams that the settings of the process allow."""
LOOKUP = f"GET /v1/resolve?name={HOST} HTTP/1.1\r\nhost: directory\r\n\r\n".encode()


@given("a gateway process that may have {count:d} descriptors open")
def given_limited(context, count):
    scene = process_scene(context)
    scene.descriptors = count
    scene.event_pause_seconds = 0.5


@when(
    "{streams:d} callers ask for streams, {idle:d} stay idle and {lookups:d} look addresses up, "
    "all at once"
)
def when_crowded(context, streams, idle, lookups):
    async def crowd(scene):
        callers, directory = (scene.gateway.address(name) for name in ("callers", "directory"))
        scene.crowd = []
        for begin in (
            *[lambda: _ask_for_stream(scene, callers)] * streams,
            *[lambda: _hold(callers, b"")] * idle,
            *[lambda: _hold(directory, LOOKUP)] * lookups,
        ):
            scene.crowd.append(asyncio.create_task(begin()))
            # The stand-in for the store runs in the same event loop, and must answer meanwhile.
            if len(scene.crowd) % GROUP == 0:
                await asyncio.sleep(0)

    process_scene(context).acts.append(crowd)


async def _ask_for_stream(scene, address):
    """Ask for a stream, and note what arrives until the connection ends."""
    received = ReceivedStream()
    scene.streams.append(received)
    number = len(scene.streams)
    request = (
        f"POST /explain/a HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: 2\r\n"
        f"x-quinceferry-request-id: crowd-{number}\r\nx-quinceferry-credential: {KEY}\r\n"
        f"x-quinceferry-deadline-ms: {int(CALLER_SECONDS * 1000)}\r\n\r\n{{}}"
    ).encode()
    async for data in _exchange(address, request):
        if data.startswith(b"HTTP/1.1 "):
            received.status = int(data.split()[1])
        received.events += data.count(b"\n\n")
    received.ended_at = time.monotonic()


async def _hold(address, request):
    """Keep a connection open until the other side closes it."""
    async for _ in _exchange(address, request):
        pass


async def _exchange(address, request):
    """Send bytes on a new connection, and yield what arrives."""
    writer = None
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(*host_and_port(address))
        writer.write(request)
        while data := await reader.read(65_536):
            yield data
    if writer is not None:
        writer.close()


@then("for {seconds:g} seconds the gateway process is ready, and its list of upstreams is recent")
def then_in_touch(context, seconds):
    async def check(scene):
        scene.ages, scene.ready = [], []
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            scene.ready.append(await scene.gateway.is_ready(scene.http))
            metrics = await scene.http.fetch(
                scene.gateway.address("metrics"),
                b"GET",
                b"/metrics",
                [(b"host", b"metrics")],
                timeout_seconds=CONNECT_TIMEOUT_SECONDS,
            )
            scene.ages.append(float(LIST_AGE.search(metrics.body)[1]))
            await asyncio.sleep(CHECK_SECONDS)

    process_scene(context).acts.append(check)


@then("streams that began go on, and the others are refused as not run or closed")
def then_refused(context):
    async def check(scene):
        scene.began = [item for item in scene.streams if item.status == 200]
        scene.began_open = [item for item in scene.began if not item.ended_at]
        scene.statuses = {item.status for item in scene.streams}

    process_scene(context).acts.append(check)


@then("a caller that comes after all have left is served")
def then_served(context):
    async def leave(scene):
        for task in scene.crowd:
            task.cancel()
        await asyncio.gather(*scene.crowd, return_exceptions=True)
        # It may be refused until the gateway has noticed that the others left.
        scene.crowd = []
        address = scene.gateway.address("callers")
        async with asyncio.timeout(PATIENCE_SECONDS):
            while True:
                scene.crowd.append(asyncio.create_task(_ask_for_stream(scene, address)))
                await asyncio.sleep(CHECK_SECONDS)
                if any(item.events for item in scene.streams[-len(scene.crowd) :]):
                    break
        for task in scene.crowd:
            task.cancel()

    scene = process_scene(context)
    scene.acts.append(leave)
    scene.play()
    # The platform takes a gateway out after two probes in a row without success.
    assert all(first or second for first, second in itertools.pairwise(scene.ready)), scene.ready
    assert max(scene.ages) < MAX_LIST_AGE_SECONDS, scene.ages
    assert scene.began, scene.statuses
    assert scene.began_open == scene.began, (len(scene.began_open), len(scene.began))
    assert scene.statuses <= {0, 200, 503}, scene.statuses


@then(
    "a process with {descriptors:d} descriptors accepts {callers:d} callers and "
    "{lookups:d} lookups"
)
def then_shared_out(context, descriptors, callers, lookups):
    context.limits = limits = ConnectionLimits.within(descriptors)
    assert (limits.limit("callers"), limits.limit("directory")) == (callers, lookups), limits


@then("all its connections together, each caller's with one to an upstream, need at most {most:d}")
def then_fits(context, most):
    limits_by_listener = {name: context.limits.limit(name) for name in SHARES_BY_LISTENER}
    needed = sum(limits_by_listener.values()) + limits_by_listener["callers"]
    assert needed <= most, limits_by_listener
