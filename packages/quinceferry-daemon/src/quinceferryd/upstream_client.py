"""HTTP client for model engines and plain services."""

from collections.abc import AsyncGenerator, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TypeVar

import httpx
import msgspec

from quinceferry_core.adapters import CacheEvent, Dispatch, EngineOrder, LoadReport
from quinceferry_core.exceptions import (
    UpstreamError,
    UpstreamLostError,
    UpstreamNotSentError,
    UpstreamRefusedError,
    UpstreamUnknownRequestError,
)
from quinceferry_core.models import (
    IncarnationId,
    RequestId,
    RequestKind,
    UpstreamKind,
    UpstreamSpec,
    Usage,
    WorkspaceId,
)
from quinceferry_core.outcomes import AnswerEvent, Chunk, Finished
from quinceferry_core.upstream_messages import (
    ATTEMPT_HEADER,
    CACHE_EVENTS_PATH,
    CANCEL_PATH,
    CHAT_PATH,
    COMPLETION_PATH,
    FENCING_HEADER,
    INCARNATION_HEADER,
    LOAD_PATH,
    NOT_BEGUN_HEADER,
    OFFSET_HEADER,
    ORDER_PATH,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    RESUME_PATH,
    TOKEN_CAP_HEADER,
    UNKNOWN_REQUEST_STATUS,
    WORKSPACE_HEADER,
    CacheEventsReply,
    CancelReply,
    CancelRequest,
)
from quinceferryd.event_streams import EventReader, MalformedStreamError
from quinceferryd.http_transport import FRESH_CONNECTION, StreamingTransport

T = TypeVar("T")

_NOT_BEGUN_STATUSES = frozenset((400, 401, 403, 404, 405, 409, 413, 415, 422, 429, 503))
"""Status codes that prove that an engine did not begin a completion."""
_JSON_HEADERS = {"content-type": "application/json"}
_MAX_DETAIL_BYTES = 1024
_fields_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_PATHS_BY_KIND = {RequestKind.CHAT: CHAT_PATH, RequestKind.COMPLETION: COMPLETION_PATH}


@dataclass(slots=True, frozen=True)
class UpstreamTimeouts:
    """Timeouts of calls to an upstream; streams are limited only while connecting."""

    connect_seconds: float = 2.0
    call_seconds: float = 3.0


class HttpUpstreams:
    """Upstream client over HTTP; implements ``UpstreamClient``.

    The class of an error states whether the run may have begun: :class:`UpstreamNotSentError` if no
    connection was established, :class:`UpstreamRefusedError` if the upstream reported that it did
    not begin, and :class:`UpstreamLostError` for any failure after bytes may have been sent.

    :param timeouts: timeouts of connecting and of short calls.
    :param transport: replaces the default connection pool.
    """

    def __init__(
        self,
        timeouts: UpstreamTimeouts | None = None,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        timeouts = timeouts or UpstreamTimeouts()
        self._stream_timeout = httpx.Timeout(None, connect=timeouts.connect_seconds)
        self._call_timeout = httpx.Timeout(timeouts.call_seconds, connect=timeouts.connect_seconds)
        self._http = httpx.AsyncClient(transport=transport or StreamingTransport(), trust_env=False)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._http.aclose()

    def run(self, dispatch: Dispatch) -> AsyncGenerator[AnswerEvent, None]:
        """Send a request and return the events of its answer.

        Closing the generator drops the connection.
        """
        kind = dispatch.request.kind
        if kind is RequestKind.SERVICE:
            return self._call_service(dispatch)
        return self._stream(dispatch, _PATHS_BY_KIND[kind], _completion_body(dispatch), "run")

    def resume(self, dispatch: Dispatch) -> AsyncGenerator[AnswerEvent, None]:
        """Continue a stream on a new connection, from ``dispatch.offset``.

        :raises UpstreamUnknownRequestError: the upstream never began the run or no longer keeps it.
        """
        if dispatch.request.kind is RequestKind.SERVICE:
            return _refuse_service_resume(dispatch)
        return self._stream(dispatch, RESUME_PATH, b"", "resume")

    async def cancel(
        self,
        upstream: UpstreamSpec,
        request_id: RequestId,
        workspace: WorkspaceId | None = None,
        incarnation: IncarnationId | None = None,
        attempt: int | None = None,
    ) -> int | None:
        """Cancel a run.

        :return: total tokens used by the run, or None if the upstream does not know it.
        """
        if upstream.kind is UpstreamKind.SERVICE:
            return None
        body = msgspec.json.encode(CancelRequest(request_id, workspace, incarnation, attempt))
        reply = await self._exchange(upstream, "cancel", CANCEL_PATH, body)
        return _decode(reply, CancelReply, "upstream.cancel", upstream).used_tokens

    async def load(self, upstream: UpstreamSpec) -> LoadReport:
        """Read the load report of an upstream."""
        reply = await self._exchange(upstream, "load", LOAD_PATH)
        return _decode(reply, LoadReport, "upstream.load", upstream)

    async def cache_events(self, upstream: UpstreamSpec, after: int) -> tuple[CacheEvent, ...]:
        """Read the cache events with a sequence number greater than ``after``."""
        if upstream.kind is UpstreamKind.SERVICE:
            return ()
        path = f"{CACHE_EVENTS_PATH}?after={after}"
        reply = await self._exchange(upstream, "cache_events", path)
        return _decode(reply, CacheEventsReply, "upstream.cache_events", upstream).events

    async def order(self, upstream: UpstreamSpec, order: EngineOrder) -> None:
        """Send an order to an engine.

        :raises UpstreamRefusedError: the engine checks fencing numbers and this one is outdated.
        """
        await self._exchange(upstream, "order", ORDER_PATH, msgspec.json.encode(order))

    async def _exchange(
        self, upstream: UpstreamSpec, verb: str, path: str, body: bytes | None = None
    ) -> bytes:
        """Make a short call and return the body of its reply.

        The method is POST if the call has a body, else GET.
        """
        step = f"upstream.{verb}"
        with _translate_errors(step, upstream):
            response = await self._http.request(
                "GET" if body is None else "POST",
                _url(upstream, path),
                content=body,
                headers=_JSON_HEADERS,
                timeout=self._call_timeout,
            )
        if response.status_code >= httpx.codes.BAD_REQUEST:
            raise _status_error(response, response.content, step, upstream)
        return response.content

    async def _stream(
        self, dispatch: Dispatch, path: str, body: bytes, verb: str
    ) -> AsyncGenerator[AnswerEvent, None]:
        """Start or resume a completion and yield its events."""
        step = f"upstream.{verb}"
        upstream = dispatch.upstream
        fresh_connection = verb == "resume" or not dispatch.request.idempotent
        with _translate_errors(step, upstream):
            request = self._build_request("POST", path, dispatch, body, fresh_connection)
            response = await self._http.send(request, stream=True)
            try:
                await _check_completion(response, step, upstream)
                reader = EventReader()
                async for data in response.stream:
                    for event in reader.feed(data):
                        yield event
                        if isinstance(event, Finished):
                            return
            finally:
                await response.aclose()
        raise UpstreamLostError("answer ended early", step=step, peer=upstream.id)

    async def _call_service(self, dispatch: Dispatch) -> AsyncGenerator[AnswerEvent, None]:
        """Call a plain service and yield its response, whatever its status code."""
        step = "upstream.run"
        upstream = dispatch.upstream
        caller_request = dispatch.request
        fresh_connection = not caller_request.idempotent
        with _translate_errors(step, upstream):
            request = self._build_request(
                caller_request.method,
                caller_request.path,
                dispatch,
                caller_request.body,
                fresh_connection,
            )
            response = await self._http.send(request, stream=True)
            try:
                if NOT_BEGUN_HEADER in response.headers:
                    raise _status_error(response, await response.aread(), step, upstream)
                async for data in response.aiter_bytes():
                    yield Chunk(0, 0, "", data)
            finally:
                await response.aclose()
        content_type = response.headers.get("content-type", "")
        yield Finished(Usage(0, 0), "stop", response.status_code, content_type)

    def _build_request(
        self, method: str, path: str, dispatch: Dispatch, body: bytes, fresh_connection: bool
    ) -> httpx.Request:
        """Build the HTTP request for a dispatch."""
        return self._http.build_request(
            method,
            _url(dispatch.upstream, path),
            content=body,
            headers=_dispatch_headers(dispatch),
            timeout=self._stream_timeout,
            extensions={FRESH_CONNECTION: fresh_connection},
        )


async def _refuse_service_resume(dispatch: Dispatch) -> AsyncGenerator[AnswerEvent, None]:
    """Refuse to resume a call of a plain service, which cannot resume streams."""
    step = "upstream.resume"
    raise UpstreamUnknownRequestError("not an engine", step=step, peer=dispatch.upstream.id)
    yield


@contextmanager
def _translate_errors(step: str, upstream: UpstreamSpec) -> Iterator[None]:
    """Translate errors of the HTTP library and of decoding into subclasses of ``UpstreamError``."""
    try:
        yield
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
        raise UpstreamNotSentError(repr(error), step=step, peer=upstream.id) from error
    except (httpx.UnsupportedProtocol, httpx.LocalProtocolError, httpx.InvalidURL) as error:
        raise UpstreamNotSentError(repr(error), step=step, peer=upstream.id) from error
    except (httpx.HTTPError, MalformedStreamError) as error:
        raise UpstreamLostError(repr(error), step=step, peer=upstream.id) from error


async def _check_completion(response: httpx.Response, step: str, upstream: UpstreamSpec) -> None:
    """Raise an error unless the response starts or resumes the stream."""
    if response.status_code == httpx.codes.OK:
        return
    detail = await response.aread()
    if step == "upstream.resume" and response.status_code == UNKNOWN_REQUEST_STATUS:
        raise UpstreamUnknownRequestError(step=step, peer=upstream.id)
    raise _status_error(response, detail, step, upstream)


def _status_error(
    response: httpx.Response, body: bytes, step: str, upstream: UpstreamSpec
) -> UpstreamError:
    """Return the error for an unsuccessful response."""
    text = body[:_MAX_DETAIL_BYTES].decode(errors="replace")
    detail = f"status {response.status_code}: {text}"
    not_begun = NOT_BEGUN_HEADER in response.headers
    if not_begun or response.status_code in _NOT_BEGUN_STATUSES:
        return UpstreamRefusedError(detail, step=step, peer=upstream.id)
    return UpstreamLostError(detail, step=step, peer=upstream.id)


def _decode(document: bytes, kind: type[T], step: str, upstream: UpstreamSpec) -> T:
    """Decode the JSON reply to a call."""
    try:
        return msgspec.json.decode(document, type=kind)
    except msgspec.MsgspecError as error:
        raise UpstreamLostError(f"unreadable: {error}", step=step, peer=upstream.id) from error


def _url(upstream: UpstreamSpec, path: str) -> str:
    """Return the URL of a path at an upstream, with ``http`` as the default scheme."""
    scheme = "" if "://" in upstream.address else "http://"
    return f"{scheme}{upstream.address}{path}"


def _dispatch_headers(dispatch: Dispatch) -> dict[str, str]:
    """Return the headers that identify a dispatch and limit its tokens."""
    return {
        "content-type": "application/json",
        "accept-encoding": "identity",
        WORKSPACE_HEADER: dispatch.request.workspace,
        REQUEST_ID_HEADER: dispatch.request.request_id,
        INCARNATION_HEADER: dispatch.incarnation,
        FENCING_HEADER: str(dispatch.fencing),
        ATTEMPT_HEADER: str(dispatch.original_attempt),
        TOKEN_CAP_HEADER: str(dispatch.token_cap),
        PRIORITY_HEADER: str(int(dispatch.request.priority)),
        OFFSET_HEADER: str(dispatch.offset),
    }


def _completion_body(dispatch: Dispatch) -> bytes:
    """Return the caller's body with the output cap set, as a stream that reports its usage."""
    fields = _fields_decoder.decode(dispatch.request.body)
    fields.pop("max_completion_tokens", None)
    fields["max_tokens"] = msgspec.Raw(b"%d" % dispatch.request.max_output_tokens)
    fields["stream"] = msgspec.Raw(b"true")
    fields["stream_options"] = msgspec.Raw(b'{"include_usage":true}')
    return msgspec.json.encode(fields)
