"""Runs a router as a process: opens its clients, serves HTTP and handles stop signals."""

import asyncio
import random
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import httpx
import structlog

from quinceferry_core.clocks import SystemClock
from quinceferryd.application import Application, Dependencies
from quinceferryd.exports import export_router_metrics
from quinceferryd.http_transport import StreamingTransport
from quinceferryd.kv_client import HttpKv
from quinceferryd.logs import ChangeLog
from quinceferryd.metrics import ScrapedMetrics
from quinceferryd.operator_api import build_operator_routes
from quinceferryd.peer_client import HttpPeerClient
from quinceferryd.server import HttpServer, build_app
from quinceferryd.settings import PlatformSettings, Settings
from quinceferryd.upstream_client import HttpUpstreams
from quinceferryd.vm_client import HttpVmList
from quinceferryd.workspace_labels import WorkspaceLabels

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

_log = structlog.get_logger()


async def run(settings: Settings) -> None:
    """Run a router until a signal or an operator stops it gracefully."""
    stop_requested = stop_on_signals()
    metrics = ScrapedMetrics(WorkspaceLabels())
    async with _open_dependencies(settings, metrics) as dependencies:
        application = Application(settings, dependencies)
        export_router_metrics(application, metrics)
        await serve_until(application, stop_requested)


def stop_on_signals() -> asyncio.Event:
    """Install handlers for the stop signals and return the event that they set."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in _STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop_requested.set)
    return stop_requested


async def serve_until(application: Application, stop_requested: asyncio.Event) -> None:
    """Serve an application until a stop is requested.

    The socket listens before the router joins the fleet, so that callers get a refusal with the
    reason instead of a refused connection. It stays open until the application has finished its
    requests, which may take minutes.

    :param application: the router.
    :param stop_requested: set when the router must stop.
    """
    settings = application.settings
    app = build_app(application, build_operator_routes(application))
    reader_timeout_seconds = settings.streams.reader_timeout_seconds
    server = HttpServer(
        app,
        settings.router.host,
        settings.router.port,
        reader_timeout_seconds,
        settings.clients,
        application.metrics.count_limited_connection,
    )
    change_log = ChangeLog(application.blackboard, application.clock)
    await server.start()
    _log.info("server.listening", host=settings.router.host, port=server.port)
    await change_log.start()
    await application.start()
    await _wait_for_first(stop_requested.wait(), application.shutdown.stop_requested.wait())
    _log.info("router.stopping")
    await application.stop()
    await server.stop()
    await change_log.stop()
    _log.info("router.stopped")


@asynccontextmanager
async def _open_dependencies(
    settings: Settings, metrics: ScrapedMetrics
) -> AsyncIterator[Dependencies]:
    """Open the clients of a router and close them on exit."""
    clock = SystemClock()
    platform = settings.platform
    async with AsyncExitStack() as stack:
        platform_client = await stack.enter_async_context(_create_platform_client(platform))
        upstreams = HttpUpstreams()
        stack.push_async_callback(upstreams.aclose)
        peers = HttpPeerClient(settings.router.fleet_secret, clock)
        stack.push_async_callback(peers.aclose)
        vm = settings.router.vm
        timeout_seconds = platform.kv_timeout_seconds
        yield Dependencies(
            clock=clock,
            kv=HttpKv(platform.kv_url, timeout_seconds, platform_client, vm),
            vms=HttpVmList(platform.vm_list_url, timeout_seconds, platform_client, vm),
            upstreams=upstreams,
            peers=peers,
            rng=random.Random(),
            metrics=metrics,
        )


def _create_platform_client(platform: PlatformSettings) -> httpx.AsyncClient:
    """Return the HTTP client for the platform; the TLS libraries are loaded only for HTTPS."""
    is_plain_http = all(url.startswith("http:") for url in (platform.kv_url, platform.vm_list_url))
    transport = StreamingTransport() if is_plain_http else None
    return httpx.AsyncClient(transport=transport, trust_env=False)


async def _wait_for_first(*awaitables: object) -> None:
    """Wait until the first of several awaitables completes and cancel the others."""
    tasks = [asyncio.ensure_future(awaitable) for awaitable in awaitables]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
