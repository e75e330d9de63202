"""HTTP interface for other routers of the fleet; every call is signed with the fleet secret."""

import asyncio
from typing import Any

import msgspec
from litestar import Request, Router, post
from litestar.types import ASGIApp

from quinceferry_core.copies import CollectRequest, HoldRequest
from quinceferry_core.models import CallerRequest, RequestId, WorkspaceId
from quinceferry_core.outcomes import AnswerEvent, Chunk, Failed, Finished
from quinceferryd import wire
from quinceferryd.interfaces import RouterApplication
from quinceferryd.relays import relay_events
from quinceferryd.responses import Header, Relay, RelayResponse, ResponseWriter
from quinceferryd.signatures import SIGNATURE_HEADER, Signer

FORWARD_PATH = "/peer/v1/forward"
"""Runs a request and streams its answer."""
OUTCOME_PATH = "/peer/v1/outcome"
"""Tells what became of a request."""
RECALL_PATH = "/peer/v1/recall"
"""Returns unused tokens."""
HOLD_PATH = "/peer/v1/hold"
"""Holds copies of journal entries."""
COLLECT_PATH = "/peer/v1/collect"
"""Returns the copies held of a closed incarnation."""
KEEP_ALIVE_SECONDS = 3.0
"""Interval of empty lines on an answer that is silent."""
MAX_PEER_BODY_FACTOR = 4
"""A forwarded request holds its body in base64 and its prompt beside it."""

_LINES_HEADER: Header = (b"content-type", b"application/x-ndjson")
_JSON_HEADER: Header = (b"content-type", b"application/json")


class OutcomeQuestion(msgspec.Struct, frozen=True):
    """Asks what became of a request."""

    workspace: WorkspaceId
    request_id: RequestId


class PeerApi:
    """Handles calls of other routers.

    :param application: the router.
    """

    def __init__(self, application: RouterApplication) -> None:
        self._application = application
        self._signer = Signer(application.settings.router.fleet_secret)
        settings = application.settings
        self._max_body_bytes = settings.callers.max_body_bytes * MAX_PEER_BODY_FACTOR
        self._write_timeout_seconds = settings.streams.reader_timeout_seconds

    async def forward(self, request: Request[Any, Any, Any]) -> ASGIApp:
        """Run a forwarded request."""
        body = await self._authenticated_body(request)
        if body is None:
            return self._refuse(401, b"bad signature or oversized body")
        try:
            forwarded = wire.decode_request(body)
        except msgspec.DecodeError as error:
            return self._refuse(400, str(error).encode())
        return self._respond(lambda writer: self._relay(forwarded, writer))

    async def outcome(self, request: Request[Any, Any, Any]) -> ASGIApp:
        """Tell what became of a request."""
        body = await self._authenticated_body(request)
        if body is None:
            return self._refuse(401, b"bad signature or oversized body")
        try:
            question = msgspec.json.decode(body, type=OutcomeQuestion)
        except msgspec.DecodeError as error:
            return self._refuse(400, str(error).encode())
        pipeline = self._application.pipeline
        outcome = await pipeline.outcome(question.workspace, question.request_id)
        return self._reply(wire.encode_outcome(outcome))

    async def recall(self, request: Request[Any, Any, Any]) -> ASGIApp:
        """Return unused tokens to the budget record."""
        body = await self._authenticated_body(request)
        if body is None:
            return self._refuse(401, b"bad signature or oversized body")
        try:
            wanted = wire.decode_recall_request(body)
        except msgspec.DecodeError as error:
            return self._refuse(400, str(error).encode())
        reply = await self._application.allotments.recall(wanted.workspace, wanted.wanted)
        return self._reply(wire.encode_recall_reply(reply))

    async def hold(self, request: Request[Any, Any, Any]) -> ASGIApp:
        """Hold copies of journal entries."""
        body = await self._authenticated_body(request)
        if body is None:
            return self._refuse(401, b"bad signature or oversized body")
        try:
            wanted = msgspec.json.decode(body, type=HoldRequest)
        except msgspec.DecodeError as error:
            return self._refuse(400, str(error).encode())
        reply = self._application.copies.hold(wanted)
        return self._reply(msgspec.json.encode(reply))

    async def collect(self, request: Request[Any, Any, Any]) -> ASGIApp:
        """Return the copies held of a closed incarnation."""
        body = await self._authenticated_body(request)
        if body is None:
            return self._refuse(401, b"bad signature or oversized body")
        try:
            wanted = msgspec.json.decode(body, type=CollectRequest)
        except msgspec.DecodeError as error:
            return self._refuse(400, str(error).encode())
        reply = self._application.copies.collect(wanted)
        return self._reply(msgspec.json.encode(reply))

    async def _authenticated_body(self, request: Request[Any, Any, Any]) -> bytes | None:
        """Read the body; None unless it is signed and of a permitted size."""
        pieces = bytearray()
        async for piece in request.stream():
            pieces += piece
            if len(pieces) > self._max_body_bytes:
                return None
        body = bytes(pieces)
        value = request.headers.get(SIGNATURE_HEADER, "")
        now = self._application.clock.now().timestamp()
        path = request.scope["path"]
        return body if self._signer.verify(value, "POST", path, body, now) else None

    async def _relay(self, forwarded: CallerRequest, writer: ResponseWriter) -> None:
        """Stream the answer's events, with empty lines while there are none."""
        await writer.start(200, [_LINES_HEADER])
        await writer.write(wire.KEEP_ALIVE_LINE)
        keep_alive = asyncio.create_task(self._keep_alive(writer))
        try:
            events = self._application.pipeline.submit(forwarded)
            await relay_events(events, PeerAnswer(writer, keep_alive))
        finally:
            keep_alive.cancel()

    async def _keep_alive(self, writer: ResponseWriter) -> None:
        """Write an empty line at each interval, so that the peer can tell silence from loss."""
        while True:
            await self._application.clock.sleep(KEEP_ALIVE_SECONDS)
            await writer.write(wire.KEEP_ALIVE_LINE)

    def _reply(self, body: bytes) -> ASGIApp:
        """Return a JSON response."""
        return self._respond(lambda writer: writer.respond(200, [_JSON_HEADER], body))

    def _refuse(self, status: int, detail: bytes) -> ASGIApp:
        """Return a response to a call that was not begun."""
        return self._respond(lambda writer: writer.respond(status, [], detail))

    def _respond(self, relay: Relay) -> ASGIApp:
        """Return a response written by a coroutine."""
        return RelayResponse(relay, self._write_timeout_seconds)


class PeerAnswer:
    """Lines, one for each event; the last one ends the response.

    :param keep_alive: the task that writes empty lines.
    """

    def __init__(self, writer: ResponseWriter, keep_alive: asyncio.Task[None]) -> None:
        self._writer = writer
        self._keep_alive = keep_alive

    async def chunk(self, chunk: Chunk) -> None:
        """Write a piece of the answer."""
        await self._writer.write(wire.encode_event(chunk))

    async def finish(self, finished: Finished) -> None:
        """Write the end of a whole answer."""
        await self._end(finished)

    async def fail(self, failed: Failed) -> None:
        """Write a refusal or failure."""
        await self._end(failed)

    async def _end(self, event: AnswerEvent) -> None:
        """Write the last line."""
        self._keep_alive.cancel()
        await self._writer.finish(wire.encode_event(event))


def peer_routes() -> Router:
    """Return the routes for peers; they use the ``peer_api`` of the server's state."""
    return Router("", route_handlers=[_forward, _outcome, _recall, _hold, _collect])


@post(FORWARD_PATH, request_max_body_size=None)
async def _forward(request: Request[Any, Any, Any]) -> ASGIApp:
    return await request.app.state.peer_api.forward(request)


@post(OUTCOME_PATH, request_max_body_size=None)
async def _outcome(request: Request[Any, Any, Any]) -> ASGIApp:
    return await request.app.state.peer_api.outcome(request)


@post(RECALL_PATH, request_max_body_size=None)
async def _recall(request: Request[Any, Any, Any]) -> ASGIApp:
    return await request.app.state.peer_api.recall(request)


@post(HOLD_PATH, request_max_body_size=None)
async def _hold(request: Request[Any, Any, Any]) -> ASGIApp:
    return await request.app.state.peer_api.hold(request)


@post(COLLECT_PATH, request_max_body_size=None)
async def _collect(request: Request[Any, Any, Any]) -> ASGIApp:
    return await request.app.state.peer_api.collect(request)
