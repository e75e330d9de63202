"""HTTP API for other routers of the fleet; every call is signed with the fleet secret."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from litestar import Request, Router, post
from litestar.types import ASGIApp
from returns.result import Failure, Success

from quinceferry_core.copies import CollectRequest, HoldRequest
from quinceferry_core.exceptions import QuinceferryError
from quinceferry_core.models import CallerRequest
from quinceferry_core.outcomes import AnswerEvent, Chunk, Failed, Finished
from quinceferryd import wire
from quinceferryd.bodies import BodyMemory, read_body
from quinceferryd.interfaces import RouterApplication
from quinceferryd.relays import relay_events
from quinceferryd.responses import Header, Relay, RelayResponse, ResponseWriter
from quinceferryd.signatures import SIGNATURE_HEADER, Signer, body_digest

FORWARD_PATH = "/peer/v1/forward"
"""Path of the call that runs a request and streams its answer."""
OUTCOME_PATH = "/peer/v1/outcome"
"""Path of the call that returns the outcome of a request."""
RECALL_PATH = "/peer/v1/recall"
"""Path of the call that returns unused tokens to the budget record."""
HOLD_PATH = "/peer/v1/hold"
"""Path of the call that stores copies of journal entries."""
COLLECT_PATH = "/peer/v1/collect"
"""Path of the call that returns the copies held of a closed incarnation."""
KEEP_ALIVE_INTERVAL_SECONDS = 3.0
"""Interval of the empty lines sent to keep an answer's connection alive."""
MAX_PEER_BODY_FACTOR = 4
"""Limit of a peer call's body, as a multiple of the limit for callers.

A forwarded request carries the caller's body in base64 and the prompt in addition.
"""

HttpRequest = Request[Any, Any, Any]
MessageT = TypeVar("MessageT")

_BODY_REJECTED_STATUS = 413
"""Status for a body that exceeds the size limit or the free memory, or that times out."""
_NDJSON_HEADER: Header = (b"content-type", b"application/x-ndjson")
_JSON_HEADER: Header = (b"content-type", b"application/json")


class PeerApi:
    """Handles the calls of other routers.

    :param application: the router application that the calls act on.
    """

    def __init__(self, application: RouterApplication) -> None:
        self._application = application
        self._signer = Signer(application.settings.router.fleet_secret)
        settings = application.settings
        self._max_body_bytes = settings.callers.max_body_bytes * MAX_PEER_BODY_FACTOR
        self._body_timeout_seconds = settings.callers.body_timeout_seconds
        self._bodies = BodyMemory(self._max_body_bytes)
        self._write_timeout_seconds = settings.streams.reader_timeout_seconds

    async def forward(self, request: HttpRequest) -> ASGIApp:
        """Run a forwarded request and stream its answer."""

        async def handle(forwarded: CallerRequest) -> ASGIApp:
            return self._respond(lambda writer: self._stream_answer(forwarded, writer))

        return await self._handle_call(request, CallerRequest, handle)

    async def outcome(self, request: HttpRequest) -> ASGIApp:
        """Return the outcome of a request."""

        async def handle(outcome_request: wire.OutcomeRequest) -> ASGIApp:
            pipeline = self._application.pipeline
            outcome = await pipeline.outcome(outcome_request.workspace, outcome_request.request_id)
            return self._reply(wire.encode_outcome(outcome))

        return await self._handle_call(request, wire.OutcomeRequest, handle)

    async def recall(self, request: HttpRequest) -> ASGIApp:
        """Return unused tokens to the budget record."""

        async def handle(recall_request: wire.RecallRequest) -> ASGIApp:
            reply = await self._application.allotments.recall(
                recall_request.workspace, recall_request.wanted
            )
            return self._reply(msgspec.json.encode(reply))

        return await self._handle_call(request, wire.RecallRequest, handle)

    async def hold(self, request: HttpRequest) -> ASGIApp:
        """Store copies of journal entries."""

        async def handle(hold_request: HoldRequest) -> ASGIApp:
            return self._reply(msgspec.json.encode(self._application.copies.hold(hold_request)))

        return await self._handle_call(request, HoldRequest, handle)

    async def collect(self, request: HttpRequest) -> ASGIApp:
        """Return the copies held of a closed incarnation."""

        async def handle(collect_request: CollectRequest) -> ASGIApp:
            return self._reply(
                msgspec.json.encode(self._application.copies.collect(collect_request))
            )

        return await self._handle_call(request, CollectRequest, handle)

    async def _handle_call(
        self,
        request: HttpRequest,
        message_type: type[MessageT],
        handle: Callable[[MessageT], Awaitable[ASGIApp]],
    ) -> ASGIApp:
        """Authenticate a call, decode its message and pass it to ``handle``."""
        signature = request.headers.get(SIGNATURE_HEADER, "")
        now = self._application.clock.now().timestamp()
        digest = self._signer.verify(signature, "POST", request.scope["path"], now)
        if not digest:
            return self._reject(401, "the call is not signed by a router of this fleet")
        limits = (self._max_body_bytes, self._body_timeout_seconds)
        match await read_body(request, *limits, self._bodies):
            case Failure(failed):
                return self._reject(_BODY_REJECTED_STATUS, failed.detail)
            case Success(body):
                body.release()
        if body_digest(body.data) != digest:
            return self._reject(401, "the body is not the one that was signed")
        try:
            return await handle(msgspec.json.decode(body.data, type=message_type))
        except msgspec.DecodeError as error:
            return self._reject(400, str(error))
        except QuinceferryError as error:
            return self._reject(503, str(error))

    async def _stream_answer(self, forwarded: CallerRequest, writer: ResponseWriter) -> None:
        """Stream the events of an answer, with empty lines as keep-alives."""
        await writer.start(200, [_NDJSON_HEADER])
        await writer.write(wire.KEEP_ALIVE_LINE)
        keep_alive = asyncio.create_task(self._keep_alive(writer))
        try:
            events = self._application.pipeline.submit(forwarded)
            await relay_events(events, PeerAnswerWriter(writer, keep_alive))
        finally:
            keep_alive.cancel()

    async def _keep_alive(self, writer: ResponseWriter) -> None:
        """Write empty lines so that the peer can distinguish an idle connection from a lost one."""
        while True:
            await self._application.clock.sleep(KEEP_ALIVE_INTERVAL_SECONDS)
            await writer.write(wire.KEEP_ALIVE_LINE)

    def _reply(self, body: bytes) -> ASGIApp:
        """Return a JSON response."""
        return self._respond(lambda writer: writer.respond(200, [_JSON_HEADER], body))

    def _reject(self, status: int, detail: str) -> ASGIApp:
        """Return an error response; a status below 500 means that the call was not begun."""
        return self._respond(lambda writer: writer.respond(status, [], detail.encode()))

    def _respond(self, relay: Relay) -> ASGIApp:
        """Return a response that a coroutine writes."""
        return RelayResponse(relay, self._write_timeout_seconds)


class PeerAnswerWriter:
    """Writes each event of an answer as one line; the last event ends the response.

    :param writer: writer of the response.
    :param keep_alive: the task that writes empty lines.
    """

    def __init__(self, writer: ResponseWriter, keep_alive: asyncio.Task[None]) -> None:
        self._writer = writer
        self._keep_alive = keep_alive

    async def write_chunk(self, chunk: Chunk) -> None:
        """Write a chunk of the answer."""
        await self._writer.write(wire.encode_event(chunk))

    async def finish(self, finished: Finished) -> None:
        """Write the final event of a complete answer."""
        await self._end(finished)

    async def fail(self, failed: Failed) -> None:
        """Write a refusal or failure as the final event."""
        await self._end(failed)

    async def _end(self, event: AnswerEvent) -> None:
        """Stop the keep-alives and write the final line."""
        self._keep_alive.cancel()
        await self._writer.finish(wire.encode_event(event))


def peer_routes() -> Router:
    """Return the routes of the peer API; they use ``peer_api`` from the application state."""
    return Router("", route_handlers=[_forward, _outcome, _recall, _hold, _collect])


@post(FORWARD_PATH, request_max_body_size=None)
async def _forward(request: HttpRequest) -> ASGIApp:
    return await request.app.state.peer_api.forward(request)


@post(OUTCOME_PATH, request_max_body_size=None)
async def _outcome(request: HttpRequest) -> ASGIApp:
    return await request.app.state.peer_api.outcome(request)


@post(RECALL_PATH, request_max_body_size=None)
async def _recall(request: HttpRequest) -> ASGIApp:
    return await request.app.state.peer_api.recall(request)


@post(HOLD_PATH, request_max_body_size=None)
async def _hold(request: HttpRequest) -> ASGIApp:
    return await request.app.state.peer_api.hold(request)


@post(COLLECT_PATH, request_max_body_size=None)
async def _collect(request: HttpRequest) -> ASGIApp:
    return await request.app.state.peer_api.collect(request)
