"""Relay of an answer's events to a caller, with one sink class per answer format."""

from contextlib import aclosing
from typing import Protocol

from quinceferry_core.outcomes import (
    AnswerStream,
    Chunk,
    Failed,
    Finished,
    RefusalReason,
    Run,
    Unknown,
)
from quinceferryd.answers import DONE, AnswerFormat, error_event
from quinceferryd.logs import log_unexpected_error
from quinceferryd.meters import NullMeter, RequestMeter
from quinceferryd.refusals import (
    JSON_HEADER,
    error_document,
    error_headers,
    error_status,
    request_id_header,
)
from quinceferryd.responses import Header, ResponseWriter

_EVENT_STREAM_HEADERS: list[Header] = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-store"),
]
_DEFAULT_CONTENT_TYPE = "application/octet-stream"


class AnswerSink(Protocol):
    """Writes an answer to the caller."""

    async def write_chunk(self, chunk: Chunk) -> None:
        """Write or collect a chunk of the answer."""

    async def finish(self, finished: Finished) -> None:
        """Write the end of a complete answer."""

    async def fail(self, failed: Failed) -> None:
        """Write a refusal or failure."""


async def relay_events(
    events: AnswerStream, sink: AnswerSink, meter: RequestMeter | None = None
) -> None:
    """Relay events one at a time to a sink until the generator ends.

    The generator continues after its final event, so that it can settle the request.

    :param events: closed in every case, which cancels the request unless it has ended.
    :param sink: writes the answer to the caller.
    :param meter: measures the request; None for a forwarded request, which the first router
        measures.
    """
    active_meter = meter or NullMeter()
    try:
        failed = await _relay_all(events, sink, active_meter)
        if failed is not None:
            active_meter.record_end(failed)
            await sink.fail(failed)
    finally:
        active_meter.close()


async def _relay_all(
    events: AnswerStream, sink: AnswerSink, meter: RequestMeter | NullMeter
) -> Failed | None:
    """Relay all events; return a failure if there was no final event."""
    ended = False
    try:
        async with aclosing(events):
            async for event in events:
                if isinstance(event, Chunk):
                    meter.record_chunk()
                    await sink.write_chunk(event)
                else:
                    ended = True
                    meter.record_end(event)
                    await _write_final_event(event, sink)
    except Exception as error:
        log_unexpected_error(error, "relay")
        return None if ended else _internal_failure(f"internal error: {type(error).__name__}")
    return None if ended else _internal_failure("the answer ended early")


async def _write_final_event(event: Finished | Failed, sink: AnswerSink) -> None:
    """Write the final event."""
    match event:
        case Finished():
            await sink.finish(event)
        case Failed():
            await sink.fail(event)


def _internal_failure(detail: str) -> Failed:
    """Return an internal failure with an unknown outcome."""
    return Failed(RefusalReason.INTERNAL, Unknown(), detail=detail)


async def write_failure(writer: ResponseWriter, failed: Failed, request_id: str = "") -> None:
    """Write a refusal or failure as a complete response."""
    document = error_document(failed, request_id)
    await writer.respond(error_status(failed), error_headers(failed, request_id), document)


class StreamedAnswer:
    """Writes an answer as server-sent events, one per chunk.

    :param include_usage: whether the usage is sent before the end of the stream.
    """

    def __init__(
        self,
        writer: ResponseWriter,
        answer_format: AnswerFormat,
        request_id: str,
        include_usage: bool,
    ) -> None:
        self._writer = writer
        self._answer_format = answer_format
        self._request_id = request_id
        self._include_usage = include_usage

    async def write_chunk(self, chunk: Chunk) -> None:
        """Write a chunk as an event."""
        event_data = self._answer_format.text_event(chunk.text)
        if not self._writer.started:
            event_data = await self._write_opening() + event_data
        await self._writer.write(event_data)

    async def finish(self, finished: Finished) -> None:
        """Write the end of a complete answer."""
        usage = self._answer_format.usage_event(finished.usage) if self._include_usage else b""
        body = (
            await self._write_opening()
            + self._answer_format.finish_event(finished.reason)
            + usage
            + DONE
        )
        await self._writer.finish(body)

    async def fail(self, failed: Failed) -> None:
        """Write an error response, or an error event if the response has started."""
        if self._writer.started:
            await self._writer.finish(error_event(failed, self._request_id))
        else:
            await write_failure(self._writer, failed, self._request_id)

    async def _write_opening(self) -> bytes:
        """Write the headers if the response has not started, and return the opening event."""
        if self._writer.started:
            return b""
        headers = [*_EVENT_STREAM_HEADERS, *request_id_header(self._request_id)]
        await self._writer.start(200, headers)
        return self._answer_format.opening_event()


class WholeAnswer:
    """Writes an answer as one JSON document when it is complete."""

    def __init__(
        self, writer: ResponseWriter, answer_format: AnswerFormat, request_id: str
    ) -> None:
        self._writer = writer
        self._answer_format = answer_format
        self._request_id = request_id
        self._parts: list[str] = []

    async def write_chunk(self, chunk: Chunk) -> None:
        """Collect the text of a chunk; the output cap of the request limits the total size."""
        self._parts.append(chunk.text)

    async def finish(self, finished: Finished) -> None:
        """Write the complete answer."""
        body = self._answer_format.whole_document(
            "".join(self._parts), finished.reason, finished.usage
        )
        await self._writer.respond(200, [JSON_HEADER, *request_id_header(self._request_id)], body)

    async def fail(self, failed: Failed) -> None:
        """Write an error response."""
        await write_failure(self._writer, failed, self._request_id)


class ServiceAnswer:
    """Writes the response of a plain service when it is complete and its status is known.

    :param max_bytes: maximum size of the response body.
    """

    def __init__(self, writer: ResponseWriter, request_id: str, max_bytes: int) -> None:
        self._writer = writer
        self._request_id = request_id
        self._remaining_bytes = max_bytes
        self._parts: list[bytes] = []

    async def write_chunk(self, chunk: Chunk) -> None:
        """Collect a part of the body; parts beyond the limit are dropped."""
        self._remaining_bytes -= len(chunk.data)
        if self._remaining_bytes >= 0:
            self._parts.append(chunk.data)

    async def finish(self, finished: Finished) -> None:
        """Write the complete response, or an error if its body was too large."""
        if self._remaining_bytes < 0:
            await self.fail(_too_large_failure(finished))
            return
        content_type = (finished.content_type or _DEFAULT_CONTENT_TYPE).encode()
        headers = [(b"content-type", content_type), *request_id_header(self._request_id)]
        await self._writer.respond(finished.status, headers, b"".join(self._parts))

    async def fail(self, failed: Failed) -> None:
        """Write an error response."""
        await write_failure(self._writer, failed, self._request_id)


def _too_large_failure(finished: Finished) -> Failed:
    """Return the failure of a service call that ran but whose response is too large to relay."""
    return Failed(
        RefusalReason.UPSTREAM_FAILED,
        Run(finished.usage),
        detail="the service ran the request, but its response is too large to relay",
        step="caller_api.relay",
    )
