"""Sends requests to upstreams and forwards their answers."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import TypeVar

from quinceferry_core.clocks import Clock
from quinceferry_gateway.answers import (
    REFUSAL_HEADER,
    AttemptOutcome,
    NotRun,
    StreamedAnswer,
    WholeAnswer,
)
from quinceferry_gateway.catalog import (
    UNKNOWN_ORIGIN,
    AnswerHead,
    Call,
    RouteKind,
    StreamOrigin,
    Upstream,
)
from quinceferry_gateway.crashes import CrashMonitor
from quinceferry_gateway.decisions import Attempt
from quinceferry_gateway.exceptions import ConnectionBrokenError, ForeignAnswerError
from quinceferry_gateway.interfaces import Dialect, Headers
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.progress import CallerStream, Progress
from quinceferry_gateway.reachability import ReachabilityMonitor
from quinceferry_gateway.signals import UpstreamSignals
from quinceferry_gateway.software_versions import SoftwareVersions
from quinceferry_gateway.stream_origins import (
    StreamOrigins,
    decode_origin,
    encode_origin,
    without_origin,
)
from quinceferry_gateway.transport import HttpClient, OpenReply

R = TypeVar("R")

MAX_EVENT_GAP_SECONDS = 2.0
"""Longest gap between events of a resumable stream before it is resumed elsewhere. Callers wait for
at least two seconds, and preempted streams pause for a few hundred milliseconds."""
FIRST_ERROR_STATUS = 300
OK = 200
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Maximum size of an answer that is not streamed; it is buffered in memory."""


class UpstreamExchanges:
    """Sends requests to upstreams and forwards their answers.

    :param metrics: records the timing of streams.
    :param signals: updates the state of upstreams from the headers of their answers.
    :param reachability: learns which upstreams answer.
    :param origins: records which software version began a stream.
    :param crashes: learns which requests upstreams survive.
    :param versions: tells the origin of a stream that begins at an upstream.
    """

    def __init__(
        self,
        dialect: Dialect,
        http: HttpClient,
        clock: Clock,
        metrics: Metrics,
        signals: UpstreamSignals,
        reachability: ReachabilityMonitor,
        origins: StreamOrigins,
        crashes: CrashMonitor,
        versions: SoftwareVersions,
    ) -> None:
        self._versions = versions
        self._crashes = crashes
        self._origins = origins
        self._signals = signals
        self._reachability = reachability
        self._dialect = dialect
        self._http = http
        self._clock = clock
        self._metrics = metrics

    async def exchange(
        self,
        progress: Progress,
        upstream: Upstream,
        headers: list[tuple[bytes, bytes]],
        attempt: Attempt,
        connect_timeout_seconds: float,
    ) -> AttemptOutcome:
        """Send the request and receive the answer; forward it at once if it is a stream.

        :raises NotSentError: the connection could not be established.
        :raises ForeignAnswerError: the answer belongs to another request.
        :raises ConnectionBrokenError: the answer is incomplete, too large or not from an upstream.
        """
        call = progress.call
        if call.prompt_tokens:
            self._metrics.count_prompt_tokens(
                progress.route.name, call.prompt_tokens, attempt.uncached_tokens
            )
        self._signals.request_sent(upstream)
        async with self._http.open(
            upstream.address,
            call.method,
            call.target,
            headers,
            call.body,
            connect_timeout_seconds=connect_timeout_seconds,
        ) as reply:
            self._reachability.connection_succeeded(upstream)
            # The sender of a forwarded request would take it for a refusal, and send it again.
            headers = [item for item in reply.headers if item[0].lower() != REFUSAL_HEADER]
            head = self._dialect.decode_answer(reply.status, without_origin(headers))
            self._signals.answer_received(upstream, head)
            if head.misdirected:
                attempt.record_misdirected(self._clock.monotonic())
            elif head.load is not None:
                attempt.record_load(head.load, self._clock.monotonic())
            if head.not_run:
                return NotRun(f"status {head.status}", True, head.misdirected, head.load)
            _check_head(call, head, upstream.address)
            attempt.record_accepted()
            origin = self._versions.origin_of(upstream)
            outcome = await self._forward_answer(
                progress, head, reply, attempt, upstream.address, origin
            )
            attempt.record_success()
            return outcome

    async def exchange_with_peer(
        self,
        progress: Progress,
        address: str,
        headers: list[tuple[bytes, bytes]],
        decode_refusal: Callable[[Headers], R | None],
    ) -> AttemptOutcome | R:
        """Forward a request to another gateway, and forward the answer of its upstream.

        :param decode_refusal: returns the peer's own refusal, None for an upstream's answer.
        :raises NotSentError: the connection could not be established.
        :raises ConnectionBrokenError: the answer is incomplete, too large or not from an upstream.
        """
        call = progress.call
        async with self._http.open(address, call.method, call.target, headers, call.body) as reply:
            refusal = decode_refusal(reply.headers)
            if refusal is not None:
                return refusal
            origin = decode_origin(reply.headers) or UNKNOWN_ORIGIN
            head = self._dialect.decode_answer(reply.status, without_origin(reply.headers))
            _check_head(call, head, address)
            return await self._forward_answer(progress, head, reply, None, address, origin)

    async def _forward_answer(
        self,
        progress: Progress,
        head: AnswerHead,
        reply: OpenReply,
        attempt: Attempt | None,
        address: str,
        origin: StreamOrigin,
    ) -> WholeAnswer | StreamedAnswer:
        """Forward a stream event by event, or return a whole answer.

        :param attempt: the own attempt at an upstream, None if a peer makes it.
        :param origin: the origin of a stream that begins with this answer.
        :raises ConnectionBrokenError: the answer is incomplete or too large.
        """
        if progress.route.kind is RouteKind.STREAM and head.status == OK:
            return await self._forward_events(progress, head, reply, attempt, origin)
        return WholeAnswer(head, await _read_body(reply, address))

    async def _forward_events(
        self,
        progress: Progress,
        head: AnswerHead,
        reply: OpenReply,
        attempt: Attempt | None,
        origin: StreamOrigin,
    ) -> StreamedAnswer:
        """Forward a stream event by event.

        :raises ConnectionBrokenError: the stream was interrupted or sent no event for too long.
        """
        stream = progress.stream
        stream.buffer.restart()
        chunks = reply.chunks()
        while True:
            try:
                async with asyncio.timeout(self._max_event_gap_seconds(progress)):
                    chunk = await anext(chunks, None)
            except TimeoutError as error:
                raise ConnectionBrokenError("stream fell silent", step="events") from error
            if chunk is None:
                break
            events = stream.buffer.feed(chunk)
            if events:
                now = self._clock.monotonic()
                if attempt is not None:
                    attempt.record_first_event(now)
                    if attempt.has_survived(now):
                        self._crashes.request_survived(progress)
                stream.pace.record_event(now)
                if not stream.head_sent:
                    head = self._begin_stream(progress, head, origin)
                await self._send_events(stream, head, events)
        if stream.buffer.pending:
            raise ConnectionBrokenError("stream ended within an event", step="events")
        if not stream.head_sent:
            await self._send_events(stream, head, b"")
        self._metrics.record_stream(progress.workspace_name, progress.route, stream.pace)
        return StreamedAnswer(stream.buffer.count)

    def _begin_stream(
        self, progress: Progress, head: AnswerHead, origin: StreamOrigin
    ) -> AnswerHead:
        """Bind a stream to its origin, and return the head of the answer that is sent on."""
        stream = progress.stream
        if stream.origin is None:
            stream.origin = origin
        if stream.origin == UNKNOWN_ORIGIN:
            return head
        self._origins.record(progress, stream.origin)
        if not progress.forwarded:
            return head
        return replace(head, headers=(*head.headers, encode_origin(stream.origin)))

    @staticmethod
    async def _send_events(stream: CallerStream, head: AnswerHead, events: bytes) -> None:
        """Send events to the caller, preceded by the response head if none was sent before."""
        if not stream.head_sent:
            stream.head_sent = True
            await stream.send_head(head)
        if events:
            await stream.send_events(events)

    @staticmethod
    def _max_event_gap_seconds(progress: Progress) -> float | None:
        """Return the longest gap between events; None if it has not begun or can't be resumed."""
        if progress.stream.head_sent and progress.route.resumable:
            return MAX_EVENT_GAP_SECONDS
        return None


def _check_head(call: Call, head: AnswerHead, address: str) -> None:
    """Check that an answer belongs to the request and comes from an upstream.

    :raises ForeignAnswerError: the answer belongs to another request.
    :raises ConnectionBrokenError: the answer is not from an upstream.
    """
    if head.request_id and head.request_id != call.request_id:
        raise ForeignAnswerError("answer to another request", peer=address)
    if head.status < FIRST_ERROR_STATUS and not head.genuine:
        raise ConnectionBrokenError("answer without its mark", peer=address)


async def _read_body(reply: OpenReply, address: str) -> bytes:
    """Read and return the whole body of an answer.

    :raises ConnectionBrokenError: the body ended early or is too large.
    """
    parts: list[bytes] = []
    size = 0
    async for chunk in reply.chunks():
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise ConnectionBrokenError("answer too large", step="body", peer=address)
        parts.append(chunk)
    return b"".join(parts)
