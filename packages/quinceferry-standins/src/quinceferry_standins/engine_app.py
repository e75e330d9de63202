"""HTTP application of a stand-in model engine."""

from typing import Any

from litestar import Litestar, Request, get, post
from litestar.response import Stream

from quinceferry_core.adapters import Dispatch, EngineOrder, LoadReport
from quinceferry_core.exceptions import UpstreamError
from quinceferry_core.models import RequestKind
from quinceferry_core.upstream_messages import (
    CACHE_EVENTS_PATH,
    CANCEL_PATH,
    CHAT_PATH,
    COMPLETION_PATH,
    LOAD_PATH,
    ORDER_PATH,
    RESUME_PATH,
    CacheEventsReply,
    CancelReply,
    CancelRequest,
)
from quinceferry_standins.engine import FakeEngine
from quinceferry_standins.engine_streams import EngineStream
from quinceferry_standins.runs import RunRecord
from quinceferry_standins.upstream_wire import read_completion, read_resume, refuse, sent_events

RUNS_PATH = "/runs"
"""Truth records, which a real engine does not have."""
LEAVE_PATH = "/leave"
"""Makes the engine report that it is leaving."""

_EVENT_STREAM = "text/event-stream"
_Request = Request[Any, Any, Any]


def engine_app(engine: FakeEngine) -> Litestar:
    """Return the application that serves an engine.

    :param engine: the stand-in; it is stopped with the application.
    :return: an ASGI application.
    """
    return Litestar(
        [*_stream_handlers(engine), *_call_handlers(engine), *_report_handlers(engine)],
        exception_handlers={UpstreamError: refuse},
        on_shutdown=[engine.stop],
        openapi_config=None,
    )


def _stream_handlers(engine: FakeEngine) -> list[Any]:
    """Return the handlers that answer with a stream."""

    async def complete(request: _Request, kind: RequestKind) -> Stream:
        dispatch = read_completion(engine.upstream, kind, request.headers, await request.body())
        return _stream(engine.begin(dispatch), dispatch)

    @post(CHAT_PATH, status_code=200)
    async def chat(request: _Request) -> Stream:
        return await complete(request, RequestKind.CHAT)

    @post(COMPLETION_PATH, status_code=200)
    async def completion(request: _Request) -> Stream:
        return await complete(request, RequestKind.COMPLETION)

    @post(RESUME_PATH, status_code=200)
    async def resume(request: _Request) -> Stream:
        dispatch = read_resume(engine.upstream, request.headers)
        return _stream(engine.find(dispatch), dispatch)

    return [chat, completion, resume]


def _call_handlers(engine: FakeEngine) -> list[Any]:
    """Return the handlers of short calls that change something."""

    @post(CANCEL_PATH, status_code=200)
    async def cancel(data: CancelRequest) -> CancelReply:
        return CancelReply(
            engine.cancel(data.request_id, data.workspace, data.incarnation, data.attempt)
        )

    @post(ORDER_PATH, status_code=200)
    async def order(data: EngineOrder) -> None:
        engine.order(data)

    @post(LEAVE_PATH, status_code=200)
    async def leave() -> None:
        engine.leave()

    return [cancel, order, leave]


def _report_handlers(engine: FakeEngine) -> list[Any]:
    """Return the handlers that only read."""

    @get(LOAD_PATH)
    async def load() -> LoadReport:
        return engine.load()

    @get(CACHE_EVENTS_PATH)
    async def cache_events(after: int = 0) -> CacheEventsReply:
        return CacheEventsReply(engine.cache_events(after))

    @get(RUNS_PATH)
    async def runs() -> list[RunRecord]:
        return engine.runs

    return [load, cache_events, runs]


def _stream(stream: EngineStream, dispatch: Dispatch) -> Stream:
    """Return the answer that follows a stream, in the protocol shape of its first request."""
    kind = stream.dispatch.request.kind
    return Stream(sent_events(kind, stream.read(dispatch.offset)), media_type=_EVENT_STREAM)
