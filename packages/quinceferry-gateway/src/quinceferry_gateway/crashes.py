"""Finds out which upstreams crashed, and which requests they had then."""

import asyncio

from quinceferry_gateway.catalog import Upstream
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.decisions import RunStage
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.progress import Progress
from quinceferry_gateway.transport import HttpClient

LISTEN_CHECK_SECONDS = 0.3
"""Longest wait for a connection to an upstream that may have crashed: a refusal comes within a
round trip, and one lost packet takes some 200 ms. The request's own next attempt waits for it."""
MAX_ENDED = 256
"""Lifetimes of upstreams that are remembered as ended."""


class CrashWatch(Controller):
    """Tells crashes of upstreams from connections that broke alone."""

    def __init__(self, http: HttpClient, metrics: Metrics) -> None:
        super().__init__()
        self._http = http
        self._metrics = metrics
        self._checks_by_lifetime: dict[str, asyncio.Task[None]] = {}
        self._ended_lifetimes: dict[str, None] = {}

    async def closed(self, progress: Progress, upstream: Upstream, stage: RunStage) -> None:
        """Take that an upstream closed the connection of a request in the middle.

        Returns when it is known whether the upstream crashed; what follows from it is done even if
        the caller leaves meanwhile.
        """
        work = self.spawn(self._judge(progress, upstream, stage), "crash")
        await asyncio.shield(work)

    async def _judge(self, progress: Progress, upstream: Upstream, stage: RunStage) -> None:
        """Find out whether an upstream crashed, and log which request it had."""
        lifetime = f"{upstream.id}@{upstream.started_at}"
        if not await self._has_ended(lifetime, upstream):
            return
        log.change(
            "upstream.crashed",
            upstream=upstream.id,
            request=progress.call.request_id,
            content=progress.fingerprint,
            stage=stage.name.lower(),
        )

    async def _has_ended(self, lifetime: str, upstream: Upstream) -> bool:
        """Tell whether nobody listens at an upstream's address any more.

        A single connection that breaks shows no crash: links are reset, and sound upstreams close
        connections. Requests that break together share one check.
        """
        if lifetime in self._ended_lifetimes:
            return True
        check = self._checks_by_lifetime.get(lifetime)
        if check is None:
            check = self.spawn(self._check(lifetime, upstream), "listens")
            self._checks_by_lifetime[lifetime] = check
            check.add_done_callback(lambda _: self._checks_by_lifetime.pop(lifetime, None))
        await asyncio.shield(check)
        return lifetime in self._ended_lifetimes

    async def _check(self, lifetime: str, upstream: Upstream) -> None:
        """Remember an upstream as ended if nobody listens there."""
        if await self._http.listens(upstream.address, LISTEN_CHECK_SECONDS):
            return
        self._metrics.upstream_crashed(upstream.service)
        self._ended_lifetimes[lifetime] = None
        while len(self._ended_lifetimes) > MAX_ENDED:
            del self._ended_lifetimes[next(iter(self._ended_lifetimes))]
