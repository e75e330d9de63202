"""Serves the requests of callers: reads, authorizes, runs and answers them."""

import asyncio
import random

from quinceferry_core.clocks import Clock
from quinceferry_gateway.answers import (
    REFUSAL_HEADER,
    RETRY_SECONDS_BY_REASON,
    Reason,
    Refusal,
    StreamedAnswer,
    WholeAnswer,
)
from quinceferry_gateway.asgi import Receive, Scope, Send
from quinceferry_gateway.blackboard import Blackboard, Phase
from quinceferry_gateway.caller_exchange import OVERSIZED_BODY_STATUS, CallerExchange
from quinceferry_gateway.catalog import (
    Call,
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    Workspace,
)
from quinceferry_gateway.crashes import CrashMonitor
from quinceferry_gateway.decisions import Demand
from quinceferry_gateway.decisions.planned_stops import PlannedStop
from quinceferry_gateway.events import EventBuffer, StreamPace
from quinceferry_gateway.exceptions import BadCallError, CallerGoneError
from quinceferry_gateway.forwarding import FORWARDED_HEADER, GIVEN_UP_MARK
from quinceferry_gateway.freshness import ConfigurationFreshness
from quinceferry_gateway.interfaces import Dialect
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.progress import CallerStream, Progress
from quinceferry_gateway.relay import Relay
from quinceferry_gateway.reservations import Reservation, Reservations, Shortage
from quinceferry_gateway.stream_origins import StreamOrigins, decode_origin, without_origin

_OVERSIZED_HEADERS_STATUS = 431
MAX_FORWARDED_IN_PROGRESS = 128
"""Most requests of peers in progress. Their bodies are held in memory, and a peer that is refused
asks another gateway."""
_RETRY_AFTER_JITTER_SHARE = 0.5
"""Maximum share added to retry times at random, so that callers don't all retry at once."""


class CallerApi:
    """ASGI application that serves the requests of callers.

    :param rng: draws the service of a split route and adds jitter to retry times.
    :param crashes: records which content is in quarantine.
    :param freshness: determines whether the configuration is recent enough.
    :param origins: finds out where a stream began that a caller resumes.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        dialect: Dialect,
        reservations: Reservations,
        relay: Relay,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        crashes: CrashMonitor,
        freshness: ConfigurationFreshness,
        origins: StreamOrigins,
    ) -> None:
        self._origins = origins
        self._crashes = crashes
        self._freshness = freshness
        self._blackboard = blackboard
        self._dialect = dialect
        self._reservations = reservations
        self._relay = relay
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._planned_stop: PlannedStop | None = None
        self._accepted_at_by_exchange: dict[CallerExchange, float] = {}
        self._running_by_exchange: dict[CallerExchange, Progress] = {}
        self._forwarded_in_progress = 0

    @property
    def in_progress(self) -> int:
        """Return the number of requests in progress."""
        return len(self._accepted_at_by_exchange)

    def begin_stop(self, planned_stop: PlannedStop) -> None:
        """Refuse requests that the end of the process might cut, and close connections.

        Each connection is closed after its next answer. Requests in progress end with the work of
        the gateway, and their callers are told whether they may have run.
        """
        self._planned_stop = planned_stop
        for progress in self._running_by_exchange.values():
            progress.shorten(planned_stop.work_ends_at, self._clock.monotonic())

    def log_cut_requests(self, planned_stop: PlannedStop) -> None:
        """Log the requests that the end of the process cuts."""
        now = self._clock.monotonic()
        for exchange, accepted_at in self._accepted_at_by_exchange.items():
            log.failure(
                "request.cut",
                request=self._dialect.request_id(exchange.scope["headers"]),
                path=exchange.scope["path"],
                seconds=round(now - accepted_at, 4),
                stopping_seconds=round(max(0.0, accepted_at - planned_stop.began_at), 4),
            )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request of a caller."""
        await self._serve_exchange(self._open_exchange(scope, receive, send))

    async def serve_forwarded(
        self, scope: Scope, receive: Receive, send: Send, max_attempts: int
    ) -> None:
        """Serve one request that a peer has forwarded.

        The peer has reserved its tokens and settles them.

        :param max_attempts: most times that it may be sent to an upstream.
        """
        exchange = self._open_exchange(scope, receive, send)
        exchange.forwarded_attempts = max_attempts
        if self._forwarded_in_progress >= MAX_FORWARDED_IN_PROGRESS:
            request_id = self._dialect.request_id(scope["headers"])
            refusal = Refusal(Reason.UPSTREAMS_UNREACHABLE, "too many forwarded requests")
            await self._refuse(exchange, request_id, refusal, self._clock.monotonic())
            return
        self._forwarded_in_progress += 1
        try:
            await self._serve_exchange(exchange)
        finally:
            self._forwarded_in_progress -= 1

    def _open_exchange(self, scope: Scope, receive: Receive, send: Send) -> CallerExchange:
        """Return the exchange of a request."""
        return CallerExchange(scope, receive, send, lambda: self._planned_stop is not None)

    async def _serve_exchange(self, exchange: CallerExchange) -> None:
        """Serve one request until it is answered or its sender has disconnected."""
        self._accepted_at_by_exchange[exchange] = self._clock.monotonic()
        if self._blackboard.phase is Phase.DRAINING:
            self._metrics.count_request_while_stopping()
        try:
            await self._serve(exchange)
        except CallerGoneError as error:
            log.failure("caller.gone", error=str(error))
        finally:
            del self._accepted_at_by_exchange[exchange]

    async def _serve(self, exchange: CallerExchange) -> None:
        """Read, run and answer one request, and stop it when the caller disconnects."""
        started_at = self._clock.monotonic()
        request_id = self._dialect.request_id(exchange.scope["headers"])
        try:
            admitted = await self._admit(exchange, started_at)
        except BadCallError as error:
            admitted = Refusal(_malformed_reason(error), str(error), error.status)
        if isinstance(admitted, Refusal):
            await self._refuse(exchange, request_id, admitted, started_at)
            return
        self._running_by_exchange[exchange] = admitted
        run_task = asyncio.create_task(self._run(exchange, admitted, started_at))
        disconnect_task = asyncio.create_task(exchange.wait_disconnected())
        try:
            await asyncio.wait((run_task, disconnect_task), return_when=asyncio.FIRST_COMPLETED)
            if not run_task.done():
                log.failure(
                    "caller.left",
                    request=request_id,
                    workspace=admitted.workspace_name,
                    route=admitted.route.name,
                    tokens=self._max_used_tokens(admitted),
                )
                self._count_outcome(exchange, admitted, "caller_left")
        finally:
            del self._running_by_exchange[exchange]
            disconnect_task.cancel()
            run_task.cancel()
            await asyncio.gather(run_task, disconnect_task, return_exceptions=True)
        if not run_task.cancelled() and (error := run_task.exception()) is not None:
            log.failure("request.bug", request=request_id, error=repr(error))

    async def _admit(self, exchange: CallerExchange, started_at: float) -> Progress | Refusal:
        """Decode a request and find its route, service and workspace.

        :raises BadCallError: the request is malformed or its body is too large.
        """
        scope = exchange.scope
        configuration = self._blackboard.configuration
        limits = configuration.limits if configuration else CallerLimits()
        if sum(len(name) + len(value) for name, value in scope["headers"]) > (
            limits.max_header_bytes
        ):
            return Refusal(Reason.OVERSIZED, "headers too large", _OVERSIZED_HEADERS_STATUS)
        body = await exchange.read_body(limits)
        if exchange.is_excess:
            return Refusal(Reason.TOO_MANY_CONNECTIONS, "no descriptors for more connections")
        if configuration is None:
            return Refusal(Reason.STARTING, "no configuration yet")
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        # The mark of a forwarded request concerns gateways only.
        headers = [item for item in scope["headers"] if item[0] != FORWARDED_HEADER]
        headers = without_origin(headers)
        call = self._dialect.decode_call(scope["method"], target, scope["path"], headers, body)
        # The configuration may have changed while the body was being read.
        configuration = self._blackboard.configuration or configuration
        if self._freshness.is_outdated:
            return Refusal(Reason.CONFIGURATION_OUTDATED, f"version {configuration.version}")
        access = self._authorize(call, configuration)
        if isinstance(access, Refusal):
            return access
        progress = self._new_progress(exchange, call, *access, started_at)
        stop = self._planned_stop
        if stop is not None:
            now = self._clock.monotonic()
            if not stop.accepts(progress.deadline_at, now):
                return Refusal(Reason.STOPPING, "may outlast this gateway")
            progress.shorten(stop.work_ends_at, now)
        return self._crashes.quarantine_refusal(progress) or progress

    def _authorize(
        self, call: Call, configuration: Configuration
    ) -> tuple[Route, Workspace | None] | Refusal:
        """Return the route and workspace of a request, or why it must not run."""
        route = configuration.route(call.host, call.path)
        if route is None:
            return self._denial(Reason.NO_ROUTE, configuration)
        if route.malformed:
            return Refusal(Reason.ENTRY_MALFORMED, f"route {route.name}")
        workspace = configuration.workspaces_by_key.get(call.credential)
        if workspace is None and configuration.requires_keys and not route.anonymous:
            return self._denial(Reason.UNKNOWN_KEY, configuration)
        if workspace is not None and workspace.malformed:
            return Refusal(Reason.ENTRY_MALFORMED, f"workspace {workspace.name}")
        return route, workspace

    def _denial(self, reason: Reason, configuration: Configuration) -> Refusal:
        """Return the refusal of a request that the configuration does not allow."""
        if self._freshness.may_be_outdated:
            reason = Reason.CONFIGURATION_OUTDATED
        return Refusal(reason, f"version {configuration.version}")

    def _new_progress(
        self,
        exchange: CallerExchange,
        call: Call,
        route: Route,
        workspace: Workspace | None,
        started_at: float,
    ) -> Progress:
        """Return the initial state of a request."""
        timeout = route.timeout_seconds
        if call.timeout_seconds is not None:
            timeout = min(timeout, call.timeout_seconds)
        stream = CallerStream(
            exchange.send_head,
            exchange.send,
            EventBuffer(call.resume_after),
            StreamPace(started_at),
            origin=decode_origin(exchange.scope["headers"]) if exchange.is_forwarded else None,
        )
        demand = Demand.from_call(call, route.max_pause_seconds)
        service = self._draw_service(route)
        max_attempts = route.max_attempts
        if exchange.forwarded_attempts is not None:
            max_attempts = min(max_attempts, exchange.forwarded_attempts)
        return Progress(
            call,
            route,
            service,
            workspace,
            started_at + timeout,
            stream,
            demand,
            max_attempts,
            exchange.is_forwarded,
        )

    def _draw_service(self, route: Route) -> str:
        """Choose the service of a request at random, by the weights of its route."""
        weights = [destination.weight for destination in route.destinations]
        return self._rng.choices(route.destinations, weights)[0].service

    async def _run(self, exchange: CallerExchange, progress: Progress, started_at: float) -> None:
        """Reserve tokens, run the request, settle the tokens and answer."""
        reservation = await self._origins.resolve(progress) or await self._reserve(progress)
        if isinstance(reservation, Refusal):
            await self._refuse(
                exchange, progress.call.request_id, reservation, started_at, progress
            )
            return
        outcome = None
        try:
            outcome = await self._relay.run(progress)
        finally:
            if reservation is not None:
                is_answered = isinstance(outcome, WholeAnswer | StreamedAnswer)
                self._settle(progress, reservation, is_answered)
        await self._answer(exchange, progress, outcome, started_at)

    def _settle(self, progress: Progress, reservation: Reservation, is_answered: bool) -> None:
        """Charge a request that has ended."""
        tokens = self._max_used_tokens(progress)
        self._reservations.settle(reservation, tokens)
        self._metrics.count_charged_tokens(progress.workspace_name, is_answered, tokens)

    async def _reserve(self, progress: Progress) -> Reservation | Refusal | None:
        """Reserve the request's tokens if its workspace is prepaid.

        A request to a model engine that states no token counts is malformed: nobody could tell
        whether the workspace can pay for it.
        """
        workspace, call = progress.workspace, progress.call
        if progress.forwarded or workspace is None or workspace.prepaid_tokens is None:
            return None
        if not call.max_tokens:
            if self._tokens_per_event(progress):
                return Refusal(Reason.MALFORMED, "no token counts for a prepaid workspace")
            return None
        result = await self._reservations.reserve(
            call.request_id, workspace.name, call.max_tokens, progress.deadline_at
        )
        if isinstance(result, Shortage):
            if self._clock.monotonic() >= progress.deadline_at:
                return Refusal(Reason.TIMED_OUT_UNSENT, "; ".join(result.holder_results))
            detail = (
                f"{call.max_tokens} tokens of {workspace.name}; {'; '.join(result.holder_results)}"
            )
            return Refusal(self._shortage_reason(result), detail)
        return result

    def _shortage_reason(self, shortage: Shortage) -> Reason:
        """Return the reason for which tokens could not be reserved."""
        if shortage.exhausted:
            return Reason.BUDGET_EXHAUSTED
        if shortage.is_too_large:
            return Reason.BUDGET_RUNNING_OUT
        if not self._blackboard.store_reachable:
            return Reason.BUDGET_UNTIL_STORE
        return Reason.BUDGET_OUT_OF_REACH

    def _max_used_tokens(self, progress: Progress) -> int:
        """Return the maximum number of tokens that a request has used.

        A run is charged from its first event on. A run that the gateway cancelled before has used
        nothing; if its first event was already on the way, the margin of the budget covers the
        prompt. A whole answer does not tell how many tokens were generated.
        """
        call = progress.call
        events = progress.stream.buffer.count
        if not progress.may_have_run and not events:
            return 0
        tokens_per_event = self._tokens_per_event(progress)
        if progress.route.kind is not RouteKind.STREAM or not tokens_per_event:
            return call.max_tokens
        return call.prompt_tokens + min(call.max_output_tokens, events * tokens_per_event)

    def _tokens_per_event(self, progress: Progress) -> int:
        """Return the most output tokens of one event, zero if the service generates none."""
        configuration = self._blackboard.configuration
        service = configuration.services_by_name.get(progress.service) if configuration else None
        return service.tokens_per_event if service else 0

    async def _answer(
        self,
        exchange: CallerExchange,
        progress: Progress,
        outcome: WholeAnswer | StreamedAnswer | Refusal,
        started_at: float,
    ) -> None:
        """Send the outcome of a request to the caller."""
        request_id = progress.call.request_id
        if isinstance(outcome, Refusal):
            if self._was_ended_by_stop(progress):
                self._metrics.count_request_ended_by_stop()
            if progress.stream.head_sent:
                # Returning with an unfinished body closes the connection, so the caller sees an
                # interrupted stream.
                log.failure(
                    "stream.broken",
                    request=request_id,
                    workspace=progress.workspace_name,
                    tokens=self._max_used_tokens(progress),
                    detail=outcome.detail,
                    seconds=round(self._clock.monotonic() - started_at, 4),
                    ended_by_stop=self._was_ended_by_stop(progress),
                )
                self._count_outcome(exchange, progress, "broken")
                if progress.forwarded:
                    # The sender must not mistake this for a lost peer, and forward it again.
                    await exchange.send(GIVEN_UP_MARK)
                    await exchange.finish()
                return
            await self._refuse(exchange, request_id, outcome, started_at, progress)
            return
        if isinstance(outcome, StreamedAnswer):
            await exchange.finish()
        else:
            await exchange.answer(outcome.head.status, outcome.head.headers, outcome.body)
        seconds = self._clock.monotonic() - started_at
        if progress.forwarded:
            self._metrics.count_forwarded_request("served", "answered")
            return
        self._metrics.record_answer(progress.workspace_name, progress.route.name, seconds)
        log.success(
            "request.answered",
            request=request_id,
            workspace=progress.workspace_name,
            route=progress.route.name,
            tokens=self._max_used_tokens(progress),
            attempts=len(progress.tried_upstream_ids),
            seconds=round(seconds, 4),
        )

    def _was_ended_by_stop(self, progress: Progress) -> bool:
        """Return whether the planned stop has ended the time of a request."""
        return progress.shortened and self._clock.monotonic() >= progress.deadline_at

    def _count_outcome(
        self, exchange: CallerExchange, progress: Progress | None, outcome: str
    ) -> None:
        """Count a request by its outcome, one that a peer has forwarded apart from the others.

        :param progress: None for a request that was not admitted.
        """
        if exchange.is_forwarded:
            self._metrics.count_forwarded_request("served", outcome)
            return
        workspace, route = _names(progress)
        self._metrics.count_request(workspace, route, outcome)

    async def _refuse(
        self,
        exchange: CallerExchange,
        request_id: str,
        refusal: Refusal,
        started_at: float,
        progress: Progress | None = None,
    ) -> None:
        """Answer a request with a refusal of the gateway."""
        seconds = self._clock.monotonic() - started_at
        workspace, route = _names(progress)
        self._count_outcome(exchange, progress, refusal.reason.value)
        log.failure(
            "request.refused",
            request=request_id,
            reason=refusal.reason.value,
            detail=refusal.detail,
            workspace=workspace,
            route=route,
            may_have_run=bool(progress and progress.may_have_run),
            tokens=self._max_used_tokens(progress) if progress else 0,
            seconds=round(seconds, 4),
            forwarded=exchange.is_forwarded,
        )
        retry_after = refusal.retry_seconds
        if retry_after is None:
            retry_after = RETRY_SECONDS_BY_REASON.get(refusal.reason)
        if retry_after is not None:
            retry_after *= 1 + _RETRY_AFTER_JITTER_SHARE * self._rng.random()
        headers = self._dialect.refusal_headers(request_id, retry_after)
        if exchange.is_forwarded:
            headers.append((REFUSAL_HEADER, refusal.reason.value.encode()))
        await exchange.answer(refusal.http_status, headers, b"")


def _names(progress: Progress | None) -> tuple[str, str]:
    """Return the names of the workspace and the route of a request for logs and metrics."""
    return (progress.workspace_name, progress.route.name) if progress else ("none", "none")


def _malformed_reason(error: BadCallError) -> Reason:
    """Return the reason of refusal for a request that cannot be decoded."""
    return Reason.OVERSIZED if error.status == OVERSIZED_BODY_STATUS else Reason.MALFORMED
